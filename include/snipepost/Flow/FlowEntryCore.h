#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <snipepost/Admission/RetryBudget.h>
#include <snipepost/Base/Random.h>
#include <snipepost/Base/Types.h>
#include <snipepost/Cluster/Replica.h>
#include <snipepost/Flow/CandidateTable.h>
#include <snipepost/Flow/Decision.h>
#include <snipepost/Flow/EntryOptions.h>
#include <snipepost/Flow/EntryOutput.h>
#include <snipepost/Flow/Offer.h>
#include <snipepost/Flow/OverloadThrottle.h>
#include <snipepost/Flow/Packet.h>
#include <snipepost/Flow/RecordHistory.h>

namespace snipepost::flow {

/// The decisions of an entry instance. A SYN is offered to one agent after
/// another: to the best candidate first, and to the next one when the agent
/// refuses or does not reply within some milliseconds. When the service that
/// the weights of a route choose has no capacity, other services of the route
/// are asked. Later packets go to the agent that accepted the flow. For a flow
/// that another entry instance placed, packets are sent to the possible owners
/// until the owner identifies itself; when every one of them has excluded
/// itself, the owner has ended and the flow is reset. All state is soft: any
/// entry instance can continue any flow. Does no I/O; the time is an argument.
class FlowEntryCore
{
public:
  /// Limit of the packets that wait for the lookups of their flows, about
  /// 300 kB.
  static constexpr size_t kMaxWaitingPackets = 256;

  /// Limit of the offers of a flow, including those to agents that are full or
  /// do not reply.
  static constexpr size_t kMaxOffers = 5;

  /// Those of them that are kept for other services of the route than the
  /// weights choose.
  static constexpr size_t kOverflowOffers = 2;

  FlowEntryCore(EntryOptions aOptions,
                const cluster::Replica& aReplica,
                EntryOutput& aOutput,
                DecisionSink& aDecisions,
                Instant aStart);

  /// Handles a packet from a caller; aBytes is its encoded form.
  void OnCallerPacket(const Packet& aPacket,
                      std::span<const uint8_t> aBytes,
                      Instant aNow);

  void OnOfferReply(cluster::NodeIp aFrom,
                    const OfferReply& aReply,
                    Instant aNow);
  void OnOwnerNotice(cluster::NodeIp aFrom,
                     const OwnerNotice& aNotice,
                     Instant aNow);

  void OnOwnerExclusion(cluster::NodeIp aFrom,
                        const OwnerExclusion& aExclusion,
                        Instant aNow);

  /// Handles a change of the replicated state.
  void OnReplicaChanged(cluster::Part aPart, Instant aNow);

  /// When OnTimer() is due; nothing while no offer is pending and no lookup
  /// waits for the shared state.
  std::optional<Instant> NextDeadline() const;
  /// Offers SYNs to the next candidate when an agent did not reply in time, and
  /// starts lookups that waited for the shared state.
  void OnTimer(Instant aNow);
  /// Removes closed, idle and abandoned half-open flows; called about twice a
  /// second.
  void Expire(Instant aNow);

  /// Names of records whose agents have not replied for so long that they are
  /// considered crashed. An agent that is running announces itself again.
  std::vector<std::string> DeadRecords(Instant aNow) const;

  size_t FlowCount() const { return mFlows.size(); }
  size_t WaitingPackets() const { return mWaitingPackets; }
  /// Number of agents that are currently avoided for new flows.
  size_t AvoidedAgents(Instant aNow) const;

private:
  /// Search for the owner of a flow that another instance placed.
  struct OwnerLookup
  {
    uint32_t mAttempts = 0;
    /// Packets that arrive before this time wait for replies to the latest
    /// attempt; a later one starts another.
    Instant mNextAttempt;
    std::vector<std::vector<uint8_t>> mWaiting;
    /// The packet that was looked up last, decoded, and encoded while another
    /// attempt may send it.
    Packet mPacket;
    std::vector<uint8_t> mPacketBytes;
    /// Agents that the latest attempt asked and that have not excluded
    /// themselves, and when it was made.
    std::vector<Address> mAsked;
    Instant mAskedAt;
    /// Agents that have not excluded themselves; set by the latest attempt.
    std::vector<cluster::NodeIp> mPending;
    /// Agents that have excluded themselves.
    std::vector<cluster::NodeIp> mExcluded;
    /// mPending contains every possible owner that is not in mExcluded.
    bool mConclusive = false;
    /// Version of the records that mPending was chosen from.
    cluster::PartVersion mRecords;
  };

