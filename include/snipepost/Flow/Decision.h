#pragma once

#include <cstdint>
#include <string_view>

#include <snipepost/Base/Types.h>
#include <snipepost/Flow/NodeMessage.h>

namespace snipepost::flow {

/// What a node decided about a flow.
enum class Verdict : uint8_t
{
  /// Entry: an opening packet was sent to an agent.
  Offered,
  /// Entry: an agent took the flow.
  Placed,
  /// Entry: an agent did not take the flow.
  Refused,
  /// Entry: an agent did not answer an offer in time.
  Unanswered,
  /// Entry: the caller was told by a reset that the flow did not open.
  Rejected,
  /// Entry: an opening packet was dropped, because a copy may do better.
  Dropped,
  /// Entry: the owner of a flow is not known; several agents were asked.
  Locating,
  /// Entry: the owner was found.
  Located,
  /// Agent: the backend server took an opening packet.
  Opened,
  /// Agent: an opening packet was turned away.
  TurnedAway,
  /// Agent: the caller was told that the flow ended with its backend server.
  Ended,
  /// Agent: a packet of a flow that the backend server does not hold.
  NotOwned,
};

std::string_view
ToString(Verdict aVerdict);

/// A decision with the inputs that led to it.
struct Decision
{
  Verdict mVerdict = Verdict::Offered;
  FlowId mFlow;
  /// Agent or entry instance that it concerns; null if there is none.
  Address mPeer;
  /// Offers made for this opening so far.
  uint32_t mAttempt = 0;
  Refusal mRefusal = Refusal::None;
  /// Load that was believed or found, and the age of that knowledge.
  double mLoad = 0.0;
  Duration mLoadAge{};
  /// Time since the flow's first opening packet.
  Duration mElapsed{};
  std::string_view mReason;
};

/// Takes a node's decisions, for the log and the metrics.
class DecisionSink
{
public:
  virtual ~DecisionSink() = default;
  virtual void OnDecision(const Decision& aDecision) = 0;
};

/// True for decisions that belong to the usual course of a flow. Their lines
/// are sampled; the others are written up to a rate.
bool
IsRoutine(Verdict aVerdict);

} // namespace snipepost::flow
