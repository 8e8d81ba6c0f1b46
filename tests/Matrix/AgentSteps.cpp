#include <tests/Matrix/AgentSimulation.h>

#include <array>
#include <cmath>
#include <limits>

using namespace std::chrono_literals;

namespace snipepost::matrix {

AgentSimulation::Method
AgentSimulation::MethodFor(Action aAction)
{
  static constexpr std::array<Method, kActions> kMethods{
    &AgentSimulation::DoRequest,         &AgentSimulation::DoBurst,
    &AgentSimulation::DoDuplicate,       &AgentSimulation::DoRelayedKey,
    &AgentSimulation::DoRelayedIn,       &AgentSimulation::DoNewScope,
    &AgentSimulation::DoAdvance,         &AgentSimulation::DoAdvanceLong,
    &AgentSimulation::DoHonestLoad,      &AgentSimulation::DoGiveUp,
    &AgentSimulation::DoCloseFlow,       &AgentSimulation::DoBackendRestart,
    &AgentSimulation::DoConnectionBreak, &AgentSimulation::DoStreamBreak,
    &AgentSimulation::DoRefusals,        &AgentSimulation::DoSheds,
    &AgentSimulation::DoSilentCold,      &AgentSimulation::DoLyingLoad,
    &AgentSimulation::DoLateLoad,        &AgentSimulation::DoHang,
    &AgentSimulation::DoAgentPause,      &AgentSimulation::DoAgentRestart,
    &AgentSimulation::DoStoreOut,        &AgentSimulation::DoStoreIn,
    &AgentSimulation::DoDrainOn,         &AgentSimulation::DoDrainOff,
    &AgentSimulation::DoBackendLeaves,   &AgentSimulation::DoShutdown,
    &AgentSimulation::DoDomainOut,       &AgentSimulation::DoDomainIn,
    &AgentSimulation::DoNewConfig
  };
  return kMethods.at(static_cast<size_t>(aAction));
}

void
AgentSimulation::DoRequest(const Step& aStep)
{
  SendNew(aStep, {});
}

void
AgentSimulation::DoBurst(const Step& aStep)
{
  for (uint8_t i = 0; i < 6; ++i) {
    SendNew({ Action::Request,
              static_cast<uint8_t>(aStep.mFirst + i),
              static_cast<uint8_t>(aStep.mSecond + i) },
            {});
  }
}

void
AgentSimulation::DoDuplicate(const Step& aStep)
{
  SendNew(aStep, KeyFor(aStep));
}

void
AgentSimulation::DoRelayedKey(const Step& aStep)
{
  static const KeyRing kAgentKeys(SecretKey{ 4, 2 });
  const KeyScope scope{ { 0x7f000002, 4433 }, Incarnation(1), 1000 };
  SendNew(aStep, WriteKeyScope(scope, kAgentKeys) + ".r");
}

void
AgentSimulation::DoRelayedIn(const Step& aStep)
{
  Send({ .mKey = KeyFor(aStep), .mIdempotent = false, .mDeadline = mNow + 10s },
       RequestClass::Submission,
       true);
}

void
AgentSimulation::DoNewScope(const Step& /*aStep*/)
{
  mScopes.push_back(mCore->IssueKeyScope(mNow));
}

void
AgentSimulation::DoAdvance(const Step& aStep)
{
  Advance(25ms * (1 + aStep.mFirst) * (1 + aStep.mSecond % 4));
}

void
AgentSimulation::DoAdvanceLong(const Step& aStep)
{
  Advance(aStep.mFirst % 2 == 0 ? 20s : 15s * aStep.mSecond);
}

void
AgentSimulation::DoHonestLoad(const Step& /*aStep*/)
{
  ReportLoad(mBackend.Warmth(mNow), FakeBackend::kSlots, mBackend.Boot());
}

void
AgentSimulation::DoGiveUp(const Step& aStep)
{
  for (RequestRecord& record : mRecords.mRequests) {
    if (record.mOutcome == CallerOutcome::None &&
        record.mRequest.Value() % 4 == aStep.mFirst % 4U) {
      record.mOutcome = CallerOutcome::Abandoned;
      Deliver(RequestCancelled{ record.mRequest });
      return;
    }
  }
}

void
AgentSimulation::DoCloseFlow(const Step& /*aStep*/)
{
  if (!mFlows.empty()) {
    const FlowId flow = *mFlows.begin();
    RemoveFlow(flow);
    Deliver(FlowClosed{ flow });
  }
}

void
AgentSimulation::DoBackendRestart(const Step& aStep)
{
  constexpr Duration kDownTime = 300ms;
  BreakConnection(aStep, kDownTime);
  mBackend.Restart(mNow + kDownTime);
  mBackendLeaving = false;
  UpdateLeaving();
}

void
AgentSimulation::DoConnectionBreak(const Step& aStep)
{
  BreakConnection(aStep, 100ms);
}

void
AgentSimulation::DoStreamBreak(const Step& aStep)
{
  const auto running = mBackend.Running();
  if (running.empty()) {
    return;
  }
  const RequestId request = running[aStep.mFirst % running.size()];
  mBackend.Abort(request);
  mInbox.push_back(BackendResult{ .mRequest = request,
                                  .mOutcome = BackendOutcome::Broken,
                                  .mResponseStarted = aStep.mSecond % 4 == 3 });
}

void
AgentSimulation::DoRefusals(const Step& aStep)
{
  mBackend.RefuseNext(1 + aStep.mFirst % 4);
}

void
AgentSimulation::DoSheds(const Step& aStep)
{
  mBackend.ShedNext(1 + aStep.mFirst % 4);
}

void
AgentSimulation::DoSilentCold(const Step& /*aStep*/)
{
  mBackend.TurnCold(mNow, true);
}

void
AgentSimulation::DoLyingLoad(const Step& aStep)
{
  static constexpr std::array kWarmth{
    1.0, 0.0, 0.5, 9.0, -1.0, std::numeric_limits<double>::quiet_NaN()
  };
  static constexpr std::array kSlots{ 4U, 0U, 400U };
  ReportLoad(kWarmth[aStep.mFirst % kWarmth.size()],
             kSlots[aStep.mSecond % kSlots.size()],
             aStep.mSecond % 2 == 0 ? mBackend.Boot() : std::string());
}

void
AgentSimulation::DoLateLoad(const Step& /*aStep*/)
{
  ReportLoad(1.0, FakeBackend::kSlots, mBackend.PreviousBoot());
}

void
AgentSimulation::DoHang(const Step& aStep)
{
  mBackend.SetHanging(aStep.mFirst % 3 != 0);
}

void
AgentSimulation::DoAgentPause(const Step& aStep)
{
  mPaused = true;
  Advance(2s * aStep.mFirst);
  mPaused = false;
  if (aStep.mSecond % 2 == 0) {
    // The first event after the pause is a request, ahead of all results.
    SendNew(aStep, {});
  }
}

void
AgentSimulation::DoAgentRestart(const Step& /*aStep*/)
{
  if (mRecords.mShutdown) {
    return;
  }
  for (RequestRecord& record : mRecords.mRequests) {
    if (record.mOutcome == CallerOutcome::None) {
      record.mOutcome = CallerOutcome::Abandoned;
    }
  }
  mFlows.clear();
  mInbox.clear();
  mRelays.clear();
  mBackend.AbortAll();
  mFinalGoawaySent = false;
  StartAgent();
}

void
AgentSimulation::DoStoreOut(const Step& aStep)
{
  mStoreOut = true;
  mEntriesConfirmLease = aStep.mFirst % 2 == 0;
  Deliver(LeaseChanged{ mLeaseEnd, true });
}

void
AgentSimulation::DoStoreIn(const Step& /*aStep*/)
{
  mStoreOut = false;
  mLeaseEnd = mNow + 90s;
  mNextRenewal = mNow + 30s;
  Deliver(LeaseChanged{ mLeaseEnd, false });
}

void
AgentSimulation::DoDrainOn(const Step& /*aStep*/)
{
  AgentConfig config = mConfig;
  config.mDraining = true;
  SetConfig(config);
}

void
AgentSimulation::DoDrainOff(const Step& /*aStep*/)
{
  AgentConfig config = mConfig;
  config.mDraining = false;
  SetConfig(config);
}

void
AgentSimulation::DoBackendLeaves(const Step& /*aStep*/)
{
  if (!mConnected) {
    return;
  }
  mBackendLeaving = true;
  UpdateLeaving();
  Deliver(BackendState{ .mReachable = true,
                        .mBoot = mBackend.Boot(),
                        .mHealth = BackendHealth::Draining });
}

void
AgentSimulation::DoShutdown(const Step& /*aStep*/)
{
  mRecords.mShutdown = true;
  UpdateLeaving();
  Deliver(ShutdownRequested{});
}

void
AgentSimulation::DoDomainOut(const Step& /*aStep*/)
{
  AgentConfig config = mConfig;
  config.mDomainOut = true;
  SetConfig(config);
  mRecords.mFlowsLeftOpen += static_cast<uint32_t>(mFlows.size());
}

void
AgentSimulation::DoDomainIn(const Step& /*aStep*/)
{
  if (!mConfig.mDomainOut) {
    return;
  }
  AgentConfig config = mConfig;
  config.mDomainOut = false;
  mBackend.TurnCold(mNow, false);
  SetConfig(config);
}

void
AgentSimulation::DoNewConfig(const Step& aStep)
{
  AgentConfig config = mConfig;
  config.mSlots = 1 + aStep.mFirst % FakeBackend::kSlots;
  config.mConnections = 1 + aStep.mSecond;
  config.mRamp = FakeBackend::kWarmUp + 5s * (aStep.mSecond % 3);
  SetConfig(config);
}

} // namespace snipepost::matrix
