#pragma once

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <snipepost/Admission/AgentCore.h>

#include <tests/Matrix/FakeBackend.h>
#include <tests/Matrix/Records.h>
#include <tests/Matrix/Schedule.h>

namespace snipepost::matrix {

/// Simulation of an agent core with fake callers and a fake backend server.
/// Runs one schedule, in virtual time that only the schedule advances.
class AgentSimulation
{
public:
  explicit AgentSimulation(const Safeguards& aSafeguards);

  /// Runs the steps, then advances the time past the deadlines of all requests.
  const Records& Run(const Schedule& aSchedule);

private:
  using Method = void (AgentSimulation::*)(const Step&);
  static Method MethodFor(Action aAction);

  // One method for each kind of step (AgentSteps.cpp).
  void DoRequest(const Step& aStep);
  void DoBurst(const Step& aStep);
  void DoDuplicate(const Step& aStep);
  void DoRelayedKey(const Step& aStep);
  void DoRelayedIn(const Step& aStep);
  void DoNewScope(const Step& aStep);
  void DoAdvance(const Step& aStep);
  void DoAdvanceLong(const Step& aStep);
  void DoHonestLoad(const Step& aStep);
  void DoGiveUp(const Step& aStep);
  void DoCloseFlow(const Step& aStep);
  void DoBackendRestart(const Step& aStep);
  void DoConnectionBreak(const Step& aStep);
  void DoStreamBreak(const Step& aStep);
  void DoRefusals(const Step& aStep);
  void DoSheds(const Step& aStep);
  void DoSilentCold(const Step& aStep);
  void DoLyingLoad(const Step& aStep);
  void DoLateLoad(const Step& aStep);
  void DoHang(const Step& aStep);
  void DoAgentPause(const Step& aStep);
  void DoAgentRestart(const Step& aStep);
  void DoStoreOut(const Step& aStep);
  void DoStoreIn(const Step& aStep);
  void DoDrainOn(const Step& aStep);
  void DoDrainOff(const Step& aStep);
  void DoBackendLeaves(const Step& aStep);
  void DoShutdown(const Step& aStep);
  void DoDomainOut(const Step& aStep);
  void DoDomainIn(const Step& aStep);
  void DoNewConfig(const Step& aStep);

  // Environment (AgentSimulation.cpp).
  void StartAgent();
  void Connect(bool aReportBoot);
  void BreakConnection(const Step& aStep, Duration aDownTime);
  void Send(RequestRecord aRecord, RequestClass aClass, bool aRelayed);
  void SendNew(const Step& aStep, const std::string& aKey);
  std::optional<FlowId> FlowFor(uint8_t aChoice);
  std::string KeyFor(const Step& aStep) const;
  void SetConfig(const AgentConfig& aConfig);
  void UpdateLeaving();
  bool LeaseHeld() const;
  void ReportLoad(double aWarmth, uint32_t aSlots, const std::string& aBoot);

  // Time and events (AgentSimulation.cpp).
  void Advance(Duration aTime);
  Instant NextEnvironmentEvent(Instant aLimit) const;
  void RunEnvironment();
  void Heartbeat();
  void DeliverInbox();
  void Deliver(const Event& aEvent);
  void Apply(const Effect& aEffect);
  void ApplyForward(RequestId aRequest);
  void SetOutcome(RequestId aRequest,
                  CallerOutcome aOutcome,
                  const std::string& aResponse = {});
  void RemoveFlow(FlowId aFlow);
  RequestRecord& Record(RequestId aRequest);

  Safeguards mSafeguards;
  Instant mNow;
  FakeBackend mBackend;
  AgentConfig mConfig;
  std::optional<AgentCore> mCore;
  uint64_t mIncarnation = 0;
  std::deque<Event> mInbox;
  std::set<FlowId> mFlows;
  uint64_t mLastFlow = 0;
  std::vector<std::string> mScopes;
  /// Requests that are being relayed to another agent.
  std::set<RequestId> mRelays;
  Records mRecords;
  uint64_t mOrder = 0;

  bool mPaused = false;
  bool mConnected = true;
  /// Whether the state after the next reconnection includes the boot ID.
  bool mReportBoot = true;
  Instant mReconnectAt;
  bool mBackendLeaving = false;
  std::optional<Instant> mLeavingSince;
  /// Flows on which the agent has sent the final GOAWAY.
  std::set<FlowId> mClosingFlows;
  bool mFinalGoawaySent = false;

  Instant mNextHeartbeat;
  Instant mNextRenewal;
  Instant mLeaseEnd;
  bool mStoreOut = false;
  /// Whether entry instances confirm the lease while the store is down.
  bool mEntriesConfirmLease = true;
  std::optional<Instant> mLastConfirmation;
};

} // namespace snipepost::matrix
