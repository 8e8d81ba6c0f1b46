#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <snipepost/Base/Types.h>
#include <snipepost/Cluster/RouteConfig.h>
#include <snipepost/Flow/NodeMessage.h>

namespace snipepost::flow {

enum class OfferState
{
  Pending,
  /// The agent holds the SYN and will accept or refuse it in another reply.
  Queued,
  TimedOut,
  Accepted,
  Refused,
};

/// An offer of a SYN to an agent.
struct Offer
{
  Address mAgent;
  Instant mSentAt;
  OfferState mState = OfferState::Pending;
  Refusal mRefusal = Refusal::None;
  TransitMark mMark = TransitMark::OfferIfFree;
  uint32_t mBackendSequence = 0;
  /// ServiceTag() of the service that the agent was asked for.
  uint32_t mServiceTag = 0;
  double mLoad = 0.0;
};

/// Limits of the offers of a flow to the agents of one service.
struct OfferLimits
{
  /// Agents that are offered the flow.
  size_t mAgents = 0;
  /// Offers before the final one, which are accepted only with a free slot.
  size_t mFreeSlotOffers = 0;
};

/// True when an agent may have accepted the SYN, or may accept a retransmission
/// of it some 100 ms later.
bool
MayStillBeAccepted(const std::vector<Offer>& aOffers);

/// True when an agent refused the SYN for lack of capacity, or none may still
/// accept it. Agents that start or do not reply are no lack of capacity, since
/// the SYN retransmission is offered to them again.
bool
LacksCapacity(const std::vector<Offer>& aOffers);

/// Number of offers to agents of the service with the tag.
size_t
OffersTo(const std::vector<Offer>& aOffers, uint32_t aServiceTag);

/// The services of the route with a weight above 0 other than aChosen to which
/// the next offer may be made, those with the highest weight first: the last
/// one that was offered the flow, and while aOffersLeft is above 0 those after
/// it. Those before it have no candidate left, or their throttles have refused
/// the flow.
std::vector<const cluster::WeightedService*>
ServicesToAsk(const cluster::Route& aRoute,
              const std::string& aChosen,
              const std::vector<Offer>& aOffers,
              size_t aOffersLeft);

} // namespace snipepost::flow
