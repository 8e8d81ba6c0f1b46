#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include <snipepost/Admission/RetryBudget.h>
#include <snipepost/Base/Types.h>
#include <snipepost/Cluster/Replica.h>
#include <snipepost/Flow/Candidates.h>
#include <snipepost/Flow/Decision.h>
#include <snipepost/Flow/Packet.h>

namespace snipepost::flow {

/// Where an entry instance's packets go.
class EntryOutput
{
public:
  virtual ~EntryOutput() = default;

  /// Sends a caller's packet to an agent with the given transit fields.
  virtual void SendToAgent(std::span<const uint8_t> aBytes,
                           const Address& aAgent,
                           uint32_t aNote,
                           TransitMark aMark) = 0;
  /// Answers a caller's packet with a reset.
  virtual void SendReset(const Packet& aPacket) = 0;
};

/// The decisions of an entry instance. An opening packet is offered to one
/// agent after another: to the best candidate first, to the next one when the
/// agent refuses or gives no sign of life within some milliseconds. Later
/// packets go to the agent that took the flow. A flow that another entry
/// instance placed is located by asking the candidates. All state is soft: any
/// instance can continue any flow. Pure; the owner passes the time.
class EntryCore
{
public:
  EntryCore(std::string aDomain,
            const cluster::Replica& aReplica,
            EntryOutput& aOutput,
            DecisionSink& aDecisions);

  /// A packet from a caller; aBytes is its encoded form.
  void OnCallerPacket(const Packet& aPacket,
                      std::span<const uint8_t> aBytes,
                      Instant aNow);

  void OnOfferReply(cluster::NodeIp aFrom,
                    const OfferReply& aReply,
                    Instant aNow);
  void OnOwnerNotice(cluster::NodeIp aFrom,
                     const OwnerNotice& aNotice,
                     Instant aNow);

  /// Follows a change of the replica.
  void OnReplicaChanged(cluster::Part aPart, Instant aNow);

  /// When OnTimer() is due; nothing while no offer waits.
  std::optional<Instant> NextDeadline() const;
  /// Offers again what was not answered in time.
  void OnTimer(Instant aNow);
  /// Forgets flows that have ended; called about twice a second.
  void Expire(Instant aNow);

  /// Names of records whose agents have answered nothing for so long that they
  /// are taken for gone. An agent that lives announces itself again.
  std::vector<std::string> DeadRecords(Instant aNow) const;

  size_t FlowCount() const { return mFlows.size(); }
  /// Agents that are avoided for new flows now.
  size_t AvoidedAgents(Instant aNow) const;

private:
  enum class OfferState
  {
    Waiting,
    Late,
    Taken,
    Refused,
  };

  struct Offer
  {
    Address mAgent;
    Instant mSentAt;
    OfferState mState = OfferState::Waiting;
    Refusal mRefusal = Refusal::None;
    TransitMark mMark = TransitMark::OfferFree;
    uint32_t mBackendSequence = 0;
    double mLoad = 0.0;
  };

  struct EntryFlow
  {
    uint32_t mCallerSequence = 0;
    /// The encoded opening packet, while offers may still be made.
    std::vector<uint8_t> mOpening;
    Packet mPacket;
    std::vector<Offer> mOffers;
    std::optional<Address> mOwner;
    /// A caller's packet has shown which of several agents it chose.
    bool mResolved = false;
    bool mRejected = false;
    bool mClosing = false;
    uint32_t mLocateTries = 0;
    std::optional<Instant> mDeadline;
    Instant mOpenedAt;
    Instant mLastSeen;
  };

  using Flows = std::unordered_map<FlowId, EntryFlow>;
  using Servers = std::vector<const cluster::BackendRecord*>;

  void OnOpening(const Packet& aPacket,
                 std::span<const uint8_t> aBytes,
                 Instant aNow);
  void OnCopy(const FlowId& aId, EntryFlow& aFlow, Instant aNow);
  void OnUnknownRoute(const FlowId& aId, const Packet& aPacket);
  void MakeOffer(const FlowId& aId, EntryFlow& aFlow, Instant aNow);
  void SendOffer(const FlowId& aId,
                 EntryFlow& aFlow,
                 const Candidate& aCandidate,
                 TransitMark aMark,
                 Instant aNow);
  bool OfferToBusy(const FlowId& aId,
                   EntryFlow& aFlow,
                   const std::string& aService,
                   Instant aNow);
  /// Offers the openings that came before the shared state.
  void OfferHeld(Instant aNow);
  void GiveUp(const FlowId& aId, EntryFlow& aFlow, Instant aNow);
  /// True when all agents are full in a short wave of load and another copy of
  /// the opening packet follows, which may find room.
  bool AwaitsCopy(const EntryFlow& aFlow, Instant aNow);
  void Reject(const FlowId& aId,
              EntryFlow& aFlow,
              std::string_view aReason,
              Instant aNow);
  void Continue(const FlowId& aId,
                EntryFlow& aFlow,
                const Packet& aPacket,
                std::span<const uint8_t> aBytes,
                Instant aNow);
  void Resolve(EntryFlow& aFlow, const Packet& aPacket);
  void Locate(const FlowId& aId,
              EntryFlow& aFlow,
              std::span<const uint8_t> aBytes,
              Instant aNow);

  std::vector<Candidate> OpenCandidates(const FlowId& aId,
                                        const EntryFlow& aFlow,
                                        const std::string& aService);
  const std::string& ServiceOf(const cluster::Route& aRoute,
                               const FlowId& aId) const;
  Servers ServersOf(const cluster::Route& aRoute) const;
  Duration ReplyTimeout(const Candidate& aCandidate) const;
  Offer* FindOffer(EntryFlow& aFlow, cluster::NodeIp aAgent);
  void LearnLoad(AgentView& aView, const OfferReply& aReply, Instant aNow);
  void RebuildServers();
  void Decide(Verdict aVerdict,
              const FlowId& aId,
              const EntryFlow& aFlow,
              const Address& aPeer,
              Refusal aRefusal,
              std::string_view aReason,
              Instant aNow);
  void SetDeadline(const FlowId& aId,
                   EntryFlow& aFlow,
                   std::optional<Instant> aDeadline);
  EntryFlow& AddFlow(const FlowId& aId, Instant aNow);

  std::string mDomain;
  const cluster::Replica& mReplica;
  EntryOutput& mOutput;
  DecisionSink& mDecisions;
  std::shared_ptr<const cluster::RouteConfig> mRoutes;
  /// Addresses of routes that an earlier configuration had.
  std::unordered_map<Address, cluster::Route> mRemovedRoutes;
  std::map<std::string, Servers> mServers;
  std::unordered_map<Address, AgentView> mViews;
  Flows mFlows;
  RetryBudget mRepeatBudget;
  Instant mOverloadSince;
  Instant mLastOverload;
  /// Flows whose opening packet waits for the shared state.
  std::vector<FlowId> mHeld;
  /// Flows with an offer that waits, by deadline.
  std::set<std::pair<Instant, FlowId>> mDeadlines;
};

} // namespace snipepost::flow
