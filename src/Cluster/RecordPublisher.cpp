#include <snipepost/Cluster/RecordPublisher.h>

#include <algorithm>
#include <array>
#include <utility>

#include <snipepost/Cluster/JsonFields.h>

namespace snipepost::cluster {

namespace {

/// First and greatest bound of the backoff after a failed write: the store
/// responds in milliseconds, and an agent should be announced within a second
/// of the end of an outage.
constexpr Duration kFirstBackoff = std::chrono::milliseconds(50);
constexpr Duration kMaxBackoff = std::chrono::seconds(1);

/// Indexed by RecordWrite::Action.
constexpr std::array<std::string_view, 3> kActionNames = { "create",
                                                           "replace",
                                                           "remove" };

/// Encodes the record anew for comparison: the store keeps JSON values, not
/// texts, so the order of fields may differ.
std::optional<StoredRecord>
Canonicalize(std::optional<StoredRecord> aStored)
{
  if (aStored) {
    if (const auto record = DecodeRecord(aStored->mText)) {
      aStored->mText = EncodeRecord(*record);
    }
  }
  return aStored;
}

/// True when the address was used by a backend server of another service. Its
/// record is removed first, so that the revision at which a record was created
/// shows from when on the server has belonged to its service.
bool
NamesOtherService(const StoredRecord& aStored, const std::string& aDesired)
{
  const auto stored = DecodeRecord(aStored.mText);
  const auto desired = DecodeRecord(aDesired);
  return stored && desired && stored->mService != desired->mService;
}

} // namespace

std::string
EncodeRelayedWrite(const RelayedWrite& aWrite)
{
  const boost::json::object object = {
    { "name", aWrite.mName },
    { "action", kActionNames.at(static_cast<size_t>(aWrite.mWrite.mAction)) },
    { "expected", aWrite.mWrite.mExpected.Value() },
    { "epoch", aWrite.mWrite.mEpoch.Value() },
    { "text", aWrite.mWrite.mText },
  };
  return boost::json::serialize(object);
}

std::optional<RelayedWrite>
DecodeRelayedWrite(std::string_view aText)
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
  const auto found =
    std::find(kActionNames.begin(), kActionNames.end(), *action);
  if (found == kActionNames.end()) {
    return std::nullopt;
  }
  RelayedWrite relayed{ *name, {} };
  relayed.mWrite.mAction =
    static_cast<RecordWrite::Action>(found - kActionNames.begin());
  relayed.mWrite.mExpected = Revision(*expected);
  relayed.mWrite.mText = *text;
  relayed.mWrite.mEpoch = Epoch(CountField(*object, "epoch").value_or(0));
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
  , mBackoff(kFirstBackoff, kMaxBackoff)
{
}

void
RecordPublisher::SetDesired(std::optional<std::string> aText)
{
  mDesiredSet = true;
  mDesired = std::move(aText);
}

void
RecordPublisher::OnReplicaState(Position aPosition,
                                std::optional<StoredRecord> aStored)
{
  // The result of a write arrives before the replica reflects the write.
  if (mStoredKnown && aPosition < mKnown) {
    return;
  }
  mStoredKnown = true;
  mKnown = aPosition;
  mStored = Canonicalize(std::move(aStored));
}

std::optional<bool>
RecordPublisher::Stored() const
{
  return mStoredKnown ? std::optional(mStored.has_value()) : std::nullopt;
}

bool
RecordPublisher::UpToDate() const
{
  if (!mStoredKnown || mInFlight) {
    return false;
  }
  return mDesired ? mStored && mStored->mText == *mDesired : !mStored;
}

std::optional<RecordWrite>
RecordPublisher::NextWrite(Instant aNow)
{
  if (!mDesiredSet || !mStoredKnown || mInFlight || aNow < mNextAttemptTime ||
      UpToDate()) {
    return std::nullopt;
  }
  RecordWrite write;
  write.mEpoch = mKnown.mEpoch;
  if (!mDesired || (mStored && NamesOtherService(*mStored, *mDesired))) {
    write.mAction = RecordWrite::Action::Remove;
    write.mExpected = mStored->mRevision;
  } else {
    write.mText = *mDesired;
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
                           Instant aNow,
                           Epoch aEpoch)
{
  mInFlight = false;
  // A response from before the store was restored says nothing about it.
  const bool resolved =
    (aOutcome == WriteOutcome::Done || aOutcome == WriteOutcome::Conflict) &&
    aEpoch >= mKnown.mEpoch;
  if (!resolved) {
    // The next conditional write or the replica shows whether it took effect.
    mNextAttemptTime = aNow + mBackoff.Next(mRandom);
    return;
  }
  mBackoff.Reset();
  mStored = Canonicalize(std::move(aStored));
  const Revision revision = mStored ? mStored->mRevision : Revision();
  mKnown = std::max(mKnown, { aEpoch, revision });
  if (aOutcome == WriteOutcome::Conflict) {
    mNextAttemptTime = aNow + mBackoff.Next(mRandom);
  }
}

} // namespace snipepost::cluster
