#include <tests/Matrix/World.h>

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

World::World(const Safeguards& aGuards)
  : mSafeguards(aGuards)
  , mNow(kStart)
  , mBackend(kStart)
  , mNextHeartbeat(kStart)
{
  StartAgent();
}

const Records&
World::Run(const Schedule& aSchedule)
{
  for (const Step& step : aSchedule) {
    if (mRecords.mExited) {
      return mRecords;
    }
    (this->*MethodFor(step.mAction))(step);
    DeliverInbox();
  }
  mBackend.SetHanging(false);
  // The longest deadline is 30 s.
  Advance(40s);
  return mRecords;
}

void
World::StartAgent()
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
  mConfirmed.reset();
  Deliver(LeaseChanged{ mLeaseEnd, mStoreOut });
  mTellBoot = true;
  if (mConnected) {
    Connect(true);
  }
  DeliverInbox();
}

void
World::Connect(bool aTellBoot)
{
  mConnected = true;
  mInbox.push_back(BackendState{
    .mReachable = true,
    .mBoot = aTellBoot ? mBackend.Boot() : std::string(),
    .mHealth = mBackendLeaving ? BackendHealth::Draining : BackendHealth::Ok });
}

void
World::BreakConnection(const Step& aStep, Duration aDownTime)
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
  // A server that is still starting can't be reached sooner.
  const Instant up = mNow + aDownTime;
  mReconnect = wasConnected ? up : std::max(mReconnect, up);
  mTellBoot = aStep.mSecond % 2 == 0;
}

