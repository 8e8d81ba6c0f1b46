#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <snipepost/Base/Backoff.h>
#include <snipepost/Base/Random.h>
#include <snipepost/Base/Types.h>
#include <snipepost/Cluster/BackendRecord.h>

namespace snipepost::cluster {

/// A conditional write of a record.
struct RecordWrite
{
  enum class Action
  {
    Create,
    Replace,
    Remove,
  };

  Action mAction = Action::Create;
  /// Revision that the stored object must have; unused by Create.
  Revision mExpected;
  std::string mText;
  /// Epoch of mExpected; unknown in writes relayed by the previous build.
  Epoch mEpoch{};
};

/// A write of the record mName that a peer is asked to relay to the store.
struct RelayedWrite
{
  std::string mName;
  RecordWrite mWrite;
};

/// Encodes a relayed write as JSON and decodes it; nothing when malformed.
std::string
EncodeRelayedWrite(const RelayedWrite& aWrite);
std::optional<RelayedWrite>
DecodeRelayedWrite(std::string_view aText);

enum class WriteOutcome
{
  Done,
  /// The object has another revision, already exists, or does not exist.
  Conflict,
  /// The write had no effect: the store rejected it or could not be reached.
  Refused,
  /// No conclusive response: the write may have taken effect, or may still do
  /// so.
  Unknown,
};

std::string_view
ToString(WriteOutcome aOutcome);

/// Reconciles the stored record of an agent with the desired one and writes
/// only when they differ. A record that was removed while its agent is running
/// is created again. Does no I/O; the time is an argument.
class RecordPublisher
{
public:
  RecordPublisher(std::string aName, uint64_t aRandomSeed);

  /// Sets the text that should be stored; nothing to remove the record.
  void SetDesired(std::optional<std::string> aText);

  /// Passes the record that the replica holds at the position of its part;
  /// nothing when there is none.
  void OnReplicaState(Position aPosition, std::optional<StoredRecord> aStored);

  /// Whether the record is stored; nothing before this is known.
  std::optional<bool> Stored() const;

  /// The write to send now; at most one is outstanding at a time.
  std::optional<RecordWrite> NextWrite(Instant aNow);

  /// Passes the outcome of the write that NextWrite() returned. aStored is the
  /// object after Done, or the conflicting one after Conflict; aEpoch is that
  /// of the response.
  void OnOutcome(WriteOutcome aOutcome,
                 std::optional<StoredRecord> aStored,
                 Instant aNow,
                 Epoch aEpoch = Epoch());

  /// True when the stored record is known to equal the desired one.
  bool UpToDate() const;

  const std::string& Name() const { return mName; }

private:
  std::string mName;
  Random mRandom;
  Backoff mBackoff;
  std::optional<std::string> mDesired;
  bool mDesiredSet = false;
  std::optional<StoredRecord> mStored;
  /// Position up to which mStored reflects the store.
  Position mKnown;
  /// False until the replica has delivered a first state.
  bool mStoredKnown = false;
  bool mInFlight = false;
  Instant mNextAttemptTime;
};

} // namespace snipepost::cluster
