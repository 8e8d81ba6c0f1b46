#pragma once

#include <cstdint>
#include <string_view>

#include <snipepost/Base/Types.h>
#include <snipepost/Flow/NodeMessage.h>

namespace snipepost::flow {

/// Kind of a node's decision about a flow.
enum class Verdict : uint8_t
{
  /// Entry: a SYN was offered to an agent.
  Offered,
  /// Entry: an agent accepted the flow.
  Placed,
  /// Entry and agent: the agent holds the SYN until its backend server has
  /// capacity.
  Queued,
  /// Entry: an agent refused the flow.
  Refused,
  /// Entry: an agent did not reply to an offer in time.
  Unanswered,
  /// Entry: the flow was rejected with a reset to the caller.
  Rejected,
  /// Entry: a packet was dropped: a SYN whose retransmission may be accepted,
  /// or a packet whose owner was not found.
  Dropped,
  /// Entry: the owner of a flow is unknown; the packet was sent to several
  /// agents.
  Locating,
  /// Entry: the owner was found.
  Located,
  /// Agent: the backend server answered a SYN.
  Opened,
  /// Agent: a SYN was refused.
  TurnedAway,
  /// Agent: a reset was sent to the caller, because the flow's backend server
  /// restarted.
  Ended,
  /// Agent: a packet arrived for a flow that the backend server does not own.
  NotOwned,
};

std::string_view
ToString(Verdict aVerdict);

/// Decision::mReason of decisions about an agent that a flow was passed on to.
constexpr std::string_view kOverflowReason = "overflow";

/// A decision and its inputs.
struct Decision
{
  Verdict mVerdict = Verdict::Offered;
  FlowTuple mFlow;
  /// The other agent or entry instance; null if there is none.
  Address mPeer;
  /// Agents that the SYN was offered to so far.
  uint32_t mOfferedAgents = 0;
  Refusal mRefusal = Refusal::None;
  /// Load of the backend server, measured or estimated, and the age of the
  /// value.
  double mLoad = 0.0;
  Duration mLoadAge{};
  /// Time since the flow's first SYN.
  Duration mElapsed{};
  std::string_view mReason;
  /// Service of the agent, when the flow was passed on to it from the service
  /// that the weights of the route choose; otherwise empty.
  std::string_view mService;
};

/// Receives a node's decisions, for the log and the metrics.
class DecisionSink
{
public:
  virtual ~DecisionSink() = default;
  virtual void OnDecision(const Decision& aDecision) = 0;
};

/// True for decisions that every flow goes through.
bool
IsRoutine(Verdict aVerdict);

} // namespace snipepost::flow
