#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include <snipepost/Base/Backoff.h>
#include <snipepost/Base/Random.h>
#include <snipepost/Base/Types.h>
#include <snipepost/Cluster/Replica.h>
#include <snipepost/Cluster/Store.h>

namespace snipepost::cluster {

/// Told when the store is lost or regained, with the call that showed it.
class StoreListener
{
public:
  virtual ~StoreListener() = default;
  virtual void OnStoreLost(Part aPart, ReadOutcome aOutcome) = 0;
  virtual void OnStoreRegained(Part aPart) = 0;
};

/// Keeps a replica up to date from the store: lists each part once, then, on a
/// node that watches, follows its changes. While the store does not answer, it
/// tries one part only, with jittered backoff, so that a fleet that returns
/// together stays below the store's rates. The owner passes the time and makes
/// sure that Step() is called every few tens of milliseconds.
class StoreSync
{
public:
  StoreSync(Store& aStore,
            Replica& aReplica,
            StoreListener& aListener,
            uint64_t aRandomSeed);

  /// Starts the calls that are due. aWatch: this node follows changes.
  void Step(bool aWatch, Instant aNow);

  /// True when each part is followed and the last answer was good.
  bool Healthy() const;
  /// False after a call failed, until one succeeds.
  bool Reachable() const { return mReachable; }
  uint64_t Calls() const { return mCalls; }

private:
  struct PartState
  {
    bool mBusy = false;
    /// A list is needed, at the start and after the history was lost.
    bool mList = true;
    bool mWatching = false;
    Revision mRevision;
  };

  void StepPart(Part aPart, bool aWatch);
  void StartList(Part aPart);
  void StartWatch(Part aPart);
  void OnList(Part aPart, const ListResult& aResult);
  void OnWatch(Part aPart, const WatchResult& aResult);
  void OnFailure(Part aPart, ReadOutcome aOutcome);
  void OnSuccess(Part aPart);

  Store& mStore;
  Replica& mReplica;
  StoreListener& mListener;
  Random mRandom;
  Backoff mBackoff;
  std::array<PartState, kParts.size()> mParts;
  bool mWatch = false;
  bool mReachable = true;
  /// A list is under way.
  bool mProbing = false;
  Instant mNow;
  Instant mNotBefore;
  uint64_t mCalls = 0;
};

} // namespace snipepost::cluster
