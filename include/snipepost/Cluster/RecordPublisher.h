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
};

/// A write of the record aName that a peer is asked to pass on to the store.
struct RelayedWrite
{
  std::string mName;
  RecordWrite mWrite;
};

/// Writes a request to relay as JSON, and reads it; nothing when malformed.
std::string
EncodeRelayed(const RelayedWrite& aWrite);
std::optional<RelayedWrite>
DecodeRelayed(std::string_view aText);

enum class WriteOutcome
{
  Done,
  /// The object has another revision, or exists already, or is absent.
  Conflict,
  /// Nothing was done.
  Refused,
  /// The answer was lost: the write may have taken effect, or will.
  Unknown,
};

std::string_view
ToString(WriteOutcome aOutcome);

/// Keeps the stored record of an agent equal to what the agent wants it to be,
/// with a write for each difference only. A record that somebody removed while
/// its agent lives comes back by itself. Pure.
class RecordPublisher
{
public:
  RecordPublisher(std::string aName, uint64_t aRandomSeed);

  /// What should be stored; nothing to remove the record.
  void Want(std::optional<std::string> aText);

  /// Tells what the replica shows under the name at aRevision of its part.
  void Observe(Revision aRevision, std::optional<StoredRecord> aStored);

  /// The write to send now, at most one at a time.
  std::optional<RecordWrite> Next(Instant aNow);

  /// The outcome of the write that Next() returned. aStored is the object
  /// after Done, or the one in the way after Conflict.
  void OnOutcome(WriteOutcome aOutcome,
                 std::optional<StoredRecord> aStored,
                 Instant aNow);

  /// True when the stored record is known to be as wanted.
  bool Settled() const;

  const std::string& Name() const { return mName; }

private:
  std::string mName;
  Random mRandom;
  Backoff mBackoff;
  std::optional<std::string> mWanted;
  bool mEverWanted = false;
  std::optional<StoredRecord> mStored;
  /// Nothing is known of the store above this revision.
  Revision mKnownAt;
  bool mKnown = false;
  bool mInFlight = false;
  Instant mNotBefore;
};

} // namespace snipepost::cluster
