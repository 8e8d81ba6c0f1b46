#include <tests/Matrix/World.h>

#include <array>
#include <cmath>
#include <limits>

using namespace std::chrono_literals;

namespace snipepost::matrix {

World::Method
World::MethodFor(Action aAction)
{
  static constexpr std::array<Method, kActions> kMethods{
    &World::DoRequest,         &World::DoBurst,       &World::DoDuplicate,
    &World::DoRelayedKey,      &World::DoRelayedIn,   &World::DoNewScope,
    &World::DoAdvance,         &World::DoAdvanceLong, &World::DoHonestLoad,
    &World::DoGiveUp,          &World::DoCloseFlow,   &World::DoBackendRestart,
    &World::DoConnectionBreak, &World::DoStreamBreak, &World::DoRefusals,
    &World::DoSheds,           &World::DoSilentCold,  &World::DoLyingLoad,
    &World::DoLateLoad,        &World::DoHang,        &World::DoAgentPause,
    &World::DoAgentRestart,    &World::DoStoreOut,    &World::DoStoreIn,
    &World::DoDrainOn,         &World::DoDrainOff,    &World::DoBackendLeaves,
    &World::DoShutdown,        &World::DoDomainOut,   &World::DoDomainIn,
    &World::DoNewConfig
  };
  return kMethods.at(static_cast<size_t>(aAction));
}

void
World::DoRequest(const Step& aStep)
{
  SendNew(aStep, {});
}

void
World::DoBurst(const Step& aStep)
{
  for (uint8_t i = 0; i < 6; ++i) {
    SendNew({ Action::Request,
              static_cast<uint8_t>(aStep.mFirst + i),
              static_cast<uint8_t>(aStep.mSecond + i) },
            {});
  }
}

void
World::DoDuplicate(const Step& aStep)
{
  SendNew(aStep, KeyFor(aStep));
}

void
World::DoRelayedKey(const Step& aStep)
{
  static const KeyRing kSameKeys(SecretKey{ 4, 2 });
  const KeyScope scope{ { 0x7f000002, 4433 }, Incarnation(1), 1000 };
  SendNew(aStep, WriteKeyScope(scope, kSameKeys) + ".r");
}

void
World::DoRelayedIn(const Step& aStep)
{
  Send({ .mKey = KeyFor(aStep), .mIdempotent = false, .mDeadline = mNow + 10s },
       RequestClass::Submission,
       true);
}

void
World::DoNewScope(const Step& /*aStep*/)
{
  mScopes.push_back(mCore->IssueKeyScope(mNow));
}

void
World::DoAdvance(const Step& aStep)
{
  Advance(25ms * (1 + aStep.mFirst) * (1 + aStep.mSecond % 4));
}

void
World::DoAdvanceLong(const Step& aStep)
{
  Advance(aStep.mFirst % 2 == 0 ? 20s : 15s * aStep.mSecond);
}

void
World::DoHonestLoad(const Step& /*aStep*/)
{
  ReportLoad(mBackend.Warmth(mNow), FakeBackend::kSlots, mBackend.Boot());
}

void
World::DoGiveUp(const Step& aStep)
{
  for (CallerRecord& record : mRecords.mCallers) {
    if (record.mOutcome == CallerOutcome::None &&
        record.mRequest.Value() % 4 == aStep.mFirst % 4U) {
      record.mOutcome = CallerOutcome::FlowGone;
      Deliver(RequestCancelled{ record.mRequest });
      return;
    }
  }
}

void
World::DoCloseFlow(const Step& /*aStep*/)
{
  if (!mFlows.empty()) {
    const FlowId flow = *mFlows.begin();
    LoseFlow(flow);
    Deliver(FlowClosed{ flow });
  }
}

void
World::DoBackendRestart(const Step& aStep)
{
  constexpr Duration kDown = 300ms;
  BreakConnection(aStep, kDown);
  mBackend.Restart(mNow + kDown);
  mBackendLeaving = false;
  UpdateLeaving();
}

void
World::DoConnectionBreak(const Step& aStep)
{
  BreakConnection(aStep, 100ms);
}

void
World::DoStreamBreak(const Step& aStep)
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
World::DoRefusals(const Step& aStep)
{
  mBackend.RefuseNext(1 + aStep.mFirst % 4);
}

void
World::DoSheds(const Step& aStep)
{
  mBackend.ShedNext(1 + aStep.mFirst % 4);
}

void
World::DoSilentCold(const Step& /*aStep*/)
{
  mBackend.GoCold(mNow, true);
}

void
World::DoLyingLoad(const Step& aStep)
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
World::DoLateLoad(const Step& /*aStep*/)
{
  ReportLoad(1.0, FakeBackend::kSlots, mBackend.EarlierBoot());
}

void
World::DoHang(const Step& aStep)
{
  mBackend.SetHanging(aStep.mFirst % 3 != 0);
}

void
World::DoAgentPause(const Step& aStep)
{
  mPaused = true;
  Advance(2s * aStep.mFirst);
  mPaused = false;
  if (aStep.mSecond % 2 == 0) {
    // The first event after the pause is a request, before any result.
    SendNew(aStep, {});
  }
}

void
World::DoAgentRestart(const Step& /*aStep*/)
{
  if (mRecords.mShutdown) {
    return;
  }
  for (CallerRecord& record : mRecords.mCallers) {
    if (record.mOutcome == CallerOutcome::None) {
      record.mOutcome = CallerOutcome::FlowGone;
    }
  }
  mFlows.clear();
  mInbox.clear();
  mRelays.clear();
  mBackend.AbortAll();
  mGoaway = false;
  StartAgent();
}

void
World::DoStoreOut(const Step& aStep)
{
  mStoreOut = true;
  mConfirming = aStep.mFirst % 2 == 0;
  Deliver(LeaseChanged{ mLeaseEnd, true });
}

void
World::DoStoreIn(const Step& /*aStep*/)
{
  mStoreOut = false;
  mLeaseEnd = mNow + 90s;
  mNextRenewal = mNow + 30s;
  Deliver(LeaseChanged{ mLeaseEnd, false });
}

void
World::DoDrainOn(const Step& /*aStep*/)
{
  AgentConfig config = mConfig;
  config.mDraining = true;
  SetConfig(config);
}

void
World::DoDrainOff(const Step& /*aStep*/)
{
  AgentConfig config = mConfig;
  config.mDraining = false;
  SetConfig(config);
}

void
World::DoBackendLeaves(const Step& /*aStep*/)
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
World::DoShutdown(const Step& /*aStep*/)
{
  mRecords.mShutdown = true;
  UpdateLeaving();
  Deliver(ShutdownRequested{});
}

void
World::DoDomainOut(const Step& /*aStep*/)
{
  AgentConfig config = mConfig;
  config.mDomainOut = true;
  SetConfig(config);
  mRecords.mFlowsLeftOpen += static_cast<uint32_t>(mFlows.size());
}

void
World::DoDomainIn(const Step& /*aStep*/)
{
  if (!mConfig.mDomainOut) {
    return;
  }
  AgentConfig config = mConfig;
  config.mDomainOut = false;
  mBackend.GoCold(mNow, false);
  SetConfig(config);
}

void
World::DoNewConfig(const Step& aStep)
{
  AgentConfig config = mConfig;
  config.mSlots = 1 + aStep.mFirst % FakeBackend::kSlots;
  config.mConnections = 1 + aStep.mSecond;
  config.mRamp = FakeBackend::kWarmUp + 5s * (aStep.mSecond % 3);
  SetConfig(config);
}

} // namespace snipepost::matrix
