#pragma once

#include <array>
#include <cstdint>
#include <set>
#include <string_view>

#include <snipepost/Base/Backoff.h>
#include <snipepost/Base/Random.h>
#include <snipepost/Base/Types.h>
#include <snipepost/Cluster/Replica.h>
#include <snipepost/Cluster/Store.h>

namespace snipepost::cluster {

/// Notified when the store becomes unreachable or reachable again, with the
/// part of the call that detected it, and when a list is refused.
class StoreListener
{
public:
  virtual ~StoreListener() = default;
  virtual void OnStoreUnreachable(Part aPart, ReadOutcome aOutcome) = 0;
  virtual void OnStoreReachable(Part aPart) = 0;
  /// The replica refused a snapshot from the store as older than its content.
  virtual void OnSnapshotRefused(Part aPart, const Snapshot& aSnapshot) = 0;
};

/// Keeps a replica up to date from the store: lists each part once and, on a
/// node that watches, follows its changes. While calls to the store fail, only
/// one part is tried at a time, with jittered backoff, so that nodes that
/// reconnect at the same time stay below the store's rate limits. After the
/// store was restored from a copy, a watch may wait for a revision that it has
/// yet to reach, so every part is listed in the new epoch before it is watched
/// again. The owner passes the time and must call Step() periodically, at
/// intervals of tens of milliseconds.
class StoreSync
{
public:
  /// aUrgentParts: the parts whose latest state this node needs before it may
  /// work. The first list of any other part may be stale; peers send what it
  /// lacks.
  StoreSync(Store& aStore,
            Replica& aReplica,
            StoreListener& aListener,
            std::set<Part> aUrgentParts,
            uint64_t aRandomSeed);

  /// Starts the calls that are due. aWatch: whether this node follows changes.
  void Step(bool aWatch, Instant aNow);

  /// Reports the epoch of a response of the store or of content from a peer.
  /// Parts that were read in an earlier epoch are listed again.
  void OnEpoch(Epoch aEpoch);

  /// True when each part is watched and the last call succeeded.
  bool Healthy() const;
  /// False after a call failed, until one succeeds.
  bool Reachable() const { return mReachable; }
  uint64_t Calls() const { return mCalls; }

private:
  struct PartState
  {
    bool mBusy = false;
    /// A list call is needed: at the start, after a failure, and after changes
    /// were missed.
    bool mNeedsList = true;
    bool mWatching = false;
    /// From which the next watch continues.
    Position mPosition;
    /// Number of the latest watch; results of earlier ones are ignored.
    uint64_t mWatchNumber = 0;
    /// The next watch starts at this time.
    Instant mNextWatch;
  };

  /// Prepares for following changes after a time without.
  void StartWatching();
  void StepPart(Part aPart, bool aWatch);
  void StartList(Part aPart);
  void StartWatch(Part aPart);
  void OnList(Part aPart, Freshness aFreshness, ListResult aResult);
  void OnWatch(Part aPart, uint64_t aNumber, const WatchResult& aResult);
  /// Lists the part next, at once.
  void ListAgain(Part aPart);
  void OnFailure(Part aPart, ReadOutcome aOutcome);
  void OnSuccess(Part aPart);

  Store& mStore;
  Replica& mReplica;
  StoreListener& mListener;
  std::set<Part> mUrgentParts;
  Random mRandom;
  Backoff mBackoff;
  std::array<PartState, kParts.size()> mParts;
  Epoch mEpoch;
  bool mShouldWatch = false;
  bool mReachable = true;
  /// A list call has not ended yet.
  bool mListInFlight = false;
  Instant mNow;
  Instant mNextAttemptTime;
  uint64_t mCalls = 0;
};

} // namespace snipepost::cluster
