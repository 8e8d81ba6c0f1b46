#include <snipepost/Flow/Offer.h>

#include <algorithm>

namespace snipepost::flow {

namespace {

/// True when a retransmission of the SYN some 100 ms later may be accepted.
bool
IsTransient(Refusal aRefusal)
{
  return aRefusal == Refusal::NotReady || aRefusal == Refusal::Silent ||
         aRefusal == Refusal::Cold;
}

} // namespace

bool
MayStillBeAccepted(const std::vector<Offer>& aOffers)
{
  return std::ranges::any_of(aOffers, [](const Offer& aOffer) {
    return aOffer.mState == OfferState::Pending ||
           aOffer.mState == OfferState::Queued ||
           aOffer.mState == OfferState::TimedOut ||
           aOffer.mState == OfferState::Accepted ||
           IsTransient(aOffer.mRefusal);
  });
}

bool
LacksCapacity(const std::vector<Offer>& aOffers)
{
  const bool refused = std::ranges::any_of(aOffers, [](const Offer& aOffer) {
    return aOffer.mRefusal == Refusal::Full || aOffer.mRefusal == Refusal::Cold;
  });
  return refused || !MayStillBeAccepted(aOffers);
}

size_t
OffersTo(const std::vector<Offer>& aOffers, uint32_t aServiceTag)
{
  return static_cast<size_t>(
    std::ranges::count(aOffers, aServiceTag, &Offer::mServiceTag));
}

std::vector<const cluster::WeightedService*>
ServicesToAsk(const cluster::Route& aRoute,
              const std::string& aChosen,
              const std::vector<Offer>& aOffers,
              size_t aOffersLeft)
{
  std::vector<const cluster::WeightedService*> others;
  for (const cluster::WeightedService& share : aRoute.mServices) {
    if (share.mWeight > 0 && share.mService != aChosen) {
      others.push_back(&share);
    }
  }
  std::ranges::stable_sort(
    others, std::ranges::greater{}, &cluster::WeightedService::mWeight);
  const auto wasAsked = [&](const cluster::WeightedService* aOther) {
    return OffersTo(aOffers, ServiceTag(aOther->mService)) > 0;
  };
  const auto asked = std::find_if(others.rbegin(), others.rend(), wasAsked);
  // Number of services up to the last one that was asked.
  const auto upToAsked = asked.base() - others.begin();
  if (aOffersLeft == 0) {
    others.resize(static_cast<size_t>(upToAsked));
  }
  if (upToAsked > 0) {
    others.erase(others.begin(), others.begin() + (upToAsked - 1));
  }
  return others;
}

} // namespace snipepost::flow
