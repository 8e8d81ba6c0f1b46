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
#include <snipepost/Flow/CircuitBreaker.h>
#include <snipepost/Flow/Decision.h>
#include <snipepost/Flow/FlowScheduler.h>
#include <snipepost/Flow/Packet.h>
#include <snipepost/Flow/UtilisationMean.h>

namespace snipepost::flow {

/// Sends an agent's packets and messages.
class AgentOutput
{
public:
  virtual ~AgentOutput() = default;

  virtual void SendToBackend(std::span<const uint8_t> aBytes) = 0;
  virtual void SendToCaller(std::span<const uint8_t> aBytes,
                            const Address& aCaller) = 0;
  /// Responds to a caller's packet with a reset.
  virtual void SendReset(const Packet& aPacket) = 0;
  virtual void SendToNode(cluster::NodeIp aNode, const OfferReply& aReply) = 0;
  virtual void SendToNode(cluster::NodeIp aNode,
                          const OwnerNotice& aNotice) = 0;
  virtual void SendToNode(cluster::NodeIp aNode,
                          const OwnerExclusion& aExclusion) = 0;
};

/// Settings of an agent.
struct AgentOptions
{
  std::string mService;
  std::string mDomain;
  /// Maximum lifetime of a flow. An agent that has run for longer has forwarded
  /// the SYN of every flow of its backend server.
  Duration mFlowLimit = std::chrono::seconds(60);
  /// Time for which packets of existing flows are still forwarded after the
  /// agent learned that its own failure domain is evacuated.
  Duration mEvacuationGrace = std::chrono::milliseconds(2500);
  /// Start of the agent by the machine's time of day, in milliseconds since the
  /// Unix epoch; 0 when unknown.
  uint64_t mStartTime = 0;
  /// Whether new flows may wait at the agent, ordered by priority.
  bool mScheduleFlows = true;
};

/// The decisions of an agent: which new flows its backend server accepts, and
/// which packets of existing flows belong to it. The agent enforces every rule
/// about new flows, because only it has the backend server's current state; an
/// entry instance with outdated state only wastes one round trip. Does no I/O;
/// the time is an argument.
class FlowAgentCore
{
public:
  /// Bounds the memory of the flow table; a backend server has up to 2,000
  /// flows.
  static constexpr size_t kMaxFlows = 8192;

  FlowAgentCore(AgentOptions aOptions,
                const cluster::Replica& aReplica,
                AgentOutput& aOutput,
                DecisionSink& aDecisions,
                Instant aStart);

  /// Handles a caller's packet that the node aFrom forwarded.
  void OnNodePacket(const Packet& aPacket,
                    std::span<const uint8_t> aBytes,
                    cluster::NodeIp aFrom,
                    Instant aNow);
  /// Handles a packet that the backend server sent or returned.
  void OnBackendPacket(const Packet& aPacket,
                       std::span<const uint8_t> aBytes,
                       Instant aNow);

  HeartbeatOutcome OnHeartbeat(const Heartbeat& aHeartbeat, Instant aNow);
  /// See BackendStatus::OnDeregister().
  bool OnDeregister(const std::string& aId, uint64_t aStartTime = 0);
  /// Whether the backend server may have ended: it has deregistered, left its
  /// latest SYNs unanswered, or returned packets without being overloaded.
  bool MayHaveEnded() const;
  /// Passes the proof that no backend server is running. Until the next
  /// heartbeat the agent accepts no flow, and its flows are reset.
  void OnBackendEnded();
  bool BackendEnded() const { return mBackendEnded; }
  /// Passes whether the agent's record is stored, once this is known. After its
  /// record was created, the agent accepts no flow for a moment, so that no
  /// flow is opened at a server that other entry instances do not know yet.
  void SetRecordStored(bool aStored, Instant aNow);
  /// Stops accepting flows, before the agent shuts down.
  void RefuseNewFlows() { mRefusesNewFlows = true; }

  std::optional<Instant> NextDeadline() const;
  void OnTimer(Instant aNow);
  void Expire(Instant aNow);

  const BackendStatus& Status() const { return mStatus; }
  /// Requests that the backend server processes or queues.
  uint32_t Load() const { return mLoad; }
  size_t FlowCount() const { return mFlows.size(); }
  const FlowScheduler& Scheduler() const { return mScheduler; }
  /// New flows that wait at the agent.
  size_t WaitingFlows() const { return mScheduler.Queue().Size(); }
  /// Open flows whose request waits at the agent.
  size_t WaitingRequests() const { return mScheduler.Requests().Size(); }
  /// Flows that are not closed or have a request without a response.
  size_t OpenFlows() const;
  /// True when the table contains every flow of the backend server, because the
  /// agent has forwarded the SYN of each.
  bool TracksAllFlows(Instant aNow) const;

private:
  /// The caller's data that was forwarded to the backend server.
  class ForwardedData
  {
  public:
    void Add(const Packet& aPacket);
    /// Whether all data of aPacket was forwarded before.
    bool Contains(const Packet& aPacket) const;

  private:
    /// Sequence number after the data; nothing before the first.
    std::optional<uint32_t> mEnd;
  };

