#include <snipepost/Membership/DocumentController.h>

namespace snipepost {

using namespace std::chrono_literals;

namespace {

/// A peer that does not answer within this time is given up for another.
constexpr Duration kPullTimeout = 2s;
/// Bounds of the delay after a failed pull.
constexpr Duration kPullDelayFirst = 200ms;
constexpr Duration kPullDelayLimit = 3200ms;
/// Interval of full reads: bounds the harm of a watch that stalled silently.
/// The entry instances that watch the store also notice here that it lost the
/// document; a read of 1 MB every 30 s is 33 KB/s, so the others, which learn
/// of documents from peers, read less often.
constexpr Duration kReadInterval = 30s;
constexpr Duration kOtherReadInterval = 600s;
constexpr double kReadSpread = 0.2;
/// Wait between one rank and the next before a lost document is written back,
/// so that usually one instance writes.
constexpr Duration kWriteBackStep = 1s;

} // namespace

std::string
DocumentKey(const Blackboard& aBoard)
{
  return "deployments/" + aBoard.mOptions.mDeployment;
}

DocumentController::DocumentController(DocumentInspector aInspector)
  : mInspector(std::move(aInspector))
  , mPullDelay(kPullDelayFirst, kPullDelayLimit)
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
  if (mPulling && aContext.mNow >= mPullDeadline) {
    PullFailed(aContext, *std::exchange(mPulling, std::nullopt));
  }
  if (!mPulling && !mAhead.empty() && aContext.mNow >= mNextPull) {
    const auto next = mAhead.upper_bound(mLastFailed);
    PullFrom(aContext,
             next == mAhead.end() ? mAhead.begin()->first : next->first);
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
  mAhead[aEvent.mFrom] = aEvent.mGeneration;
  if (!mPulling && aContext.mNow >= mNextPull) {
    PullFrom(aContext, aEvent.mFrom);
  }
}

void
DocumentController::Handle(Context& aContext, const ExchangeEnded& aEvent)
{
  if (!aEvent.mAnswer ||
      aEvent.mAnswer->mDocument <= aContext.mBoard.mDocument.mVersion) {
    return;
  }
  mAhead[aEvent.mWith] = aEvent.mAnswer->mDocument.mGeneration;
  if (!mPulling && aContext.mNow >= mNextPull) {
    PullFrom(aContext, aEvent.mWith);
  }
}

void
DocumentController::PullFrom(Context& aContext, const Address& aPeer)
{
  mPulling = aPeer;
  mPullDeadline = aContext.mNow + kPullTimeout;
  ++aContext.mBoard.mCounters.mDocumentPulls;
  aContext.mEffects.emplace_back(PullDocument{ aPeer });
}

void
DocumentController::Handle(Context& aContext, const DocumentFetched& aEvent)
{
  if (mPulling == aEvent.mFrom) {
    mPulling.reset();
  }
  if (!aEvent.mText) {
    PullFailed(aContext, aEvent.mFrom);
    return;
  }
  mAhead.erase(aEvent.mFrom);
  mPullDelay.Reset();
  Adopt(aContext, *aEvent.mText);
}

// An agent hears of a greater document every 5 s only, so that a failed pull
// is repeated until the delay has reached its limit.
void
DocumentController::PullFailed(Context& aContext, const Address& aPeer)
{
  mLastFailed = aPeer;
  mNextPull = aContext.mNow + mPullDelay.Next(aContext.mRandom);
  if (mPullDelay.Bound() == kPullDelayLimit) {
    mAhead.erase(aPeer);
  }
}

void
DocumentController::Adopt(Context& aContext, const std::string& aText)
{
  Blackboard& board = aContext.mBoard;
  const auto version = mInspector(aText);
  if (!version) {
    ++board.mCounters.mDocumentsRejected;
    return;
  }
  if (*version == board.mDocument.mVersion ||
      (*version < board.mDocument.mVersion &&
       board.mOptions.mGuards.mNeverReverts)) {
    return;
  }
  board.mDocument = HeldDocument{ *version, aText };
  ++board.mCounters.mDocumentsAdopted;
  mWriteBackAt.reset();
  std::erase_if(mAhead, [&](const auto& aPeer) {
    return aPeer.second <= version->mGeneration;
  });
  // A new document is passed on at once instead of at the next interval.
  constexpr unsigned kAnnounceTo = 3;
  board.mUrgentExchanges = std::max(board.mUrgentExchanges, kAnnounceTo);
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
  const bool answered = aEvent.mOutcome == ObjectOutcome::Done ||
                        aEvent.mOutcome == ObjectOutcome::Absent;
  if (!answered) {
    mNextRead = aContext.mNow + mReadDelay.Next(aContext.mRandom);
    ++aContext.mBoard.mCounters.mStoreFailures;
    return;
  }
  mReadDelay.Reset();
  mNextRead =
    aContext.mNow + aContext.mRandom.Jittered(WatchesStore(aContext.mBoard)
                                                ? kReadInterval
                                                : kOtherReadInterval,
                                              kReadSpread);
  ObserveStored(aContext,
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
      ObserveStored(aContext, object);
    }
  }
}

void
DocumentController::ObserveStored(Context& aContext,
                                  const std::optional<StoredObject>& aObject)
{
  Blackboard& board = aContext.mBoard;
  if (aObject) {
    Adopt(aContext, aObject->mValue);
  }
  const auto stored =
    aObject ? mInspector(aObject->mValue) : std::optional<DocumentVersion>();
  const bool behind =
    board.mDocument.Exists() && (!stored || *stored < board.mDocument.mVersion);
  if (!behind) {
    mWriteBackAt.reset();
    return;
  }
  if (board.mOwn.mRole != InstanceRole::Entry ||
      !board.mOptions.mGuards.mWriteBack) {
    return;
  }
  mWriteBackCondition =
    aObject ? StoreCondition(aObject->mVersion) : std::nullopt;
  if (!mWriteBackAt) {
    const auto rank =
      static_cast<int64_t>(OwnRank(board, RankKey(board.mOptions.mDeployment)));
    mWriteBackAt = aContext.mNow +
                   aContext.mRandom.Jittered(kWriteBackStep, 0.5) +
                   kWriteBackStep * rank;
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
  // Whatever became of the write, what the store now holds is read again.
  mNextRead = aContext.mNow + (aEvent.mOutcome == ObjectOutcome::Done
                                 ? Duration::zero()
                                 : mReadDelay.Next(aContext.mRandom));
}

} // namespace snipepost
