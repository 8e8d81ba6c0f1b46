#include <snipepost/Membership/DocumentController.h>

namespace snipepost {

using namespace std::chrono_literals;

namespace {

/// A pull without a response within this time fails, and another peer is tried.
constexpr Duration kPullTimeout = 2s;
/// Bounds of the delay after a failed pull.
constexpr Duration kPullDelayMin = 200ms;
constexpr Duration kPullDelayMax = 3200ms;
/// Intervals between reads of the document in addition to the watch. They bound
/// the effect of a watch that stalled silently, and detect that the store has
/// lost the document. A read of 1 MB every 30 s is 33 KB/s, so instances that
/// do not watch the store, which get documents from peers, read less often.
constexpr Duration kWatcherReadInterval = 30s;
constexpr Duration kNonWatcherReadInterval = 600s;
constexpr double kReadJitter = 0.2;
/// Delay per rank before a lost document is written back, so that usually only
/// one instance writes.
constexpr Duration kWriteBackDelayPerRank = 1s;

} // namespace

std::string
DocumentKey(const Blackboard& aBoard)
{
  return "deployments/" + aBoard.mOptions.mDeployment;
}

DocumentController::DocumentController(DocumentValidator aValidator)
  : mValidator(std::move(aValidator))
  , mPullDelay(kPullDelayMin, kPullDelayMax)
  , mReadDelay(500ms, 10s)
{
}

void
DocumentController::Step(Blackboard& aBoard,
                         const MembershipEvent& aEvent,
                         Instant aNow,
                         Random& aRandom,
                         MembershipEffects& aEffects)
{
  Context context{ aBoard, aNow, aRandom, aEffects };
  std::visit([&](const auto& aAlternative) { Handle(context, aAlternative); },
             aEvent);
}

void
DocumentController::Handle(Context& aContext, const ClockTick&)
{
  if (mPullPeer && aContext.mNow >= mPullDeadline) {
    PullFailed(aContext, *std::exchange(mPullPeer, std::nullopt));
  }
  if (!mPullPeer && !mPeersAhead.empty() && aContext.mNow >= mNextPull) {
    const auto next = mPeersAhead.upper_bound(mLastFailedPeer);
    PullFrom(aContext,
             next == mPeersAhead.end() ? mPeersAhead.begin()->first
                                       : next->first);
  }
  ReadStoreWhenDue(aContext);
  WriteBackWhenDue(aContext);
}

void
DocumentController::Handle(Context& aContext, const GenerationSeen& aEvent)
{
  if (aEvent.mGeneration <= aContext.mBoard.mDocument.mVersion.mGeneration) {
    return;
  }
  mPeersAhead[aEvent.mFrom] = aEvent.mGeneration;
  if (!mPullPeer && aContext.mNow >= mNextPull) {
    PullFrom(aContext, aEvent.mFrom);
  }
}

void
DocumentController::Handle(Context& aContext, const ExchangeEnded& aEvent)
{
  if (!aEvent.mReply ||
      aEvent.mReply->mDocumentVersion <= aContext.mBoard.mDocument.mVersion) {
    return;
  }
  mPeersAhead[aEvent.mPeer] = aEvent.mReply->mDocumentVersion.mGeneration;
  if (!mPullPeer && aContext.mNow >= mNextPull) {
    PullFrom(aContext, aEvent.mPeer);
  }
}

void
DocumentController::PullFrom(Context& aContext, const Address& aPeer)
{
  mPullPeer = aPeer;
  mPullDeadline = aContext.mNow + kPullTimeout;
  ++aContext.mBoard.mCounters.mDocumentPulls;
  aContext.mEffects.emplace_back(PullDocument{ aPeer });
}

void
DocumentController::Handle(Context& aContext, const DocumentPullEnded& aEvent)
{
  if (mPullPeer == aEvent.mFrom) {
    mPullPeer.reset();
  }
  if (!aEvent.mText) {
    PullFailed(aContext, aEvent.mFrom);
    return;
  }
  mPeersAhead.erase(aEvent.mFrom);
  mPullDelay.Reset();
  Adopt(aContext, *aEvent.mText);
}

// Without probes, an agent learns of a newer document only from its exchanges,
// every 5 s. A failed pull is therefore retried until the delay has reached its
// maximum.
void
DocumentController::PullFailed(Context& aContext, const Address& aPeer)
{
  mLastFailedPeer = aPeer;
  mNextPull = aContext.mNow + mPullDelay.Next(aContext.mRandom);
  if (mPullDelay.Bound() == kPullDelayMax) {
    mPeersAhead.erase(aPeer);
  }
}

void
DocumentController::Adopt(Context& aContext, const std::string& aText)
{
  Blackboard& board = aContext.mBoard;
  const auto version = mValidator(aText);
  if (!version) {
    ++board.mCounters.mDocumentsRejected;
    return;
  }
  if (*version == board.mDocument.mVersion ||
      (*version < board.mDocument.mVersion &&
       board.mOptions.mSafeguards.mRejectOlderDocuments)) {
    return;
  }
  board.mDocument = VersionedDocument{ *version, aText };
  ++board.mCounters.mDocumentsAdopted;
  mWriteBackAt.reset();
  std::erase_if(mPeersAhead, [&](const auto& aPeer) {
    return aPeer.second <= version->mGeneration;
  });
  // Peers receive the new version at once instead of at the next interval.
  constexpr unsigned kUrgentExchanges = 3;
  board.mUrgentExchanges = std::max(board.mUrgentExchanges, kUrgentExchanges);
  aContext.mEffects.emplace_back(DocumentAdopted{});
}

void
DocumentController::ReadStoreWhenDue(Context& aContext)
{
  if (mReading || aContext.mNow < mNextRead) {
    return;
  }
  mReading = true;
  ++aContext.mBoard.mCounters.mStoreReads;
  aContext.mEffects.emplace_back(StoreRead{ DocumentKey(aContext.mBoard) });
}

void
DocumentController::Handle(Context& aContext, const StoreReadEnded& aEvent)
{
  if (aEvent.mKey != DocumentKey(aContext.mBoard)) {
    return;
  }
  mReading = false;
  const bool reachable = aEvent.mOutcome == ObjectOutcome::Done ||
                         aEvent.mOutcome == ObjectOutcome::Absent;
  if (!reachable) {
    mNextRead = aContext.mNow + mReadDelay.Next(aContext.mRandom);
    ++aContext.mBoard.mCounters.mStoreFailures;
    return;
  }
  mReadDelay.Reset();
  mNextRead =
    aContext.mNow + aContext.mRandom.Jittered(WatchesStore(aContext.mBoard)
                                                ? kWatcherReadInterval
                                                : kNonWatcherReadInterval,
                                              kReadJitter);
  CompareWithStored(aContext,
                    aEvent.mOutcome == ObjectOutcome::Done
                      ? std::optional(aEvent.mObject)
                      : std::nullopt);
}

void
DocumentController::Handle(Context& aContext, const StoreListEnded& aEvent)
{
  if (aEvent.mOutcome != ObjectOutcome::Done) {
    return;
  }
  for (const StoredObject& object : aEvent.mObjects) {
    if (object.mKey == DocumentKey(aContext.mBoard)) {
      CompareWithStored(aContext, object);
    }
  }
}

void
DocumentController::CompareWithStored(
  Context& aContext,
  const std::optional<StoredObject>& aObject)
{
  Blackboard& board = aContext.mBoard;
  if (aObject) {
    Adopt(aContext, aObject->mValue);
  }
  const auto stored =
    aObject ? mValidator(aObject->mValue) : std::optional<DocumentVersion>();
  const bool storeOutdated =
    board.mDocument.Exists() && (!stored || *stored < board.mDocument.mVersion);
  if (!storeOutdated) {
    mWriteBackAt.reset();
    return;
  }
  if (board.mOwn.mRole != InstanceRole::Entry ||
      !board.mOptions.mSafeguards.mWriteBack) {
    return;
  }
  mWriteBackCondition =
    aObject ? StoreCondition(aObject->mVersion) : std::nullopt;
  if (!mWriteBackAt) {
    const auto rank =
      static_cast<int64_t>(OwnRank(board, RankKey(board.mOptions.mDeployment)));
    mWriteBackAt = aContext.mNow +
                   aContext.mRandom.Jittered(kWriteBackDelayPerRank, 0.5) +
                   kWriteBackDelayPerRank * rank;
  }
}

void
DocumentController::WriteBackWhenDue(Context& aContext)
{
  if (!mWriteBackAt || aContext.mNow < *mWriteBackAt) {
    return;
  }
  Blackboard& board = aContext.mBoard;
  mWriteBackAt.reset();
  ++board.mCounters.mWriteBacks;
  ++board.mCounters.mStoreWrites;
  aContext.mEffects.emplace_back(StoreWrite{ DocumentKey(board),
                                             board.mDocument.mText,
                                             mWriteBackCondition,
                                             Duration::zero() });
}

void
DocumentController::Handle(Context& aContext, const StoreWriteEnded& aEvent)
{
  if (aEvent.mKey != DocumentKey(aContext.mBoard)) {
    return;
  }
  // The next read shows whether the store holds the document.
  mNextRead = aContext.mNow + (aEvent.mOutcome == ObjectOutcome::Done
                                 ? Duration::zero()
                                 : mReadDelay.Next(aContext.mRandom));
}

} // namespace snipepost
