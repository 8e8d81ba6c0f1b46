#pragma once

#include <cstdint>

#include <snipepost/Base/Types.h>
#include <snipepost/Cluster/RouteConfig.h>
#include <snipepost/Flow/NodeMessage.h>

namespace snipepost::flow {

/// Everything that decides whether an agent takes a new flow.
struct AdmissionInputs
{
  TransitMark mMark = TransitMark::OfferLast;
  /// A copy of an opening packet, at least 200 ms after the first.
  bool mCopy = false;
  /// The shared state and the backend server's own state are known.
  bool mReady = false;
  bool mServiceMatches = false;
  bool mEvacuated = false;
  /// The backend server or the agent is leaving.
  bool mDraining = false;
  /// The backend server has not answered lately.
  bool mSilent = false;
  bool mCold = false;
  /// Flows that a cold backend server still bears in this second.
  uint32_t mColdBudget = 0;
  /// Requests that it processes or queues, the flows that it holds, and limits.
  uint32_t mLoad = 0;
  uint32_t mSlots = 1;
  uint32_t mFlows = 0;
  uint32_t mMaxFlows = 0;
  /// Mean time that a request holds a slot.
  Duration mServiceTime{};
  cluster::RequestKind mKind = cluster::RequestKind::Safe;
  Duration mObjective{};
  Duration mTimeout{};
};

/// Decides about an opening packet, for load at its worst: a backend server
/// with a bounded queue, more offers than it can serve, and other servers that
/// may be freer. A first offer is taken only by a free slot, so that load goes
/// to where slots are free without any shared knowledge ("service hunting",
/// Desmouceaux et al., 2018). The last offer is taken while the expected wait
/// leaves a chance to answer in time, for unsafe requests up to the timeout:
/// they can't be repeated once they have started. Pure.
Refusal
Admit(const AdmissionInputs& aInputs);

/// Expected wait for a slot of a request that joins aLoad others.
Duration
ExpectedWait(uint32_t aLoad, uint32_t aSlots, Duration aServiceTime);

} // namespace snipepost::flow
