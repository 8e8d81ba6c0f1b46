#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>

#include <snipepost/Base/Types.h>
#include <snipepost/Cluster/Replica.h>
#include <snipepost/Flow/AdmissionGate.h>
#include <snipepost/Flow/BackendStatus.h>
#include <snipepost/Flow/Decision.h>
#include <snipepost/Flow/Packet.h>

namespace snipepost::flow {

/// Where an agent's packets and messages go.
class AgentOutput
{
public:
  virtual ~AgentOutput() = default;

  virtual void SendToBackend(std::span<const uint8_t> aBytes) = 0;
  virtual void SendToCaller(std::span<const uint8_t> aBytes,
                            const Address& aCaller) = 0;
  /// Answers a caller's packet with a reset.
  virtual void SendReset(const Packet& aPacket) = 0;
  virtual void SendToNode(cluster::NodeIp aNode, const OfferReply& aReply) = 0;
  virtual void SendToNode(cluster::NodeIp aNode,
                          const OwnerNotice& aNotice) = 0;
};

/// Settings of an agent.
struct AgentOptions
{
  std::string mService;
  std::string mDomain;
  /// No flow lives longer, so that an agent that has run for this long has
  /// seen the start of each flow of its backend server.
  Duration mFlowLimit = std::chrono::seconds(60);
  /// Packets of open flows still pass for this long after the evacuation of
  /// the own failure domain became known.
  Duration mEvacuationGrace = std::chrono::milliseconds(2500);
};

/// The decisions of an agent: which new flows its backend server takes, and
/// which packets of open flows belong to it. The agent is the gate for every
/// rule about new flows, because it alone knows the backend server's state; an
/// entry instance with old knowledge only loses the way here and back. Pure.
class AgentCore
{
public:
  /// Bounds the memory of the flow table; a backend server holds up to 2,000.
  static constexpr size_t kMaxFlows = 8192;

  AgentCore(AgentOptions aOptions,
            const cluster::Replica& aReplica,
            AgentOutput& aOutput,
            DecisionSink& aDecisions,
            Instant aStart);

  /// A caller's packet, sent on by the node aFrom.
  void OnNodePacket(const Packet& aPacket,
                    std::span<const uint8_t> aBytes,
                    cluster::NodeIp aFrom,
                    Instant aNow);
  /// A packet of the backend server, or one that it returned.
  void OnBackendPacket(const Packet& aPacket,
                       std::span<const uint8_t> aBytes,
                       Instant aNow);

  HeartbeatOutcome OnHeartbeat(const Heartbeat& aHeartbeat, Instant aNow);
  bool OnDeregister(const std::string& aId);
  /// The agent stops soon and takes no more flows.
  void StartLeaving() { mLeaving = true; }

  std::optional<Instant> NextDeadline() const;
  void OnTimer(Instant aNow);
  void Expire(Instant aNow);

  const BackendStatus& Status() const { return mStatus; }
  /// Requests at the backend server.
  uint32_t Load() const { return mLoad; }
  size_t FlowCount() const { return mFlows.size(); }
  /// Flows with a request that has no answer yet, or that are not closed.
  size_t OpenFlows() const;

private:
  struct AgentFlow
  {
    uint32_t mCallerSequence = 0;
    uint32_t mBackendSequence = 0;
    /// The backend server has answered the opening packet.
    bool mAnswered = false;
    /// A caller's packet was let through as the owner.
    bool mOpen = false;
    /// The backend server may hold the flow; it has not shown that it does.
    bool mTentative = false;
    /// The incarnation that held the flow is gone.
    bool mDead = false;
    /// Counted in mLoad.
    bool mBusy = false;
    bool mCallerFin = false;
    bool mBackendFin = false;
    /// Entry instance that sent the latest packet.
    cluster::NodeIp mEntry;
    /// Entry instance that was told of the ownership last.
    cluster::NodeIp mTold;
    Instant mOpenedAt;
    Instant mBusySince;
    Instant mLastSeen;
  };

  struct PendingAnswer
  {
    Instant mDeadline;
    FlowId mFlow;
    uint32_t mCallerSequence = 0;
  };

  using Flows = std::unordered_map<FlowId, AgentFlow>;

  void OnOpening(const Packet& aPacket,
                 std::span<const uint8_t> aBytes,
                 cluster::NodeIp aFrom,
                 Instant aNow);
  Refusal Judge(const Packet& aPacket, Instant aNow);
  bool Ready(Instant aNow) const;
  void Take(const Packet& aPacket,
            std::span<const uint8_t> aBytes,
            cluster::NodeIp aFrom,
            Instant aNow);
  void OnUnknownFlow(const Packet& aPacket,
                     std::span<const uint8_t> aBytes,
                     cluster::NodeIp aFrom,
                     Instant aNow);
  void OnReturned(const Packet& aPacket, Instant aNow);
  void OnAnswer(const FlowId& aId,
                AgentFlow& aFlow,
                const Packet& aPacket,
                Instant aNow);
  void Reply(cluster::NodeIp aTo,
             const FlowId& aId,
             uint32_t aCallerSequence,
             uint32_t aBackendSequence,
             Refusal aRefusal,
             Instant aNow);
  void TellOwned(const FlowId& aId, AgentFlow& aFlow);
  void TellNotOwned(const FlowId& aId,
                    cluster::NodeIp aFrom,
                    TransitMark aMark);
  /// Learns the service time from an answer that ends a request.
  void LearnServiceTime(const AgentFlow& aFlow, Instant aNow);
  bool ChosenByCaller(const AgentFlow& aFlow, const Packet& aPacket) const;
  void SetBusy(AgentFlow& aFlow, bool aBusy, Instant aNow);
  /// Ends the load of openings that no packet of the caller followed.
  void ReleaseOpenings(Instant aNow);
  /// Forgets deadlines of opening packets that were answered.
  void DropAnswered();
  void Erase(Flows::iterator aFlow);
  void EndFlows();
  bool PassesEvacuation(Instant aNow);
  bool KnowsAllFlows(Instant aNow) const;
  bool Silent(Instant aNow);
  void Decide(Verdict aVerdict,
              const FlowId& aId,
              cluster::NodeIp aPeer,
              Refusal aRefusal,
              Duration aElapsed,
              std::string_view aReason = {});

  AgentOptions mOptions;
  const cluster::Replica& mReplica;
  AgentOutput& mOutput;
  DecisionSink& mDecisions;
  Instant mStart;
  BackendStatus mStatus;
  /// The current incarnation of the backend server started under this agent.
  bool mSawStart = false;
  bool mLeaving = false;
  Flows mFlows;
  uint32_t mLoad = 0;
  Duration mServiceTime;
  /// Since when every slot has been busy without an answer; nothing while one
  /// is free.
  std::optional<Instant> mSaturatedSince;
  std::deque<PendingAnswer> mPending;
  /// Openings that count as load until a deadline.
  std::deque<PendingAnswer> mOpenings;
  /// Opening packets in a row that the backend server did not answer.
  uint32_t mUnanswered = 0;
  Instant mNextTrial;
  std::optional<Instant> mEvacuatedSince;
};

} // namespace snipepost::flow