  struct AgentFlow
  {
    uint32_t mCallerSequence = 0;
    uint32_t mBackendSequence = 0;
    /// The backend server has sent a SYN-ACK.
    bool mSynAcked = false;
    /// The backend server owns the flow: the caller continued it after the
    /// SYN-ACK, or the backend server did.
    bool mEstablished = false;
    /// The backend server may own the flow, but has not sent a packet of it.
    bool mTentative = false;
    /// The latest packet from mEntry was an owner lookup.
    bool mLookedUp = false;
    /// The backend server has returned a packet of the flow and since then has
    /// sent none but SYN-ACKs, so it does not hold the flow.
    bool mReturned = false;
    /// The incarnation of the backend server that owned the flow has ended.
    bool mOrphaned = false;
    /// Counted in mLoad: the flow has a request without a response, or was
    /// opened a short time ago.
    bool mBusy = false;
    /// A request of the flow waits in the scheduler's RequestQueue.
    bool mWaiting = false;
    bool mCallerFin = false;
    bool mBackendFin = false;
    /// Entry instance that sent the latest packet.
    cluster::NodeIp mEntry;
    /// mEntry decodes replies with expected waits.
    bool mEntryReadsWaits = false;
    Instant mOpenedAt;
    /// When the caller's first packet after the SYN-ACK, or the first one of a
    /// later request, was forwarded; Instant() before.
    Instant mRequestAt;
    /// Time of the latest SYN, or of the first packet when no SYN was seen. No
    /// incarnation of the backend server that started later holds the flow.
    Instant mStartedAt;
    Instant mBusySince;
    Instant mLastSeen;
    ForwardedData mForwarded;
  };

  struct HalfOpenFlow
  {
    Instant mDeadline;
    FlowTuple mFlow;
    uint32_t mCallerSequence = 0;
  };

  using Flows = std::unordered_map<FlowTuple, AgentFlow>;

  void OnSyn(const Packet& aPacket,
             std::span<const uint8_t> aBytes,
             cluster::NodeIp aFrom,
             Instant aNow);
  /// Flows that the cold backend server may still get in this second; nothing
  /// when it is not limited.
  std::optional<uint32_t> ColdBudget(Instant aNow);
  Refusal CheckAdmission(const Packet& aPacket, bool aScheduled, Instant aNow);
  /// Whether the agent may hold the SYN: scheduling applies, and the entry
  /// instance understands that the flow waits.
  bool IsScheduled(const Packet& aSyn);
  FlowScheduler::ServerLoad CurrentLoad() const;
  /// Forwards, holds or refuses a SYN that passed CheckAdmission().
  void ScheduleFlow(const Packet& aPacket,
                    std::span<const uint8_t> aBytes,
                    cluster::NodeIp aFrom,
                    Instant aNow);
  /// Replies to the retransmission of a SYN that waits.
  void OnWaitingSyn(WaitingFlow& aFlow,
                    std::span<const uint8_t> aBytes,
                    cluster::NodeIp aFrom,
                    Instant aNow);
  /// Forwards the waiting flows and requests that the backend server can take,
  /// and refuses the flows that can't be served any more.
  void ForwardWaitingFlows(Instant aNow);
  /// Refuses the waiting flows that can't be served any more.
  void RefuseWaitingFlows(Instant aNow);
  bool RequestsMayWait() const;
  /// Whether a caller's packet starts a request on a flow that has none in
  /// progress.
  bool StartsRequest(const AgentFlow& aFlow, const Packet& aPacket) const;
  /// Whether a caller's packet of an open flow has to wait at the agent.
  bool MustWait(const AgentFlow& aFlow, const Packet& aPacket, Instant aNow);
  /// Keeps a caller's packet that has to wait. False when it does not have to.
  bool HoldPacket(const FlowTuple& aTuple,
                  AgentFlow& aFlow,
                  const Packet& aPacket,
                  std::span<const uint8_t> aBytes,
                  Instant aNow);
  /// Forwards the requests that may not wait any longer, whatever the load.
  void ForwardDueRequests(Instant aNow);
  /// Forwards a request that was removed from the queue. Its packets are
  /// discarded when the evacuation grace is over.
  void ForwardRequest(const WaitingRequest& aRequest, Instant aNow);
  /// Forwards the request of a flow if one waits.
  void ForwardRequestOf(const FlowTuple& aTuple,
                        const AgentFlow& aFlow,
                        Instant aNow);
  /// Responds with a reset to the request of a flow whose backend server has
  /// ended, if one waits.
  void ResetRequestOf(const FlowTuple& aTuple, AgentFlow& aFlow);
  void RefuseWaiting(const WaitingFlow& aFlow,
                     Refusal aRefusal,
                     std::string_view aReason,
                     Instant aNow);
  /// Why no waiting flow can be served; None while they can.
  Refusal ServerRefusal() const;
  bool Ready(Instant aNow) const;
  void AcceptFlow(const Packet& aPacket,
                  std::span<const uint8_t> aBytes,
                  cluster::NodeIp aFrom,
                  Instant aNow);
  /// Adds a flow whose SYN goes to the backend server.
  void AddFlow(const FlowTuple& aTuple,
               uint32_t aCallerSequence,
               cluster::NodeIp aFrom,
               bool aEntryReadsWaits,
               Instant aNow);
  void OnUnknownFlow(const Packet& aPacket,
                     std::span<const uint8_t> aBytes,
                     cluster::NodeIp aFrom,
                     Instant aNow);
  void OnReturnedPacket(const Packet& aPacket, Instant aNow);
  void OnSynAck(const FlowTuple& aTuple,
                AgentFlow& aFlow,
                const Packet& aPacket,
                Instant aNow);
  void OnFlowPacket(const FlowTuple& aTuple,
                    AgentFlow& aFlow,
                    const Packet& aPacket,
                    Instant aNow);
  /// The recipient of a reply to an offer.
  struct OfferSource
  {
    cluster::NodeIp mEntry;
    bool mReadsWaits = false;
  };

