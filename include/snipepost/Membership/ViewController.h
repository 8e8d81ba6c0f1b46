#pragma once

#include <array>
#include <map>
#include <string>

#include <snipepost/Base/Backoff.h>
#include <snipepost/Membership/Controller.h>

namespace snipepost {

/// Number of parts of the view whose digests are compared separately.
constexpr size_t kViewBuckets = 64;

/// Merges records and votes from the store and from peers into the view, and
/// drops suspected and left instances whose lease has expired. Runs in entry
/// instances.
class ViewController : public Controller
{
public:
  ViewController();

  void Step(Blackboard& aBoard,
            const MembershipEvent& aEvent,
            Instant aNow,
            Random& aRandom,
            MembershipEffects& aEffects) override;

private:
  /// State of reading one prefix of the store.
  struct PrefixReader
  {
    const char* mPrefix;
    bool mInFlight = false;
    bool mListed = false; ///< A list succeeded since the last failure.
    uint64_t mRevision = 0;
    Instant mNextCall;
    Instant mNextList;
    Backoff mDelay;
  };

  void OnTick(Blackboard& aBoard,
              Instant aNow,
              Random& aRandom,
              MembershipEffects& aEffects);
  void ReadPrefix(Blackboard& aBoard,
                  PrefixReader& aReader,
                  Instant aNow,
                  Random& aRandom,
                  MembershipEffects& aEffects);
  void OnListEnded(Blackboard& aBoard,
                   const StoreListEnded& aEvent,
                   Instant aNow,
                   Random& aRandom);
  static void MergeListed(Blackboard& aBoard,
                          const StoreListEnded& aEvent,
                          Instant aNow);
  static void DropExpired(Blackboard& aBoard, Instant aNow);

  std::array<PrefixReader, 3> mReaders;
  uint64_t mReportedRevision = 0;
};

/// Origin of a record.
enum class RecordSource : uint8_t
{
  /// The store or the instance itself: the record is still published.
  Authoritative,
  /// Another instance, which may not have dropped the record yet.
  Peer,
};

/// Merges a record: the greater version wins. Returns true when the record
/// changed the view. For a known version aLeaseEnd can only extend the lease.
bool
MergeRecord(Blackboard& aBoard,
            const InstanceRecord& aRecord,
            RecordSource aSource,
            Instant aLeaseEnd);

/// Merges a vote: the greater version of the same prober wins.
bool
MergeVote(Blackboard& aBoard, const HealthVote& aVote);

/// Returns the bucket of the records and votes about an address.
size_t
BucketOf(const Address& aAddress);

/// Returns the digest of each bucket of the view.
std::vector<uint64_t>
BucketDigests(const Blackboard& aBoard);

} // namespace snipepost
