// Flows that the service chosen by the weights of a route has no capacity for,
// and their offers to the other services of the route.

#include <snipepost/Flow/FlowEntryCore.h>

#include <algorithm>
#include <utility>

namespace snipepost::flow {

namespace {

/// Number of offers to another service that are accepted only with a free slot.
/// The flow has been refused by several agents already, so the second and last
/// candidate may queue it.
constexpr size_t kFreeSlotOverflowOffers = 1;

} // namespace

bool
FlowEntryCore::CanOverflow(const cluster::Route& aRoute) const
{
  return aRoute.mServices.size() > 1 && mOptions.mOverflowBetweenServices &&
         std::ranges::count_if(aRoute.mServices,
                               [](const cluster::WeightedService& aShare) {
                                 return aShare.mWeight > 0;
                               }) > 1;
}

bool
FlowEntryCore::IsOfferTo(const EntryFlow& aFlow,
                         const Offer& aOffer,
                         const std::string& aService)
{
  // Without overflow all offers are to one service.
  return !aFlow.mOverflowed || aOffer.mServiceTag == ServiceTag(aService);
}

const cluster::WeightedService*
FlowEntryCore::ServiceWithTag(const cluster::Route& aRoute,
                              uint32_t aServiceTag)
{
  if (aRoute.mServices.size() == 1) {
    return &aRoute.mServices.front();
  }
  for (const cluster::WeightedService& share : aRoute.mServices) {
    if (ServiceTag(share.mService) == aServiceTag) {
      return &share;
    }
  }
  return nullptr;
}

bool
FlowEntryCore::OfferToOtherServices(const FlowTuple& aTuple,
                                    EntryFlow& aFlow,
                                    const cluster::Route& aRoute,
                                    Instant aNow)
{
  const bool begins = !aFlow.mOverflowed && !aFlow.mThrottled;
  if (aFlow.mOthersUnavailable || (begins && !LacksCapacity(aFlow.mOffers))) {
    return false;
  }
  CountRefusals(aTuple, aFlow, aNow);
  const bool hadOverflowed = std::exchange(aFlow.mOverflowed, true);
  const std::string& chosen = ServiceOf(aRoute, aTuple);
  const size_t passedOn =
    aFlow.mOffers.size() - OffersTo(aFlow.mOffers, ServiceTag(chosen));
  const size_t left =
    std::min(kOverflowOffers - std::min(kOverflowOffers, passedOn),
             kMaxOffers - std::min(kMaxOffers, aFlow.mOffers.size()));
  for (const cluster::WeightedService* other :
       ServicesToAsk(aRoute, chosen, aFlow.mOffers, left)) {
    const std::string& service = other->mService;
    const size_t made = OffersTo(aFlow.mOffers, ServiceTag(service));
    const bool isThrottled =
      made == 0 && IsThrottled(aTuple, aFlow, service, aRoute.mPriority, aNow);
    const OfferLimits limits{ made + left, kFreeSlotOverflowOffers };
    if (!isThrottled &&
        OfferToService(aTuple, aFlow, aRoute, service, limits, aNow)) {
      return true;
    }
  }
  aFlow.mOverflowed = hadOverflowed;
  aFlow.mOthersUnavailable = !hadOverflowed;
  return false;
}

void
FlowEntryCore::PassOnThrottled(const FlowTuple& aTuple,
                               EntryFlow& aFlow,
                               const cluster::Route& aRoute,
                               Instant aNow)
{
  aFlow.mThrottled = true;
  if (!CanOverflow(aRoute) ||
      !OfferToOtherServices(aTuple, aFlow, aRoute, aNow)) {
    Reject(aTuple, aFlow, "overloaded", aNow);
  }
}

std::string_view
FlowEntryCore::OverflowService(const FlowTuple& aTuple,
                               const EntryFlow& aFlow,
                               const Address& aAgent) const
{
  const auto route = mRoutes->mRoutes.find(aTuple.mService);
  const auto offer = std::ranges::find(aFlow.mOffers, aAgent, &Offer::mAgent);
  if (route == mRoutes->mRoutes.end() || offer == aFlow.mOffers.end()) {
    return {};
  }
  const auto* service = ServiceWithTag(route->second, offer->mServiceTag);
  return service && service->mService != ServiceOf(route->second, aTuple)
           ? std::string_view(service->mService)
           : std::string_view();
}

} // namespace snipepost::flow