  struct EntryFlow
  {
    uint32_t mCallerSequence = 0;
    /// The encoded SYN; empty when this instance has not received it.
    std::vector<uint8_t> mSynBytes;
    Packet mSynPacket;
    std::vector<Offer> mOffers;
    std::optional<Address> mOwner;
    /// Set by the caller's first acknowledgement or an agent's notice;
    /// ResolveOwner() no longer changes the owner then.
    bool mResolved = false;
    /// The SYN was rejected here. The flow may be open all the same: another
    /// entry instance may have placed an earlier copy of the SYN.
    bool mRejected = false;
    /// The services whose throttles have counted the flow, and those that have
    /// counted it as accepted: ServiceBit() of each.
    uint32_t mCountedDecided = 0;
    uint32_t mCountedAccepted = 0;
    /// The throttle of the service that the weights choose refused the current
    /// SYN, which is offered only to other services of the route.
    bool mThrottled = false;
    /// No agent of another service can be offered the current SYN.
    bool mOthersUnavailable = false;
    /// The current SYN was offered to another service than the weights choose.
    bool mOverflowed = false;
    /// Every possible owner has excluded itself.
    bool mOwnerEnded = false;
    bool mClosing = false;
    OwnerLookup mLookup;
    std::optional<Instant> mDeadline;
    Instant mOpenedAt;
    Instant mLastSeen;
  };

  using Flows = std::unordered_map<FlowTuple, EntryFlow>;
  using Servers = std::vector<const cluster::BackendRecord*>;

