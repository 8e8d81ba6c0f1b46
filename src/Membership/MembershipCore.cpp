#include <snipepost/Membership/MembershipCore.h>

#include <snipepost/Membership/ExchangeController.h>
#include <snipepost/Membership/HealthController.h>
#include <snipepost/Membership/ViewController.h>

namespace snipepost {

namespace {

void
SetReachability(StoreStatus& aStatus, ObjectOutcome aOutcome, Instant aNow)
{
  aStatus.mReachable = aOutcome == ObjectOutcome::Done ||
                       aOutcome == ObjectOutcome::Conflict ||
                       aOutcome == ObjectOutcome::Absent;
  if (aStatus.mReachable) {
    aStatus.mLastSuccess = aNow;
  }
}

void
UpdateStoreStatus(Blackboard& aBoard,
                  const MembershipEvent& aEvent,
                  Instant aNow)
{
  if (const auto* read = std::get_if<StoreReadEnded>(&aEvent)) {
    SetReachability(aBoard.mStore, read->mOutcome, aNow);
  } else if (const auto* write = std::get_if<StoreWriteEnded>(&aEvent)) {
    SetReachability(aBoard.mStore, write->mOutcome, aNow);
  } else if (const auto* list = std::get_if<StoreListEnded>(&aEvent)) {
    SetReachability(aBoard.mStore, list->mOutcome, aNow);
  }
}

} // namespace

MembershipCore::MembershipCore(MembershipOptions aOptions,
                               const InstanceRecord& aOwn,
                               DocumentValidator aValidator,
                               uint64_t aSeed)
  : mRandom(aSeed)
{
  mBoard.mOptions = std::move(aOptions);
  mBoard.mOwn = aOwn;
  auto announcement = std::make_unique<AnnouncementController>();
  mAnnouncement = announcement.get();
  mControllers.push_back(std::move(announcement));
  if (aOwn.mRole == InstanceRole::Entry) {
    mControllers.push_back(std::make_unique<ViewController>());
    mControllers.push_back(std::make_unique<HealthController>());
  }
  mControllers.push_back(
    std::make_unique<DocumentController>(std::move(aValidator)));
  mControllers.push_back(std::make_unique<ExchangeController>());
}

MembershipEffects
MembershipCore::Handle(const MembershipEvent& aEvent, Instant aNow)
{
  UpdateStoreStatus(mBoard, aEvent, aNow);
  MembershipEffects effects;
  const auto step = [&](const MembershipEvent& aOne) {
    for (const auto& controller : mControllers) {
      controller->Step(mBoard, aOne, aNow, mRandom, effects);
    }
  };
  step(aEvent);
  for (const MembershipEvent& pending : std::exchange(mPending, {})) {
    step(pending);
  }
  return effects;
}

ExchangeMessage
MembershipCore::ReplyToExchange(const ExchangeMessage& aMessage, Instant aNow)
{
  // A newer document of the sender is pulled as if a reply had reported it.
  if (aMessage.mDocumentVersion > mBoard.mDocument.mVersion) {
    mPending.emplace_back(ExchangeEnded{ aMessage.mFrom, aMessage });
  }
  return ExchangeController::Reply(mBoard, aMessage, aNow);
}

void
MembershipCore::SetState(InstanceState aState)
{
  if (mBoard.mOwn.mState == aState) {
    return;
  }
  mBoard.mOwn.mState = aState;
  ++mBoard.mOwn.mVersion.mSequence;
  mBoard.mUrgentExchanges = std::max(mBoard.mUrgentExchanges, 3U);
}

void
MembershipCore::SetDomainsOut(std::set<DomainId> aDomains)
{
  if (mBoard.mDomainsOut == aDomains) {
    return;
  }
  mBoard.mDomainsOut = std::move(aDomains);
  ++mBoard.mViewRevision; // Causes probes to be reassigned.
}

bool
MembershipCore::MayAct(Instant aNow) const
{
  const bool leased =
    aNow < mBoard.mOwnLeaseEnd || !mBoard.mOptions.mSafeguards.mLease;
  return !Superseded() && leased;
}

} // namespace snipepost
