#pragma once

#include <functional>
#include <map>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

#include <snipepost/Admission/AgentCore.h>
#include <snipepost/Base/Random.h>

#include "tools/bench/PolicyEntry.h"
#include "tools/bench/PolicyServer.h"
#include "tools/bench/PolicyModel.h"
#include "tools/bench/PolicyWorkload.h"

namespace snipepost::bench {

/// Start of the measured time.
constexpr Instant kMeasureStart{ std::chrono::seconds(100) };
/// Time that is simulated before kMeasureStart. Longer than most flows, so that
/// the load is even from kMeasureStart on.
constexpr Duration kWarmUp = std::chrono::seconds(10);
constexpr size_t kEntries = 3;
constexpr size_t kNoServer = kServers;

struct AgentModel
{
  AgentCore mCore;
  ServerModel mServer{};
};

struct FlowModel
{
  const PlannedFlow* mPlan = nullptr;
  /// Number of the current connection attempt. Packets of earlier attempts are
  /// ignored.
  uint64_t mConnection = 0;
  size_t mServer = kNoServer;
  /// Connection attempts that failed since the last successful one.
  uint32_t mFailedAttempts = 0;
  bool mOpen = false;
  bool mEstablished = false;
  /// No more connection attempts: too many failed, or the deadlines of all
  /// requests have passed.
  bool mEnded = false;
  /// Indices of requests that are sent once the flow is open.
  std::vector<size_t> mWaiting{};
};

/// A request whose caller waits for an outcome.
struct PendingRequest
{
  size_t mFlow;
  const PlannedRequest* mPlan;
  Instant mPlannedTime;
  size_t mServer = kNoServer;
};

/// One run; see RunPolicyModel().
class PolicyModel
{
public:
  explicit PolicyModel(const ModelOptions& aOptions);
  ModelResult Run();

private:
  using Action = std::function<void()>;
  struct Scheduled
  {
    Instant mTime;
    uint64_t mOrder;
    Action mAction;
    /// Reversed, so that the top of std::priority_queue is the earliest action.
    bool operator<(const Scheduled& aOther) const
    {
      return std::tie(aOther.mTime, aOther.mOrder) < std::tie(mTime, mOrder);
    }
  };

  void ScheduleAt(Instant aTime, Action aAction);
  void ScheduleAfter(Duration aTime, Action aAction)
  {
    ScheduleAt(mNow + aTime, std::move(aAction));
  }
  void ResetResult();
  void ScheduleWorkload();
  void ScheduleScenario();
  void ScheduleRestart(size_t aServer, Instant aTime);
  void ChangeDomain(bool aOut);
  void UpdateEntries();
  /// The configuration of a server's agent before changes by the scenario.
  AgentConfig ConfigOf(size_t aServer) const;
  void Configure(size_t aServer, const AgentConfig& aConfig);
  void TickAndSample();
  void ReportLoads();

  void Open(size_t aFlow);
  void SendInitial(size_t aFlow, uint32_t aTransmission);
  void ReceiveInitial(size_t aFlow,
                      uint64_t aConnection,
                      const CandidateChoice& aChoice,
                      uint8_t aIndex,
                      uint8_t aHops);
  void OnAccepted(size_t aFlow, size_t aServer);
  void OnAttemptFailed(size_t aFlow);
  void SendSecondDatagram(size_t aFlow,
                          uint64_t aConnection,
                          uint32_t aTransmission);
  void ReceiveSecondDatagram(size_t aFlow,
                             uint64_t aConnection,
                             const CandidateChoice& aChoice,
                             uint8_t aIndex,
                             uint8_t aHops);
  void OnEstablished(size_t aFlow, uint64_t aConnection);
  void Fail(size_t aFlow);
  void Reopen(size_t aFlow);
  /// Closes the current connection without opening another one.
  void Close(size_t aFlow);

  void IssueRequest(size_t aFlow, size_t aRequest);
  void SendRequest(size_t aFlow, size_t aRequest);
  void Deliver(size_t aServer, const Event& aEvent);
  void Apply(size_t aServer, const Effect& aEffect);
  void ForwardToServer(size_t aServer, const ForwardRequest& aEffect);
  void FinishRequest(size_t aServer,
                     RequestId aRequest,
                     BackendOutcome aOutcome);
  void DeliverResponse(RequestId aRequest);
  void CountOutcome(RequestId aRequest, size_t ModelResult::*aCounter);
  void OnFlowClosedByAgent(size_t aServer, FlowId aId, bool aBroken);
  Duration HopTime(size_t aDomainA, size_t aDomainB) const;
  FlowKey KeyOf(const FlowModel& aFlow) const;
  size_t PickEntry() { return mFabricRandom.Below(kEntries); }

  ModelOptions mOptions;
  Instant mNow = kMeasureStart - kWarmUp;
  uint64_t mOrder = 0;
  std::priority_queue<Scheduled> mQueue;
  std::vector<PlannedFlow> mWorkload;
  std::vector<FlowModel> mFlows;
  std::vector<EntryModel> mEntries;
  std::vector<AgentModel> mAgents;
  std::vector<bool> mEligible = std::vector<bool>(kServers, true);
  DomainSet mDomainsOut;
  /// Indices in mFlows of each agent's open flows, by the agent's flow ID.
  std::vector<std::map<FlowId, size_t>> mOwned{ kServers };
  std::map<RequestId, PendingRequest> mPending;
  uint64_t mLastFlow = 0;
  uint64_t mLastRequest = 0;
  uint64_t mLastRun = 0;
  Random mFabricRandom;
  ModelResult mResult;
};

} // namespace snipepost::bench
