#pragma once

#include <cstdint>

#include <snipepost/Base/Types.h>
#include <snipepost/Cluster/RouteConfig.h>
#include <snipepost/Flow/NodeMessage.h>

namespace snipepost::flow {

/// Inputs of the decision whether an agent accepts a new flow.
struct AdmissionInputs
{
  TransitMark mMark = TransitMark::OfferFinal;
  /// The FlowScheduler decides by the load.
  bool mScheduled = false;
  /// The SYN is a retransmission, sent at least 200 ms after the first one.
  bool mRetransmission = false;
  /// The agent has received the state that the decision requires.
  bool mReady = false;
  bool mServiceMatches = false;
  bool mEvacuated = false;
  /// The backend server is draining, or the agent is stopping.
  bool mDraining = false;
  /// The backend server has left its latest SYNs unanswered.
  bool mUnresponsive = false;
  bool mCold = false;
  /// Flows that a cold backend server can still accept in this second.
  uint32_t mColdBudget = 0;
  /// Requests that the backend server processes or queues.
  uint32_t mLoad = 0;
  /// Requests that it can process at the same time.
  uint32_t mSlots = 1;
  /// Flows in the agent's table, and their limit.
  uint32_t mFlows = 0;
  uint32_t mMaxFlows = 0;
  /// Mean time that a request occupies a slot.
  Duration mServiceTime{};
  cluster::RequestKind mKind = cluster::RequestKind::Safe;
  /// The route's target latency and request timeout.
  Duration mObjective{};
  Duration mTimeout{};
};

/// Decides whether to accept a SYN. Designed for overload: the backend server
/// has a bounded queue and receives more offers than it can serve, while other
/// servers may have free slots. Early offers are accepted only with a free
/// slot, so that load moves to free slots without shared load state ("service
/// hunting", Desmouceaux et al., 2018). The final offer is accepted while the
/// expected wait still allows a response within the objective, or within the
/// timeout for unsafe requests, which can't be retried once they have started.
/// Has no side effects.
Refusal
Admit(const AdmissionInputs& aInputs);

/// Expected time until a slot is free for a request that arrives after aLoad
/// others.
Duration
TimeToFreeSlot(uint32_t aLoad, uint32_t aSlots, Duration aServiceTime);

} // namespace snipepost::flow
