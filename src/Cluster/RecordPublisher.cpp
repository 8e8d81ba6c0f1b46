#include <snipepost/Cluster/RecordPublisher.h>

#include <algorithm>
#include <array>
#include <utility>

#include <snipepost/Cluster/JsonFields.h>

namespace snipepost::cluster {

namespace {

/// First and greatest bound of the wait after a failed write: the store
/// answers in milliseconds, and an agent should be announced within a second
/// of the end of an outage.
constexpr Duration kFirstWait = std::chrono::milliseconds(50);
constexpr Duration kLongestWait = std::chrono::seconds(1);

/// By RecordWrite::Action.
constexpr std::array<std::string_view, 3> kActionNames = { "create",
                                                           "replace",
                                                           "remove" };

/// The store keeps values, not texts: the order of fields may differ.
std::optional<StoredRecord>
Canonical(std::optional<StoredRecord> aStored)
{
  if (aStored) {
    if (const auto record = DecodeRecord(aStored->mText)) {
      aStored->mText = EncodeRecord(*record);
    }
  }
  return aStored;
}

} // namespace

std::string
EncodeRelayed(const RelayedWrite& aWrite)
{
  const boost::json::object object = {
    { "name", aWrite.mName },
    { "action", kActionNames.at(static_cast<size_t>(aWrite.mWrite.mAction)) },
    { "expected", aWrite.mWrite.mExpected.Value() },
    { "text", aWrite.mWrite.mText },
  };
  return boost::json::serialize(object);
}

std::optional<RelayedWrite>
DecodeRelayed(std::string_view aText)
{
  const auto object = ParseObject(aText);
  if (!object) {
    return std::nullopt;
  }
  const auto name = TextField(*object, "name");
  const auto action = TextField(*object, "action");
  const auto expected = CountField(*object, "expected");
  const auto text = TextField(*object, "text");
  if (!name || name->empty() || !action || !expected || !text) {
    return std::nullopt;
  }
  const auto known =
    std::find(kActionNames.begin(), kActionNames.end(), *action);
  if (known == kActionNames.end()) {
    return std::nullopt;
  }
  RelayedWrite relayed{ *name, {} };
  relayed.mWrite.mAction =
    static_cast<RecordWrite::Action>(known - kActionNames.begin());
  relayed.mWrite.mExpected = Revision(*expected);
  relayed.mWrite.mText = *text;
  return relayed;
}

std::string_view
ToString(WriteOutcome aOutcome)
{
  switch (aOutcome) {
    case WriteOutcome::Done:
      return "done";
    case WriteOutcome::Conflict:
      return "conflict";
    case WriteOutcome::Refused:
      return "refused";
    case WriteOutcome::Unknown:
      return "unknown";
  }
  return "invalid";
}

RecordPublisher::RecordPublisher(std::string aName, uint64_t aRandomSeed)
  : mName(std::move(aName))
  , mRandom(aRandomSeed)
  , mBackoff(kFirstWait, kLongestWait)
{
}

void
RecordPublisher::Want(std::optional<std::string> aText)
{
  mEverWanted = true;
  mWanted = std::move(aText);
}

void
RecordPublisher::Observe(Revision aRevision,
                         std::optional<StoredRecord> aStored)
{
  // An own write is known before the replica shows it.
  if (mKnown && aRevision < mKnownAt) {
    return;
  }
  mKnown = true;
  mKnownAt = aRevision;
  mStored = Canonical(std::move(aStored));
}

bool
RecordPublisher::Settled() const
{
  if (!mKnown || mInFlight) {
    return false;
  }
  return mWanted ? mStored && mStored->mText == *mWanted : !mStored;
}

std::optional<RecordWrite>
RecordPublisher::Next(Instant aNow)
{
  if (!mEverWanted || !mKnown || mInFlight || aNow < mNotBefore || Settled()) {
    return std::nullopt;
  }
  RecordWrite write;
  if (!mWanted) {
    write.mAction = RecordWrite::Action::Remove;
    write.mExpected = mStored->mRevision;
  } else {
    write.mText = *mWanted;
    if (mStored) {
      write.mAction = RecordWrite::Action::Replace;
      write.mExpected = mStored->mRevision;
    }
  }
  mInFlight = true;
  return write;
}

void
RecordPublisher::OnOutcome(WriteOutcome aOutcome,
                           std::optional<StoredRecord> aStored,
                           Instant aNow)
{
  mInFlight = false;
  const bool known =
    aOutcome == WriteOutcome::Done || aOutcome == WriteOutcome::Conflict;
  if (!known) {
    // A later conditional write or the replica shows what has happened.
    mNotBefore = aNow + mBackoff.Next(mRandom);
    return;
  }
  mBackoff.Reset();
  mStored = Canonical(std::move(aStored));
  if (mStored && mStored->mRevision > mKnownAt) {
    mKnownAt = mStored->mRevision;
  }
  if (aOutcome == WriteOutcome::Conflict) {
    mNotBefore = aNow + mBackoff.Next(mRandom);
  }
}

} // namespace snipepost::cluster
