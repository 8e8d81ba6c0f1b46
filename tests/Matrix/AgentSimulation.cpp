#include <tests/Matrix/AgentSimulation.h>

#include <algorithm>
#include <type_traits>
#include <variant>

using namespace std::chrono_literals;

namespace snipepost::matrix {

namespace {

constexpr Instant kStart{ 1000s };
constexpr Address kAgent{ 0x7f000001, 4433 };
const KeyRing kKeys(SecretKey{ 4, 2 });

} // namespace

AgentSimulation::AgentSimulation(const Safeguards& aSafeguards)
  : mSafeguards(aSafeguards)
  , mNow(kStart)
  , mBackend(kStart)
  , mNextHeartbeat(kStart)
{
  StartAgent();
}

const Records&
AgentSimulation::Run(const Schedule& aSchedule)
{
  for (const Step& step : aSchedule) {
    if (mRecords.mExited) {
      return mRecords;
    }
    (this->*MethodFor(step.mAction))(step);
    DeliverInbox();
  }
  mBackend.SetHanging(false);
  // Exceeds the longest deadline, which is 30 s.
  Advance(40s);
  return mRecords;
}

void
AgentSimulation::StartAgent()
{
  ++mIncarnation;
  mCore.emplace(AgentOptions{ .mAddress = kAgent,
                              .mIncarnation = Incarnation(mIncarnation),
                              .mIdempotency = { .mMaxEntries = 24 },
                              .mSafeguards = mSafeguards },
                mConfig,
                kKeys,
                mNow);
  mScopes.push_back(mCore->IssueKeyScope(mNow));
  mLeaseEnd = mNow + 90s;
  mNextRenewal = mNow + 30s;
  mLastConfirmation.reset();
  Deliver(LeaseChanged{ mLeaseEnd, mStoreOut });
  mReportBoot = true;
  if (mConnected) {
    Connect(true);
  }
  DeliverInbox();
}

void
AgentSimulation::Connect(bool aReportBoot)
{
  mConnected = true;
  mInbox.push_back(BackendState{
    .mReachable = true,
    .mBoot = aReportBoot ? mBackend.Boot() : std::string(),
    .mHealth = mBackendLeaving ? BackendHealth::Draining : BackendHealth::Ok });
}

void
AgentSimulation::BreakConnection(const Step& aStep, Duration aDownTime)
{
  const bool stateFirst = aStep.mFirst % 2 == 0;
  const bool wasConnected = std::exchange(mConnected, false);
  if (stateFirst && wasConnected) {
    mInbox.push_back(BackendState{ .mReachable = false });
  }
  for (const RequestId request : mBackend.AbortAll()) {
    mInbox.push_back(
      BackendResult{ .mRequest = request,
                     .mOutcome = BackendOutcome::Broken,
                     .mResponseStarted = aStep.mSecond % 4 == 3 });
  }
  if (!stateFirst && wasConnected) {
    mInbox.push_back(BackendState{ .mReachable = false });
  }
  // A further break doesn't make a server that is still starting reachable
  // earlier.
  const Instant reachableAt = mNow + aDownTime;
  mReconnectAt =
    wasConnected ? reachableAt : std::max(mReconnectAt, reachableAt);
  mReportBoot = aStep.mSecond % 2 == 0;
}

void
AgentSimulation::Send(RequestRecord aRecord, RequestClass aClass, bool aRelayed)
{
  aRecord.mRequest = RequestId(mRecords.mRequests.size() + 1);
  aRecord.mSentAt = mNow;
  aRecord.mAfterGoaway =
    aRelayed ? mFinalGoawaySent : mClosingFlows.contains(aRecord.mFlow);
  mRecords.mRequests.push_back(aRecord);
  std::optional<FlowId> flow;
  if (!aRelayed) {
    flow = aRecord.mFlow;
  }
  Deliver(RequestArrived{ .mRequest = aRecord.mRequest,
                          .mFlow = flow,
                          .mClass = aClass,
                          .mIdempotent = aRecord.mIdempotent,
                          .mKey = aRecord.mKey,
                          .mDeadline = aRecord.mDeadline });
}

void
AgentSimulation::SendNew(const Step& aStep, const std::string& aKey)
{
  const auto flow = FlowFor(aStep.mFirst);
  if (!flow) {
    return;
  }
  const auto kind =
    static_cast<RequestClass>(aKey.empty() ? aStep.mSecond % 3 : 0);
  const Duration timeout = aStep.mFirst % 4 == 0 ? 2s : 30s;
  Send({ .mKey = aKey,
         .mIdempotent = kind != RequestClass::Submission,
         .mDeadline = mNow + timeout,
         .mFlow = *flow },
       kind,
       false);
}

std::optional<FlowId>
AgentSimulation::FlowFor(uint8_t aChoice)
{
  // A few requests arrive on a flow after the final GOAWAY was sent on it,
  // because their caller has not received it yet.
  const bool race = aChoice % 4 == 0;
  for (const FlowId flow : mFlows) {
    if (flow.Value() % 3 == aChoice % 3U &&
        (race || !mClosingFlows.contains(flow))) {
      return flow;
    }
  }
  const auto decision = mCore->OnReceivedPacket(ReceivedPacket{}, mNow);
  if (decision.mAction != HuntingDecision::Action::Accept) {
    return mFlows.empty() ? std::nullopt : std::optional(*mFlows.begin());
  }
  mRecords.mFlows.push_back({ .mAt = mNow,
                              .mLeaseHeld = LeaseHeld(),
                              .mDomainOut = mConfig.mDomainOut,
                              .mLeaving = mLeavingSince.has_value() });
  const FlowId flow(++mLastFlow);
  mFlows.insert(flow);
  Deliver(FlowOpened{ flow });
  return mFlows.contains(flow) ? std::optional(flow) : std::nullopt;
}

std::string
AgentSimulation::KeyFor(const Step& aStep) const
{
  const size_t back = aStep.mFirst % std::min<size_t>(mScopes.size(), 4);
  return mScopes[mScopes.size() - 1 - back] + ".k" +
         std::to_string(aStep.mSecond % 3);
}

void
AgentSimulation::SetConfig(const AgentConfig& aConfig)
{
  mConfig = aConfig;
  UpdateLeaving();
  Deliver(ConfigChanged{ mConfig });
}

void
AgentSimulation::UpdateLeaving()
{
  const bool leaving =
    mConfig.mDraining || mBackendLeaving || mRecords.mShutdown;
  if (!leaving) {
    mLeavingSince.reset();
    mFinalGoawaySent = false;
  } else if (!mLeavingSince) {
    mLeavingSince = mNow;
  }
}

bool
AgentSimulation::LeaseHeld() const
{
  return mNow < mLeaseEnd ||
         (mStoreOut && mLastConfirmation && mNow - *mLastConfirmation < 3s);
}

void
AgentSimulation::ReportLoad(double aWarmth,
                            uint32_t aSlots,
                            const std::string& aBoot)
{
  mInbox.push_back(BackendState{ .mReachable = mConnected,
                                 .mBoot = aBoot,
                                 .mWarmth = aWarmth,
                                 .mSlots = aSlots });
}

void
AgentSimulation::Advance(Duration aTime)
{
  const Instant target = mNow + aTime;
  int ticksInARow = 0;
  DeliverInbox();
  while (!mRecords.mExited) {
    const Instant next = NextEnvironmentEvent(target);
    const auto tick = mPaused ? std::nullopt : mCore->NextTick(mNow);
    if (tick && *tick <= next && *tick <= target) {
      ticksInARow = *tick <= mNow ? ticksInARow + 1 : 0;
      mNow = std::max(mNow, *tick);
      if (ticksInARow > 10) {
        mRecords.mTickLoop = true;
        return;
      }
      Deliver(Tick{});
    } else if (next < target) {
      mNow = std::max(mNow, next);
      RunEnvironment();
    } else {
      mNow = target;
      RunEnvironment();
      DeliverInbox();
      return;
    }
    DeliverInbox();
  }
}

Instant
AgentSimulation::NextEnvironmentEvent(Instant aLimit) const
{
  Instant next = std::min(aLimit, mNextHeartbeat);
  if (const auto done = mBackend.NextCompletion()) {
    next = std::min(next, *done);
  }
  return mConnected ? next : std::min(next, mReconnectAt);
}

void
AgentSimulation::RunEnvironment()
{
  for (const auto& [request, response] : mBackend.Complete(mNow)) {
    mInbox.push_back(BackendResult{
      .mRequest = request,
      .mOutcome = BackendOutcome::Answered,
      .mResponse = std::make_shared<const std::string>(response) });
  }
  if (!mConnected && mReconnectAt <= mNow) {
    Connect(mReportBoot);
  }
  if (mNextHeartbeat <= mNow) {
    Heartbeat();
    mNextHeartbeat = mNow + 1s;
  }
}

void
AgentSimulation::Heartbeat()
{
  if (mPaused) {
    return;
  }
  if (mStoreOut && mEntriesConfirmLease) {
    mLastConfirmation = mNow;
    mInbox.push_back(ConfirmedByEntry{});
  }
  if (!mStoreOut && mNextRenewal <= mNow) {
    mLeaseEnd = mNow + 90s;
    mNextRenewal = mNow + 30s;
    mInbox.push_back(LeaseChanged{ mLeaseEnd, false });
  }
  for (const RequestId relay : std::exchange(mRelays, {})) {
    mInbox.push_back(RelayFinished{ relay });
  }
}

void
AgentSimulation::DeliverInbox()
{
  while (!mPaused && !mInbox.empty() && !mRecords.mExited) {
    const Event event = mInbox.front();
    mInbox.pop_front();
    Deliver(event);
  }
}

void
AgentSimulation::Deliver(const Event& aEvent)
{
  if (const auto* result = std::get_if<BackendResult>(&aEvent)) {
    const bool complete = result->mOutcome == BackendOutcome::Answered ||
                          result->mOutcome == BackendOutcome::Shed;
    auto& record = Record(result->mRequest);
    if (complete && record.mOutcome == CallerOutcome::None) {
      SetOutcome(result->mRequest, CallerOutcome::Answered, *result->mResponse);
    }
  }
  if (const auto* relay = std::get_if<RelayFinished>(&aEvent)) {
    if (Record(relay->mRequest).mOutcome == CallerOutcome::None) {
      SetOutcome(relay->mRequest, CallerOutcome::Relayed);
    }
  }
  for (const Effect& effect : mCore->Handle(aEvent, mNow)) {
    Apply(effect);
  }
}

void
AgentSimulation::Apply(const Effect& aEffect)
{
  if (const auto* forward = std::get_if<ForwardRequest>(&aEffect)) {
    ApplyForward(forward->mRequest);
  } else if (const auto* reject = std::get_if<Reject>(&aEffect)) {
    SetOutcome(reject->mRequest, CallerOutcome::Rejected);
  } else if (const auto* unknown =
               std::get_if<RespondOutcomeUnknown>(&aEffect)) {
    SetOutcome(unknown->mRequest, CallerOutcome::Unknown);
  } else if (const auto* replay = std::get_if<ReplayResponse>(&aEffect)) {
    SetOutcome(replay->mRequest, CallerOutcome::Replayed, *replay->mResponse);
  } else if (const auto* relay = std::get_if<Relay>(&aEffect)) {
    mRelays.insert(relay->mRequest);
  } else if (const auto* cancel = std::get_if<Cancel>(&aEffect)) {
    mRelays.erase(cancel->mRequest);
    if (mBackend.Abort(cancel->mRequest)) {
      mInbox.push_back(BackendResult{ .mRequest = cancel->mRequest,
                                      .mOutcome = BackendOutcome::Broken });
    }
  } else if (std::holds_alternative<SendShutdownNotice>(aEffect)) {
    mFinalGoawaySent = false;
  } else if (std::holds_alternative<SendFinalGoaway>(aEffect)) {
    mFinalGoawaySent = true;
    mClosingFlows = mFlows;
  } else if (const auto* close = std::get_if<CloseFlow>(&aEffect)) {
    RemoveFlow(close->mFlow);
  } else if (std::holds_alternative<ReadyToExit>(aEffect)) {
    mRecords.mExited = true;
    for (RequestRecord& record : mRecords.mRequests) {
      if (record.mOutcome == CallerOutcome::None) {
        record.mOutcome = CallerOutcome::Interrupted;
      }
    }
  }
}

void
AgentSimulation::ApplyForward(RequestId aRequest)
{
  BackendResult result{ .mRequest = aRequest };
  if (!mConnected) {
    result.mOutcome = BackendOutcome::Broken;
    mInbox.push_back(result);
    return;
  }
  const RequestRecord& record = Record(aRequest);
  JournalEntry entry{ .mAt = mNow,
                      .mOrder = ++mOrder,
                      .mRequest = aRequest,
                      .mKey = record.mKey,
                      .mIdempotent = record.mIdempotent,
                      .mIncarnation = mIncarnation,
                      .mLeaseHeld = LeaseHeld(),
                      .mDomainOut = mConfig.mDomainOut,
                      .mLeavingSince = mLeavingSince };
  const auto reply = mBackend.HandleArrival(entry);
  mRecords.mJournal.push_back(entry);
  if (reply == FakeBackend::ArrivalResult::Running) {
    return;
  }
  result.mOutcome = reply == FakeBackend::ArrivalResult::Refused
                      ? BackendOutcome::Refused
                      : BackendOutcome::Shed;
  result.mResponse = std::make_shared<const std::string>(entry.mResponse);
  mInbox.push_back(result);
}

void
AgentSimulation::SetOutcome(RequestId aRequest,
                            CallerOutcome aOutcome,
                            const std::string& aResponse)
{
  RequestRecord& record = Record(aRequest);
  if (record.mOutcome == CallerOutcome::Abandoned) {
    return;
  }
  if (record.mOutcome != CallerOutcome::None) {
    record.mMultipleOutcomes = true;
    return;
  }
  record.mOutcome = aOutcome;
  record.mOutcomeOrder = ++mOrder;
  record.mResponse = aResponse;
}

void
AgentSimulation::RemoveFlow(FlowId aFlow)
{
  mFlows.erase(aFlow);
  for (RequestRecord& record : mRecords.mRequests) {
    if (record.mFlow == aFlow && record.mOutcome == CallerOutcome::None) {
      record.mOutcome = CallerOutcome::Abandoned;
    }
  }
}

RequestRecord&
AgentSimulation::Record(RequestId aRequest)
{
  return mRecords.mRequests.at(aRequest.Value() - 1);
}

} // namespace snipepost::matrix