  void OnSyn(const Packet& aPacket,
             std::span<const uint8_t> aBytes,
             Instant aNow);
  void OnSynRetransmission(const FlowTuple& aTuple,
                           EntryFlow& aFlow,
                           Instant aNow);
  void OnUnknownRoute(const FlowTuple& aTuple, const Packet& aPacket);
  /// Makes the first offer of a flow, unless the flow is throttled.
  void StartPlacement(const FlowTuple& aTuple, EntryFlow& aFlow, Instant aNow);
  /// Sends a retransmitted SYN to the agent that holds the flow. False when no
  /// agent does.
  bool ForwardToQueue(const FlowTuple& aTuple, EntryFlow& aFlow, Instant aNow);
  /// Makes aHeld, the offer of the agent that holds the flow, pending again and
  /// the last one of the flow; removes or ends the others.
  static void RenewQueuedOffer(EntryFlow& aFlow,
                               std::vector<Offer>::iterator aHeld,
                               Instant aNow);
  /// Sends the latest SYN with the flow's last offer, whose agent is that of
  /// aServer, and sets the time by which the reply is due.
  void SendQueuedSyn(const FlowTuple& aTuple,
                     EntryFlow& aFlow,
                     const cluster::BackendRecord& aServer,
                     Instant aNow);
  static bool HasQueuedOffer(const EntryFlow& aFlow);
  void MakeOffer(const FlowTuple& aTuple, EntryFlow& aFlow, Instant aNow);
  /// Makes the next offer to an agent of the service. False when none is left.
  bool OfferToService(const FlowTuple& aTuple,
                      EntryFlow& aFlow,
                      const cluster::Route& aRoute,
                      const std::string& aService,
                      const OfferLimits& aLimits,
                      Instant aNow);
  /// True when flows of the route may be passed on to another service of it.
  bool CanOverflow(const cluster::Route& aRoute) const;
  /// Makes the next offer to an agent of a service that the weights did not
  /// choose, in the order of weight. False when none is left.
  bool OfferToOtherServices(const FlowTuple& aTuple,
                            EntryFlow& aFlow,
                            const cluster::Route& aRoute,
                            Instant aNow);
  /// Offers a flow that its throttle refused to the other services of its
  /// route, or resets it.
  void PassOnThrottled(const FlowTuple& aTuple,
                       EntryFlow& aFlow,
                       const cluster::Route& aRoute,
                       Instant aNow);
  /// True when the offer was made to an agent of the service.
  static bool IsOfferTo(const EntryFlow& aFlow,
                        const Offer& aOffer,
                        const std::string& aService);
  /// The service with the tag that the route's flow was offered to; null when
  /// the route no longer has it.
  static const cluster::WeightedService* ServiceWithTag(
    const cluster::Route& aRoute,
    uint32_t aServiceTag);
  /// Name of the service of an agent that the flow was passed on to; empty for
  /// others.
  std::string_view OverflowService(const FlowTuple& aTuple,
                                   const EntryFlow& aFlow,
                                   const Address& aAgent) const;
  void SendOffer(const FlowTuple& aTuple,
                 EntryFlow& aFlow,
                 const Candidate& aCandidate,
                 TransitMark aMark,
                 Instant aNow);
  /// Removes the candidates that would refuse the flow: its response would come
  /// no earlier than from an agent that has refused it as full.
  void RemoveRefusing(const EntryFlow& aFlow,
                      const std::string& aService,
                      const cluster::Route& aRoute,
                      std::vector<Candidate>& aCandidates,
                      Instant aNow) const;
  /// Index of the candidate that the flow is offered to next; nothing when
  /// there is none.
  std::optional<size_t> ChooseCandidate(
    const cluster::Route& aRoute,
    const std::string& aService,
    const std::vector<Candidate>& aCandidates,
    Instant aNow) const;
  /// Makes the final offer to the candidate with the earliest expected
  /// completion if flows wait at all of them. False when one may have a free
  /// slot.
  bool OfferForQueueing(const FlowTuple& aTuple,
                        EntryFlow& aFlow,
                        const cluster::Route& aRoute,
                        const std::vector<Candidate>& aCandidates,
                        Instant aNow);
  /// Makes the final offer to the best of the agents that refused an earlier
  /// one as busy. False when there is none.
  bool OfferToBusyAgent(const FlowTuple& aTuple,
                        EntryFlow& aFlow,
                        const std::string& aService,
                        Instant aNow);
  /// The offers to agents of the service that refused the flow as busy and were
  /// not offered it for queueing.
  static std::vector<const Offer*> BusyOffers(const EntryFlow& aFlow,
                                              const std::string& aService);
  /// The offer to a busy agent with the earliest expected completion if all of
  /// them have reported a wait for the priority of the flow, otherwise with the
  /// least load; null when there is none.
  const Offer* BestBusyOffer(const FlowTuple& aTuple,
                             const EntryFlow& aFlow,
                             const std::string& aService,
                             Instant aNow) const;
  /// The offer to the agent with the earliest expected completion; null when no
  /// service time is known.
  const Offer* SoonestOffer(const std::vector<const Offer*>& aOffers,
                            uint32_t aPriority,
                            Instant aNow) const;
  /// Offers the SYNs that arrived before the shared state.
  void OfferDeferredFlows(Instant aNow);
  void FailPlacement(const FlowTuple& aTuple, EntryFlow& aFlow, Instant aNow);
  /// True when the overload has only begun and the caller will retransmit the
  /// SYN, which may then be accepted. Records the overload.
  bool ExpectsRetransmission(const FlowTuple& aTuple,
                             const EntryFlow& aFlow,
                             Instant aNow);
  /// True when the next retransmission of the SYN is too late for a response
  /// within the target latency, for services that are scheduled.
  bool RetransmissionIsLate(const FlowTuple& aTuple,
                            const EntryFlow& aFlow) const;
  void Reject(const FlowTuple& aTuple,
              EntryFlow& aFlow,
              std::string_view aReason,
              Instant aNow);
  void ForwardPacket(const FlowTuple& aTuple,
                     EntryFlow& aFlow,
                     const Packet& aPacket,
                     std::span<const uint8_t> aBytes,
                     Instant aNow);
  void ResolveOwner(EntryFlow& aFlow, const Packet& aPacket);
  void LookUpOwner(const FlowTuple& aTuple,
                   EntryFlow& aFlow,
                   const Packet& aPacket,
                   std::span<const uint8_t> aBytes,
                   Instant aNow);
  /// The agents to ask in the next attempt of a lookup; records in it which
  /// answers are conclusive.
  Servers LookupTargets(const FlowTuple& aTuple,
                        const cluster::Route& aRoute,
                        OwnerLookup& aLookup,
                        Instant aNow) const;
  /// True for a server whose record is missing and whose agent does not reply.
  bool HasProbablyEnded(const cluster::BackendRecord& aRecord,
                        Instant aNow) const;
  /// True when the agent's record is missing, but was known before.
  bool IsMissing(const Address& aAgent) const;
  /// The servers that may own the flow: those of the services that the route
  /// sends new flows to first, then those of all others if aOfEveryService.
  Servers PossibleOwners(const FlowTuple& aTuple,
                         const cluster::Route& aRoute,
                         bool aOfEveryService,
                         Instant aNow) const;
  /// The servers of the route that most likely own the flow.
  Servers BestRankedOwners(const FlowTuple& aTuple,
                           const cluster::Route& aRoute) const;
  /// Appends the servers of the route's services that are not in aServers.
  void AppendOtherServers(const FlowTuple& aTuple,
                          const cluster::Route& aRoute,
                          Servers& aServers) const;
  /// Asks the next agents of a lookup with aBytes.
  void StartLookupAttempt(const FlowTuple& aTuple,
                          EntryFlow& aFlow,
                          std::span<const uint8_t> aBytes,
                          Instant aNow);
  /// Asks the first agents of a lookup, and keeps the packet while others may
  /// have to be asked.
  void StartLookup(const FlowTuple& aTuple,
                   EntryFlow& aFlow,
                   std::span<const uint8_t> aBytes,
                   Instant aNow);
  /// Keeps the packet of a lookup for a later attempt, within
  /// kMaxWaitingPackets.
  void KeepPacket(EntryFlow& aFlow, std::span<const uint8_t> aBytes);
  /// Starts a lookup that waits for the shared state once that is complete.
  void ResumeLookup(const FlowTuple& aTuple, EntryFlow& aFlow, Instant aNow);
  /// Handles the reply of an agent that was asked for the owner.
  void OnLookupReply(const EntryFlow& aFlow, cluster::NodeIp aFrom);
  /// Counts an offer or a lookup without a reply.
  static void CountUnanswered(AgentView& aView, Instant aSentAt);
  /// Ends the lookup of a flow and drops the packets that wait for it.
  void EndLookup(EntryFlow& aFlow);
  /// Resets a flow whose possible owners have all excluded themselves.
  void RejectOrphan(const FlowTuple& aTuple, EntryFlow& aFlow, Instant aNow);
  /// The current or removed route of the flow; null if there is none.
  const cluster::Route* FindRoute(const FlowTuple& aTuple) const;

