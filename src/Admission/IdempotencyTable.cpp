#include <snipepost/Admission/IdempotencyTable.h>

#include <algorithm>
#include <utility>

namespace snipepost {

const IdempotencyTable::Record*
IdempotencyTable::Find(const std::string& aKey) const
{
  const auto found = mRecords.find(aKey);
  return found == mRecords.end() ? nullptr : &found->second;
}

bool
IdempotencyTable::Begin(const std::string& aKey, Instant aNow, uint64_t aDigest)
{
  if (mRecords.size() >= mOptions.mMaxEntries) {
    return false;
  }
  mRecords[aKey] = Record{ State::InProgress, nullptr, {}, aNow, aDigest };
  mExpiries.push_back({ aNow + mOptions.mRecordLifetime, aKey, aNow });
  return true;
}

bool
IdempotencyTable::AddWaiter(const std::string& aKey, RequestId aRequest)
{
  const auto found = mRecords.find(aKey);
  if (found == mRecords.end() || mWaiting >= mOptions.mMaxWaiters) {
    return false;
  }
  found->second.mWaiters.push_back(aRequest);
  ++mWaiting;
  return true;
}

void
IdempotencyTable::RemoveWaiter(const std::string& aKey, RequestId aRequest)
{
  if (const auto found = mRecords.find(aKey); found != mRecords.end()) {
    mWaiting -= std::erase(found->second.mWaiters, aRequest);
  }
}

std::vector<RequestId>
IdempotencyTable::Complete(const std::string& aKey, ResponseBytes aResponse)
{
  const auto found = mRecords.find(aKey);
  if (found == mRecords.end() || found->second.mState == State::Completed) {
    return {};
  }
  if (!aResponse || aResponse->size() > mOptions.mMaxResponseBytes ||
      mStoredBytes + aResponse->size() > mOptions.mMaxTotalBytes) {
    return SetUnknown(aKey);
  }
  mStoredBytes += aResponse->size();
  found->second.mState = State::Completed;
  found->second.mResponse = std::move(aResponse);
  return TakeWaiters(found->second);
}

std::vector<RequestId>
IdempotencyTable::SetUnknown(const std::string& aKey)
{
  const auto found = mRecords.find(aKey);
  if (found == mRecords.end() || found->second.mState == State::Completed) {
    return {};
  }
  found->second.mState = State::Unknown;
  return TakeWaiters(found->second);
}

std::vector<RequestId>
IdempotencyTable::Discard(const std::string& aKey)
{
  const auto found = mRecords.find(aKey);
  if (found == mRecords.end() || found->second.mState != State::InProgress) {
    return {};
  }
  auto waiters = TakeWaiters(found->second);
  mRecords.erase(found);
  return waiters;
}

void
IdempotencyTable::Expire(Instant aNow)
{
  while (!mExpiries.empty() && mExpiries.front().mAt <= aNow) {
    Expiry expiry = std::move(mExpiries.front());
    mExpiries.pop_front();
    const auto found = mRecords.find(expiry.mKey);
    // A discarded key may have been used again; its new record has its own
    // entry in mExpiries.
    if (found == mRecords.end() || found->second.mCreated != expiry.mCreated) {
      continue;
    }
    if (found->second.mState == State::InProgress) {
      expiry.mAt = aNow + mOptions.mRecordLifetime;
      mExpiries.push_back(std::move(expiry));
      continue;
    }
    if (found->second.mResponse) {
      mStoredBytes -= found->second.mResponse->size();
    }
    mRecords.erase(found);
  }
}

std::vector<RequestId>
IdempotencyTable::TakeWaiters(Record& aRecord)
{
  mWaiting -= aRecord.mWaiters.size();
  return std::exchange(aRecord.mWaiters, {});
}

} // namespace snipepost