void
World::Send(CallerRecord aRecord, RequestClass aClass, bool aRelayed)
{
  aRecord.mRequest = RequestId(mRecords.mCallers.size() + 1);
  aRecord.mSentAt = mNow;
  aRecord.mAfterGoaway = aRelayed ? mGoaway : mClosing.contains(aRecord.mFlow);
  mRecords.mCallers.push_back(aRecord);
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
World::SendNew(const Step& aStep, const std::string& aKey)
{
  const auto flow = FlowFor(aStep.mFirst);
  if (!flow) {
    return;
  }
  const auto kind =
    static_cast<RequestClass>(aKey.empty() ? aStep.mSecond % 3 : 0);
  const Duration patience = aStep.mFirst % 4 == 0 ? 2s : 30s;
  Send({ .mKey = aKey,
         .mIdempotent = kind != RequestClass::Submission,
         .mDeadline = mNow + patience,
         .mFlow = *flow },
       kind,
       false);
}

std::optional<FlowId>
World::FlowFor(uint8_t aChoice)
{
  // A caller seldom sends on a flow whose GOAWAY is still under way to it.
  const bool race = aChoice % 4 == 0;
  for (const FlowId flow : mFlows) {
    if (flow.Value() % 3 == aChoice % 3U &&
        (race || !mClosing.contains(flow))) {
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
World::KeyFor(const Step& aStep) const
{
  const size_t back = aStep.mFirst % std::min<size_t>(mScopes.size(), 4);
  return mScopes[mScopes.size() - 1 - back] + ".k" +
         std::to_string(aStep.mSecond % 3);
}

void
World::SetConfig(const AgentConfig& aConfig)
{
  mConfig = aConfig;
  UpdateLeaving();
  Deliver(ConfigChanged{ mConfig });
}

void
World::UpdateLeaving()
{
  const bool leaving =
    mConfig.mDraining || mBackendLeaving || mRecords.mShutdown;
  if (!leaving) {
    mLeavingSince.reset();
    mGoaway = false;
  } else if (!mLeavingSince) {
    mLeavingSince = mNow;
  }
}

bool
World::LeaseHeld() const
{
  return mNow < mLeaseEnd ||
         (mStoreOut && mConfirmed && mNow - *mConfirmed < 3s);
}

void
World::ReportLoad(double aWarmth, uint32_t aSlots, const std::string& aBoot)
{
  mInbox.push_back(BackendState{ .mReachable = mConnected,
                                 .mBoot = aBoot,
                                 .mWarmth = aWarmth,
                                 .mSlots = aSlots });
}

void
World::Advance(Duration aTime)
{
  const Instant target = mNow + aTime;
  int ticksInARow = 0;
  DeliverInbox();
  while (!mRecords.mExited) {
    const Instant next = NextInEnvironment(target);
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
World::NextInEnvironment(Instant aLimit) const
{
  Instant next = std::min(aLimit, mNextHeartbeat);
  if (const auto done = mBackend.NextCompletion()) {
    next = std::min(next, *done);
  }
  return mConnected ? next : std::min(next, mReconnect);
}

void
World::RunEnvironment()
{
  for (const auto& [request, response] : mBackend.Complete(mNow)) {
    mInbox.push_back(BackendResult{
      .mRequest = request,
      .mOutcome = BackendOutcome::Answered,
      .mResponse = std::make_shared<const std::string>(response) });
  }
  if (!mConnected && mReconnect <= mNow) {
    Connect(mTellBoot);
  }
  if (mNextHeartbeat <= mNow) {
    Heartbeat();
    mNextHeartbeat = mNow + 1s;
  }
}

void
World::Heartbeat()
{
  if (mPaused) {
    return;
  }
  if (mStoreOut && mConfirming) {
    mConfirmed = mNow;
    mInbox.push_back(EntryConfirmed{});
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
World::DeliverInbox()
{
  while (!mPaused && !mInbox.empty() && !mRecords.mExited) {
    const Event event = mInbox.front();
    mInbox.pop_front();
    Deliver(event);
  }
}

void
World::Deliver(const Event& aEvent)
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
World::Apply(const Effect& aEffect)
{
  if (const auto* passOn = std::get_if<ForwardRequest>(&aEffect)) {
    ApplyPassOn(passOn->mRequest);
  } else if (const auto* reject = std::get_if<Reject>(&aEffect)) {
    SetOutcome(reject->mRequest, CallerOutcome::Rejected);
  } else if (const auto* unknown =
               std::get_if<RespondOutcomeUnknown>(&aEffect)) {
    SetOutcome(unknown->mRequest, CallerOutcome::Unknown);
  } else if (const auto* stored = std::get_if<ReplayResponse>(&aEffect)) {
    SetOutcome(stored->mRequest, CallerOutcome::Stored, *stored->mResponse);
  } else if (const auto* relay = std::get_if<Relay>(&aEffect)) {
    mRelays.insert(relay->mRequest);
  } else if (const auto* cancel = std::get_if<Cancel>(&aEffect)) {
    mRelays.erase(cancel->mRequest);
    if (mBackend.Abort(cancel->mRequest)) {
      mInbox.push_back(BackendResult{ .mRequest = cancel->mRequest,
                                      .mOutcome = BackendOutcome::Broken });
    }
  } else if (std::holds_alternative<SendShutdownNotice>(aEffect)) {
    mGoaway = false;
  } else if (std::holds_alternative<SendFinalGoaway>(aEffect)) {
    mGoaway = true;
    mClosing = mFlows;
  } else if (const auto* close = std::get_if<CloseFlow>(&aEffect)) {
    LoseFlow(close->mFlow);
  } else if (std::holds_alternative<ReadyToExit>(aEffect)) {
    mRecords.mExited = true;
    for (CallerRecord& record : mRecords.mCallers) {
      if (record.mOutcome == CallerOutcome::None) {
        record.mOutcome = CallerOutcome::Interrupted;
      }
    }
  }
}

void
World::ApplyPassOn(RequestId aRequest)
{
  BackendResult result{ .mRequest = aRequest };
  if (!mConnected) {
    result.mOutcome = BackendOutcome::Broken;
    mInbox.push_back(result);
    return;
  }
  const CallerRecord& caller = Record(aRequest);
  JournalEntry entry{ .mAt = mNow,
                      .mOrder = ++mOrder,
                      .mRequest = aRequest,
                      .mKey = caller.mKey,
                      .mIdempotent = caller.mIdempotent,
                      .mIncarnation = mIncarnation,
                      .mLeaseHeld = LeaseHeld(),
                      .mDomainOut = mConfig.mDomainOut,
                      .mLeavingSince = mLeavingSince };
  const auto reply = mBackend.Arrive(entry);
  mRecords.mJournal.push_back(entry);
  if (reply == FakeBackend::Reply::Running) {
    return;
  }
  result.mOutcome = reply == FakeBackend::Reply::Refused
                      ? BackendOutcome::Refused
                      : BackendOutcome::Shed;
  result.mResponse = std::make_shared<const std::string>(entry.mResponse);
  mInbox.push_back(result);
}

void
World::SetOutcome(RequestId aRequest,
                  CallerOutcome aOutcome,
                  const std::string& aResponse)
{
  CallerRecord& record = Record(aRequest);
  if (record.mOutcome == CallerOutcome::FlowGone) {
    return;
  }
  if (record.mOutcome != CallerOutcome::None) {
    record.mAnsweredTwice = true;
    return;
  }
  record.mOutcome = aOutcome;
  record.mOutcomeOrder = ++mOrder;
  record.mResponse = aResponse;
}

void
World::LoseFlow(FlowId aFlow)
{
  mFlows.erase(aFlow);
  for (CallerRecord& record : mRecords.mCallers) {
    if (record.mFlow == aFlow && record.mOutcome == CallerOutcome::None) {
      record.mOutcome = CallerOutcome::FlowGone;
    }
  }
}

CallerRecord&
World::Record(RequestId aRequest)
{
  return mRecords.mCallers.at(aRequest.Value() - 1);
}

} // namespace snipepost::matrix