  void SendOfferReply(const OfferSource& aTo,
                      const FlowTuple& aTuple,
                      uint32_t aCallerSequence,
                      uint32_t aBackendSequence,
                      Refusal aRefusal,
                      Instant aNow);
  void NotifyOwned(const FlowTuple& aTuple, const AgentFlow& aFlow);
  void NotifyNotOwned(const FlowTuple& aTuple,
                      cluster::NodeIp aFrom,
                      bool aLookedUp,
                      Instant aNow);
  /// Counts a packet that ends a request as its response or its failure.
  void CountResult(const AgentFlow& aFlow, const Packet& aPacket, Instant aNow);
  /// Updates the service times of the agent and of the scheduler when a
  /// response ends a request.
  void UpdateServiceTimes(const FlowTuple& aTuple,
                          const AgentFlow& aFlow,
                          Instant aNow);
  /// Estimated time for which a request that ends now has occupied a slot when
  /// it arrived at aSince; nothing while it can't be estimated.
  std::optional<Duration> SlotTime(Instant aSince, Instant aNow) const;
  /// False when the caller continued the flow with the SYN-ACK of another
  /// backend server.
  bool ChosenByCaller(const AgentFlow& aFlow, const Packet& aPacket) const;
  void SetBusy(AgentFlow& aFlow, bool aBusy, Instant aNow);
  /// Stops counting half-open flows as load when their caller sent no packet in
  /// time.
  void ReleaseHalfOpenLoad(Instant aNow);
  /// Removes the deadlines of SYNs that the backend server has answered.
  void RemoveAnsweredSyns();
  void Erase(Flows::iterator aFlow);
  /// Marks the flows that started before aEnd as orphaned.
  void OrphanFlows(Instant aEnd);
  /// The time before which all flows of earlier incarnations started, when
  /// aHeartbeat is the first known one of its incarnation.
  Instant EndOfEarlierFlows(const Heartbeat& aHeartbeat, Instant aNow) const;
  /// True when the first heartbeat of an incarnation shows that no earlier
  /// agent can have opened a flow for it.
  bool HasNoEarlierFlow(const Heartbeat& aHeartbeat) const;
  bool WithinEvacuationGrace(Instant aNow);
  bool LeavesSynsUnanswered() const;
  /// True unless the SYN may go to the backend server as a probe.
  bool BackendUnresponsive(Instant aNow);
  void ReportDecision(Verdict aVerdict,
                      const FlowTuple& aTuple,
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
  CircuitBreaker mBreaker;
  FlowScheduler mScheduler;
  /// When the waiting flows are next checked although no packet arrives.
  Instant mNextQueueCheck;
  /// The backend server's current incarnation started while this agent was
  /// running, or the next one will.
  bool mBackendStartedAfterAgent = false;
  /// No backend server is running; its next incarnation has not sent a
  /// heartbeat yet.
  bool mBackendEnded = false;
  bool mRefusesNewFlows = false;
  Flows mFlows;
  uint32_t mLoad = 0;
  UtilisationMean mUtilisation;
  Duration mServiceTime;
  /// Time of the latest response while every slot is busy; nothing while one is
  /// free.
  std::optional<Instant> mLastResponseAtFullLoad;
  std::deque<HalfOpenFlow> mAwaitingSynAck;
  /// Half-open flows that count as load until a deadline.
  std::deque<HalfOpenFlow> mHalfOpenLoad;
  /// Consecutive SYNs that the backend server did not answer.
  uint32_t mUnansweredSyns = 0;
  /// The backend server has returned a packet of one of its flows, or a SYN
  /// while it had a free slot, and sent no packet since.
  bool mReturnsPackets = false;
  Instant mNextProbe;
  std::optional<Instant> mEvacuatedSince;
  /// The agent's record is known not to be stored.
  bool mRecordMissing = false;
  /// End of the time in which a new record reaches the entry instances.
  Instant mAcceptsFrom;
  /// When an entry instance of the previous version last offered a flow, which
  /// need not be one of its candidates.
  std::optional<Instant> mLastUnconstrainedOffer;
};

} // namespace snipepost::flow