  std::vector<Candidate> EligibleCandidates(const FlowTuple& aTuple,
                                            const EntryFlow& aFlow,
                                            const std::string& aService);
  const std::string& ServiceOf(const cluster::Route& aRoute,
                               const FlowTuple& aTuple) const;
  /// A server that has been offered the flow before, as a candidate without
  /// rank.
  Candidate CandidateOf(const cluster::BackendRecord& aServer,
                        const AgentView& aView) const;
  Duration ReplyTimeout(const Candidate& aCandidate) const;
  Offer* FindOffer(EntryFlow& aFlow, cluster::NodeIp aAgent);
  void UpdateView(AgentView& aView, const OfferReply& aReply, Instant aNow);
  void OnAccepted(const OfferReply& aReply,
                  EntryFlow& aFlow,
                  Offer& aOffer,
                  Instant aNow);
  void OnQueued(const OfferReply& aReply,
                EntryFlow& aFlow,
                Offer& aOffer,
                Instant aNow);
  void OnRefused(const OfferReply& aReply,
                 EntryFlow& aFlow,
                 Offer& aOffer,
                 Instant aNow);
  /// Handles an offer whose reply did not arrive in time.
  void OnReplyTimeout(const FlowTuple& aTuple, EntryFlow& aFlow, Instant aNow);
  /// Counts the flow as refused by the services of which an agent was full.
  void CountRefusals(const FlowTuple& aTuple, EntryFlow& aFlow, Instant aNow);
  /// True when the throttle of the service refuses the first SYN of a flow.
  bool IsThrottled(const FlowTuple& aTuple,
                   const EntryFlow& aFlow,
                   const std::string& aService,
                   uint32_t aPriority,
                   Instant aNow);
  /// Determines the services whose flows are scheduled.
  void UpdateThrottles();
  /// True when the flows of the service are scheduled by priority.
  bool IsScheduled(const std::string& aService) const
  {
    return mThrottles.contains(aService);
  }
  /// Counts the flow in the throttle of the service with aServiceTag, once as a
  /// request and once as accepted.
  void CountOutcome(const FlowTuple& aTuple,
                    EntryFlow& aFlow,
                    uint32_t aServiceTag,
                    bool aAccepted,
                    Instant aNow);
  void RebuildTables(Instant aNow);
  bool IsExpired(const EntryFlow& aFlow, Instant aNow) const;
  void ReportDecision(Verdict aVerdict,
                      const FlowTuple& aTuple,
                      const EntryFlow& aFlow,
                      const Address& aPeer,
                      Refusal aRefusal,
                      std::string_view aReason,
                      Instant aNow);
  void SetDeadline(const FlowTuple& aTuple,
                   EntryFlow& aFlow,
                   std::optional<Instant> aDeadline);
  EntryFlow& AddFlow(const FlowTuple& aTuple, Instant aNow);

  EntryOptions mOptions;
  const cluster::Replica& mReplica;
  EntryOutput& mOutput;
  DecisionSink& mDecisions;
  std::shared_ptr<const cluster::RouteConfig> mRoutes;
  /// Routes of earlier configurations, by address.
  std::unordered_map<Address, cluster::Route> mRemovedRoutes;
  /// By service.
  std::map<std::string, CandidateTable> mTables;
  /// By service, for the services whose flows are scheduled: those to which
  /// routes with different priorities send new flows.
  std::map<std::string, OverloadThrottle> mThrottles;
  Random mRandom;
  RecordHistory mRecords;
  std::unordered_map<Address, AgentView> mViews;
  Flows mFlows;
  size_t mWaitingPackets = 0;
  RetryBudget mRetryBudget;
  Instant mOverloadSince;
  Instant mLastOverload;
  /// Flows whose SYN is deferred until the shared state is complete.
  std::vector<FlowTuple> mDeferredFlows;
  /// Flows with a pending offer, or a lookup that waits, by deadline.
  std::set<std::pair<Instant, FlowTuple>> mDeadlines;
};

} // namespace snipepost::flow
