#include <snipepost/Flow/BackendStatus.h>

#include <algorithm>
#include <cmath>

namespace snipepost::flow {

namespace {

/// Earlier incarnations remembered: a late heartbeat is seconds old.
constexpr size_t kEarlierIds = 8;
/// The bound of a cold backend server holds for any span of a second. A bit
/// more is counted, since packets of neighbouring seconds may be delayed.
constexpr Duration kColdWindow = std::chrono::milliseconds(1100);

} // namespace

std::string_view
ToString(HeartbeatOutcome aOutcome)
{
  switch (aOutcome) {
    case HeartbeatOutcome::Unchanged:
      return "unchanged";
    case HeartbeatOutcome::Changed:
      return "changed";
    case HeartbeatOutcome::Restarted:
      return "restarted";
    case HeartbeatOutcome::Outdated:
      return "outdated";
    case HeartbeatOutcome::OtherService:
      return "other-service";
  }
  return "invalid";
}

BackendStatus::BackendStatus(std::string aService)
  : mService(std::move(aService))
{
}

bool
BackendStatus::IsOutdated(const Heartbeat& aHeartbeat) const
{
  if (!mCurrent) {
    return false;
  }
  const bool bothBorn = aHeartbeat.mBorn != 0 && mCurrent->mBorn != 0;
  if (bothBorn && aHeartbeat.mBorn != mCurrent->mBorn) {
    return aHeartbeat.mBorn < mCurrent->mBorn;
  }
  if (aHeartbeat.mId != mCurrent->mId) {
    return std::ranges::find(mEarlierIds, aHeartbeat.mId) != mEarlierIds.end();
  }
  return aHeartbeat.mSequence < mCurrent->mSequence || mLeft;
}

HeartbeatOutcome
BackendStatus::OnHeartbeat(const Heartbeat& aHeartbeat, Instant aNow)
{
  if (aHeartbeat.mService != mService) {
    return HeartbeatOutcome::OtherService;
  }
  if (IsOutdated(aHeartbeat)) {
    return HeartbeatOutcome::Outdated;
  }
  const bool first = !mCurrent;
  const bool restarted = !first && (aHeartbeat.mId != mCurrent->mId ||
                                    aHeartbeat.mBorn != mCurrent->mBorn);
  const bool changed = first || aHeartbeat.mState != mCurrent->mState ||
                       aHeartbeat.mSlots != mCurrent->mSlots;
  if (restarted && aHeartbeat.mId != mCurrent->mId) {
    mEarlierIds.push_back(mCurrent->mId);
    if (mEarlierIds.size() > kEarlierIds) {
      mEarlierIds.pop_front();
    }
  }
  mCurrent = aHeartbeat;
  mColdUntil = aNow + aHeartbeat.mColdFor;
  if (restarted) {
    mLeft = false;
    return HeartbeatOutcome::Restarted;
  }
  return changed ? HeartbeatOutcome::Changed : HeartbeatOutcome::Unchanged;
}

bool
BackendStatus::OnDeregister(const std::string& aId)
{
  if (mCurrent && mCurrent->mId != aId) {
    return false;
  }
  mLeft = true;
  return true;
}

bool
BackendStatus::Draining() const
{
  return mLeft ||
         (mCurrent && mCurrent->mState == cluster::BackendState::Draining);
}

const std::string&
BackendStatus::Id() const
{
  static const std::string sNone;
  return mCurrent ? mCurrent->mId : sNone;
}

uint32_t
BackendStatus::ColdBudget(double aPerSecond, Instant aNow)
{
  while (!mTaken.empty() && aNow - mTaken.front() > kColdWindow) {
    mTaken.pop_front();
  }
  const auto bound = static_cast<size_t>(std::max(1.0, std::floor(aPerSecond)));
  return bound > mTaken.size() ? static_cast<uint32_t>(bound - mTaken.size())
                               : 0;
}

void
BackendStatus::OnTaken(Instant aNow)
{
  mTaken.push_back(aNow);
  while (aNow - mTaken.front() > kColdWindow) {
    mTaken.pop_front();
  }
}

} // namespace snipepost::flow
