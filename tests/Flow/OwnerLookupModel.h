#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include <snipepost/Base/Random.h>
#include <snipepost/Flow/FlowAgentCore.h>
#include <snipepost/Flow/FlowEntryCore.h>

#include "tests/Flow/Samples.h"
#include "tests/Flow/StateHistory.h"

namespace snipepost::flow {

/// A change that may make an instance look up the owner of an open flow.
enum class Disturbance : uint8_t
{
  /// A route sends its new flows to the other service.
  MoveRoute,
  /// A split's weights change, to zero or to none as well.
  ChangeWeights,
  RemoveRoute,
  RestartEntry,
  /// The server goes on.
  RestartAgent,
  RestartServer,
  /// Server and agent start within some 100 ms of each other.
  RestartMachine,
  Evacuate,
  EndEvacuation,
  /// A record is removed although its agent is running, which writes it again.
  RemoveRecord,
  /// A record is removed and written again before any instance learns of it, so
  /// that only its creation revision changes.
  RewriteRecord,
  AddServer,
  RemoveServer,
  /// An instance does not receive the shared state for some seconds.
  DelayState,
  /// The routers in front send all flows to other entry instances.
  MoveCallers,
};

constexpr size_t kDisturbances = 15;

std::string_view
ToString(Disturbance aDisturbance);

struct PlannedDisturbance
{
  Instant mAt;
  Disturbance mKind = Disturbance::MoveRoute;
  /// Seed of its random choices, which do not depend on other disturbances.
  uint64_t mSeed = 0;
};

using Plan = std::vector<PlannedDisturbance>;

/// Disturbances at random times, without those of the kinds in aWithout.
Plan
MakePlan(uint64_t aSeed, const std::vector<Disturbance>& aWithout = {});

/// Simulation without sockets of entry instances and agents (the production
/// cores), each with its own replica of the shared state, between callers and
/// backend servers. Reports the first reset of a flow that is open at a running
/// server.
class OwnerLookupModel
{
public:
  explicit OwnerLookupModel(uint64_t aSeed, bool aTraced = false);
  ~OwnerLookupModel();

  /// Describes the first wrong reset; nothing when there is none.
  std::optional<std::string> Run(const Plan& aPlan);

  /// Events in order of time, when traced.
  const std::vector<std::string>& Trace() const { return mTrace; }

  size_t OpenedFlows() const { return mOpenedFlows; }
  /// Resets in response to packets of flows that were not open.
  size_t RightResets() const { return mRightResets; }
  size_t Lookups() const { return mDecisions.mLookups; }
  /// Flows that were passed on to the other service of a split.
  size_t Overflows() const { return mDecisions.mOverflows; }

private:
  class Entry;
  class Agent;
  struct Instance;
  struct Caller;
  struct Server;
  struct ServerFlow;

  /// Weights of the two services in a route; a negative one leaves the service
  /// out.
  struct RouteState
  {
    std::array<int, 2> mWeights{};
    bool mRemoved = false;
  };

  struct CountingDecisions final : DecisionSink
  {
    void OnDecision(const Decision& aDecision) override
    {
      mLookups += aDecision.mVerdict == Verdict::Locating;
      mOverflows += aDecision.mVerdict == Verdict::Placed &&
                    aDecision.mReason == kOverflowReason;
    }
    size_t mLookups = 0;
    size_t mOverflows = 0;
  };

  struct Event
  {
    Instant mAt;
    uint64_t mOrder = 0;
    std::function<void()> mAction;

    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.mAt, aOther.mOrder) < std::tie(mAt, mOrder);
    }
  };

  void After(Duration aDelay, std::function<void()> aAction);
  void RunTimers();
  void Note(const std::string& aText);
  /// Delay of a packet or message; nothing when it is lost.
  std::optional<Duration> PathDelay(double aLoss);
  /// In milliseconds since the Unix epoch.
  uint64_t TimeOfDay() const;
  Duration Between(Duration aLow, Duration aHigh);

  void AddServer();
  void PlanFlows();
  void WriteRoutes();
  /// Passes the latest state to every replica.
  void Distribute();

  /// Lets an instance that starts receive the shared state, an earlier one
  /// first; one from before the usual lag if aMayLag.
  void StartInstance(Instance& aInstance, bool aMayLag);

  void Apply(const PlannedDisturbance& aPlanned);
  void RewriteRecord(size_t aIndex);
  void ChangeRoutes(Disturbance aKind, Random& aRandom);
  void ChangeEvacuation(Disturbance aKind, Random& aRandom);
  void RestartEntry(Entry& aEntry, Random& aRandom);
  void RestartAgent(size_t aIndex, Duration aDowntime);
  void RestartServer(Server& aServer, Random& aRandom);
  void RemoveServer(Server& aServer, Random& aRandom);
  void DelayState(Random& aRandom);

  void StartFlow(Caller& aCaller);
  void ContinueFlow(Caller& aCaller);
  void SendData(Caller& aCaller, uint32_t aNumber, size_t aRepetition);
  void SendFromCaller(Caller& aCaller, const Packet& aPacket);
  void DeliverToCaller(const Packet& aPacket);
  /// Checks a reset that aSender sends in response to aPacket.
  void OnReset(const std::string& aSender, const Packet& aPacket);
  /// The caller's flow at a running server that holds it open.
  const ServerFlow* FindOpen(const Caller& aCaller) const;

  void StartServer(Server& aServer);
  void EndServer(Server& aServer);
  void SendHeartbeat(Server& aServer, uint64_t aRun);
  void OnServerPacket(Server& aServer, const Packet& aPacket);
  void OnServerSyn(Server& aServer, const Packet& aPacket);
  void SendSynAck(Server& aServer, const FlowTuple& aTuple, size_t aRepetition);
  void SendToAgent(Server& aServer, const Packet& aPacket);

  Random mRandom;
  bool mTraced;
  Duration mFlowLimit;
  Duration mIdleTimeout;
  /// Entry instances, rather than agents, may have a state that is older than
  /// the time after which an agent accepts flows for a new record.
  bool mEntriesLag;
  double mMessageLoss;
  /// Every server whose number is divisible by this is of the second service.
  size_t mServiceStep;
  /// Flows that one server can have open.
  uint32_t mMaxFlows;
  std::vector<std::string> mDomains;
  std::vector<RouteState> mRoutes;
  uint64_t mConfigVersion = 0;
  CountingDecisions mDecisions;
  StateHistory mStore;
  Instant mNow{ std::chrono::seconds(100) };
  std::priority_queue<Event> mEvents;
  uint64_t mNextOrder = 0;
  std::vector<std::unique_ptr<Server>> mServers;
  std::vector<std::unique_ptr<Agent>> mAgents;
  std::vector<std::unique_ptr<Entry>> mEntries;
  std::map<Address, std::unique_ptr<Caller>> mCallers;
  std::vector<std::string> mTrace;
  std::optional<std::string> mWrongReset;
  size_t mOpenedFlows = 0;
  size_t mRightResets = 0;
};

} // namespace snipepost::flow
