#include <snipepost/Cluster/StoreSync.h>

#include <algorithm>

namespace snipepost::cluster {

namespace {

/// A waiting watch counts as a call, so it waits long; keep-alive probes find
/// a silent connection sooner.
constexpr Duration kWatchWait = std::chrono::seconds(20);
/// Bounds of the wait after a failure: the store answers in milliseconds, and
/// nodes should know of its return within half a second.
constexpr Duration kFirstWait = std::chrono::milliseconds(50);
constexpr Duration kLongestWait = std::chrono::milliseconds(800);
/// Bounds of the time that a list is awaited for. The store answers in 4 ms,
/// and up to 80 times slower on bad days. Nodes that all started while it was
/// silent would notice its return together, late, if they waited alike: with
/// random times one of a few soon asks again and tells the others.
constexpr Duration kShortestList = std::chrono::milliseconds(350);
constexpr Duration kLongestList = std::chrono::milliseconds(900);

} // namespace

std::string_view
ToString(ReadOutcome aOutcome)
{
  switch (aOutcome) {
    case ReadOutcome::Done:
      return "done";
    case ReadOutcome::HistoryGone:
      return "history-gone";
    case ReadOutcome::Refused:
      return "refused";
    case ReadOutcome::Lost:
      return "lost";
  }
  return "invalid";
}

StoreSync::StoreSync(Store& aStore,
                     Replica& aReplica,
                     StoreListener& aListener,
                     uint64_t aRandomSeed)
  : mStore(aStore)
  , mReplica(aReplica)
  , mListener(aListener)
  , mRandom(aRandomSeed)
  , mBackoff(kFirstWait, kLongestWait)
{
}

bool
StoreSync::Healthy() const
{
  return mReachable && std::ranges::all_of(mParts, &PartState::mWatching);
}

void
StoreSync::Step(bool aWatch, Instant aNow)
{
  mNow = aNow;
  mWatch = aWatch;
  if (aNow < mNotBefore) {
    return;
  }
  for (const Part part : kParts) {
    // While the store is lost, one call tells whether it is back.
    if (!mReachable && mProbing) {
      return;
    }
    StepPart(part, aWatch);
  }
}

void
StoreSync::StepPart(Part aPart, bool aWatch)
{
  const PartState& state = mParts[Index(aPart)];
  if (state.mBusy) {
    return;
  }
  // A node that does not watch needs the store only for what no peer gave it.
  if (state.mList && (aWatch || !mReplica.Known(aPart))) {
    StartList(aPart);
  } else if (aWatch) {
    StartWatch(aPart);
  }
}

void
StoreSync::StartList(Part aPart)
{
  mParts[Index(aPart)].mBusy = true;
  mProbing = true;
  ++mCalls;
  const auto spread = std::chrono::duration_cast<Duration>(
    (kLongestList - kShortestList) * mRandom.Fraction());
  mStore.List(aPart, kShortestList + spread, [this, aPart](ListResult aResult) {
    OnList(aPart, aResult);
  });
}

void
StoreSync::OnList(Part aPart, const ListResult& aResult)
{
  PartState& state = mParts[Index(aPart)];
  state.mBusy = false;
  mProbing = false;
  if (aResult.mOutcome != ReadOutcome::Done) {
    OnFailure(aPart, aResult.mOutcome);
    return;
  }
  OnSuccess(aPart);
  state.mList = false;
  state.mRevision = aResult.mSnapshot.mRevision;
  mReplica.ApplySnapshot(aPart, aResult.mSnapshot);
  Step(mWatch, mNow);
}

void
StoreSync::StartWatch(Part aPart)
{
  PartState& state = mParts[Index(aPart)];
  state.mBusy = true;
  state.mWatching = true;
  ++mCalls;
  mStore.Watch(aPart,
               state.mRevision,
               kWatchWait,
               [this, aPart](WatchResult aResult) { OnWatch(aPart, aResult); });
}

void
StoreSync::OnWatch(Part aPart, const WatchResult& aResult)
{
  PartState& state = mParts[Index(aPart)];
  state.mBusy = false;
  if (aResult.mOutcome == ReadOutcome::HistoryGone) {
    state.mList = true;
    state.mWatching = false;
    Step(mWatch, mNow);
    return;
  }
  if (aResult.mOutcome != ReadOutcome::Done) {
    state.mWatching = false;
    OnFailure(aPart, aResult.mOutcome);
    return;
  }
  OnSuccess(aPart);
  state.mRevision = std::max(state.mRevision, aResult.mRevision);
  mReplica.ApplyChanges(aPart, aResult.mChanges, aResult.mRevision);
  if (!mWatch) {
    // Changes are missed from now on.
    state.mWatching = false;
    state.mList = true;
    return;
  }
  Step(mWatch, mNow);
}

void
StoreSync::OnFailure(Part aPart, ReadOutcome aOutcome)
{
  // A list is answered at once, whether or not there are changes.
  mParts[Index(aPart)].mList = true;
  mNotBefore = mNow + mBackoff.Next(mRandom);
  if (mReachable) {
    mReachable = false;
    mListener.OnStoreLost(aPart, aOutcome);
  }
}

void
StoreSync::OnSuccess(Part aPart)
{
  mBackoff.Reset();
  if (!mReachable) {
    mReachable = true;
    mNotBefore = mNow;
    mListener.OnStoreRegained(aPart);
  }
}

} // namespace snipepost::cluster
