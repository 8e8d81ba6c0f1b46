#include <snipepost/Cluster/StoreSync.h>

#include <algorithm>

namespace snipepost::cluster {

namespace {

/// Wait times of watches. Each watch counts as a call, so it should wait long;
/// but the store may lose the response to a watch, and the connection then
/// stays silent until the end of the wait. Configurations and evacuations must
/// be in force within 3 s of such a loss; for records, the agents themselves
/// decide which flows they accept.
constexpr Duration kUrgentWatchWait = std::chrono::milliseconds(2500);
constexpr Duration kRecordWatchWait = std::chrono::seconds(10);

/// Pause between the response to a watch of the records and the next watch, so
/// that one response contains the changes of many records, as when a fleet
/// starts.
constexpr Duration kRecordWatchPause = std::chrono::milliseconds(100);

/// Bounds of the backoff after a failure: the store responds in milliseconds,
/// and nodes should detect its recovery within half a second.
constexpr Duration kFirstBackoff = std::chrono::milliseconds(50);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(800);
/// Bounds of the timeout of a list call. The store responds in 4 ms, and up to
/// 80 times slower when degraded. With a fixed timeout, nodes that all started
/// while it was unresponsive would retry at the same time and detect its
/// recovery late. With random timeouts, one of a few nodes retries soon and
/// notifies the others.
constexpr Duration kMinListTimeout = std::chrono::milliseconds(350);
constexpr Duration kMaxListTimeout = std::chrono::milliseconds(900);

Duration
WatchWait(Part aPart)
{
  return aPart == Part::Backends ? kRecordWatchWait : kUrgentWatchWait;
}

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
                     std::set<Part> aUrgentParts,
                     uint64_t aRandomSeed)
  : mStore(aStore)
  , mReplica(aReplica)
  , mListener(aListener)
  , mUrgentParts(std::move(aUrgentParts))
  , mRandom(aRandomSeed)
  , mBackoff(kFirstBackoff, kMaxBackoff)
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
  OnEpoch(mReplica.LatestEpoch());
  if (aWatch && !mShouldWatch) {
    StartWatching();
  }
  mShouldWatch = aWatch;
  if (aNow < mNextAttemptTime) {
    return;
  }
  for (const Part part : kParts) {
    // While the store is unreachable, a single call probes it.
    if (!mReachable && mListInFlight) {
      return;
    }
    StepPart(part, aWatch);
  }
}

// A response to a list call, which arrives at once, shows that the store is
// reachable; a watch would show it only after its wait.
void
StoreSync::StartWatching()
{
  for (PartState& state : mParts) {
    state.mNeedsList = state.mNeedsList || !state.mWatching;
  }
}

void
StoreSync::OnEpoch(Epoch aEpoch)
{
  if (aEpoch <= mEpoch) {
    return;
  }
  mEpoch = aEpoch;
  for (const Part part : kParts) {
    if (mParts[Index(part)].mPosition.mEpoch < aEpoch) {
      ListAgain(part);
    }
  }
}

void
StoreSync::ListAgain(Part aPart)
{
  PartState& state = mParts[Index(aPart)];
  state.mNeedsList = true;
  if (state.mWatching) {
    state.mWatching = false;
    state.mBusy = false;
    ++state.mWatchNumber;
  }
}

void
StoreSync::StepPart(Part aPart, bool aWatch)
{
  const PartState& state = mParts[Index(aPart)];
  if (state.mBusy) {
    return;
  }
  // A node that does not watch reads only the parts that it has not received
  // from a peer.
  if (state.mNeedsList && (aWatch || !mReplica.Loaded(aPart))) {
    StartList(aPart);
  } else if (aWatch && mNow >= state.mNextWatch) {
    StartWatch(aPart);
  }
}

void
StoreSync::StartList(Part aPart)
{
  mParts[Index(aPart)].mBusy = true;
  mListInFlight = true;
  ++mCalls;
  const auto jitter = std::chrono::duration_cast<Duration>(
    (kMaxListTimeout - kMinListTimeout) * mRandom.Fraction());
  const bool mayBeStale = !mShouldWatch && !mUrgentParts.contains(aPart);
  const auto freshness = mayBeStale ? Freshness::MayBeStale : Freshness::Latest;
  mStore.List(aPart,
              freshness,
              kMinListTimeout + jitter,
              [this, aPart, freshness](ListResult aResult) {
                OnList(aPart, freshness, std::move(aResult));
              });
}

