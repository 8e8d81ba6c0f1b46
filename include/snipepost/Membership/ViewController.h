#pragma once

#include <array>
#include <map>
#include <string>

#include <snipepost/Base/Backoff.h>
#include <snipepost/Membership/Controller.h>

namespace snipepost {

/// Number of parts of the view that are compared by digest.
constexpr size_t kViewBuckets = 64;

/// Number of entry instances that watch the store; the others learn from them
/// by exchange. Independent of the fleet, so that the store's load is too.
constexpr size_t kStoreWatchers = 4;

/// Merges records and votes from the store and from peers into the view, and
/// drops those whose lease has lapsed. Runs in entry instances.
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
  /// Reading of one prefix of the store.
  struct Source
  {
    const char* mPrefix;
    bool mInFlight = false;
    bool mListed = false; ///< A list was read since the last failure.
    uint64_t mRevision = 0;
    Instant mNextCall;
    Instant mNextList;
    Backoff mDelay;
  };

  void OnTick(Blackboard& aBoard,
              Instant aNow,
              Random& aRandom,
              MembershipEffects& aEffects);
  void ReadSource(Blackboard& aBoard,
                  Source& aSource,
                  Instant aNow,
                  Random& aRandom,
                  MembershipEffects& aEffects);
  void OnList(Blackboard& aBoard,
              const StoreListEnded& aEvent,
              Instant aNow,
              Random& aRandom);
  static void OnListed(Blackboard& aBoard,
                       const StoreListEnded& aEvent,
                       Instant aNow);
  static void DropLapsed(Blackboard& aBoard, Instant aNow);

  std::array<Source, 3> mSources;
  uint64_t mSeenRevision = 0;
};

/// Where a record came from.
enum class RecordSource : uint8_t
{
  Store, ///< Or the instance itself: shows that the record is still published.
  Peer,  ///< May be older than the decision to drop the record.
};

/// Merges a record: the greater version wins. Returns true when it was new.
/// aLeaseEnd only ever extends the lease of a known version.
bool
MergeRecord(Blackboard& aBoard,
            const InstanceRecord& aRecord,
            RecordSource aSource,
            Instant aLeaseEnd);

/// Merges a vote: the greater version of the same prober wins.
bool
MergeVote(Blackboard& aBoard, const HealthVote& aVote);

/// Bucket of the view that the records and votes about an address belong to.
size_t
BucketOf(const Address& aAddress);

/// Digest of each bucket of the view.
std::vector<uint64_t>
BucketDigests(const Blackboard& aBoard);

} // namespace snipepost