void
StoreSync::OnList(Part aPart, Freshness aFreshness, ListResult aResult)
{
  PartState& state = mParts[Index(aPart)];
  state.mBusy = false;
  mListInFlight = false;
  if (aResult.mOutcome != ReadOutcome::Done) {
    OnFailure(aPart, aResult.mOutcome);
    return;
  }
  Snapshot& snapshot = aResult.mSnapshot;
  OnEpoch(std::max(snapshot.mEpoch, mReplica.LatestEpoch()));
  if (aFreshness == Freshness::MayBeStale) {
    // It may show the state from before a restore in a response from after it.
    snapshot.mEpoch = Epoch();
  } else if (snapshot.mEpoch < mEpoch) {
    // Sent before the store was restored.
    OnFailure(aPart, ReadOutcome::Lost);
    return;
  }
  OnSuccess(aPart);
  // A watch continues from the latest state only.
  state.mNeedsList = aFreshness == Freshness::MayBeStale;
  state.mPosition = snapshot.At();
  if (!mReplica.ApplySnapshot(aPart, snapshot)) {
    mListener.OnSnapshotRefused(aPart, snapshot);
  }
  Step(mShouldWatch, mNow);
}

void
StoreSync::StartWatch(Part aPart)
{
  PartState& state = mParts[Index(aPart)];
  state.mBusy = true;
  state.mWatching = true;
  ++mCalls;
  mStore.Watch(
    aPart,
    state.mPosition.mRevision,
    WatchWait(aPart),
    [this, aPart, number = ++state.mWatchNumber](const WatchResult& aResult) {
      OnWatch(aPart, number, aResult);
    });
}

void
StoreSync::OnWatch(Part aPart, uint64_t aNumber, const WatchResult& aResult)
{
  PartState& state = mParts[Index(aPart)];
  // A peer may have sent content of a later epoch since the last step.
  OnEpoch(mReplica.LatestEpoch());
  if (aNumber != state.mWatchNumber) {
    return;
  }
  state.mBusy = false;
  if (aResult.mOutcome != ReadOutcome::Done &&
      aResult.mOutcome != ReadOutcome::HistoryGone) {
    state.mWatching = false;
    OnFailure(aPart, aResult.mOutcome);
    return;
  }
  if (aResult.mOutcome == ReadOutcome::HistoryGone ||
      aResult.mEpoch != state.mPosition.mEpoch) {
    OnEpoch(aResult.mEpoch);
    ListAgain(aPart);
    Step(mShouldWatch, mNow);
    return;
  }
  OnSuccess(aPart);
  state.mPosition.mRevision =
    std::max(state.mPosition.mRevision, aResult.mRevision);
  mReplica.ApplyChanges(aPart, aResult.mChanges, aResult.mRevision);
  if (aPart == Part::Backends && !aResult.mChanges.empty()) {
    state.mNextWatch = mNow + kRecordWatchPause;
  }
  if (!mShouldWatch) {
    // Changes are no longer received.
    state.mWatching = false;
    state.mNeedsList = true;
    return;
  }
  Step(mShouldWatch, mNow);
}

void
StoreSync::OnFailure(Part aPart, ReadOutcome aOutcome)
{
  // Lists the part next: unlike a watch, a list call gets a response at once
  // even if nothing has changed, so it detects the recovery of the store.
  mParts[Index(aPart)].mNeedsList = true;
  mNextAttemptTime = mNow + mBackoff.Next(mRandom);
  if (mReachable) {
    mReachable = false;
    mListener.OnStoreUnreachable(aPart, aOutcome);
  }
}

void
StoreSync::OnSuccess(Part aPart)
{
  mBackoff.Reset();
  if (!mReachable) {
    mReachable = true;
    mNextAttemptTime = mNow;
    mListener.OnStoreReachable(aPart);
  }
}

} // namespace snipepost::cluster
