#include <snipepost/Flow/UtilisationMean.h>

#include <algorithm>
#include <cmath>

namespace snipepost::flow {

namespace {

/// Some tens of service times: shorter means follow single requests, longer
/// ones delay the return of flows to a server that has become free.
constexpr double kTimeConstantSeconds = 2.0;

} // namespace

void
UtilisationMean::Set(uint32_t aRequests, uint32_t aSlots, Instant aNow)
{
  const uint32_t slots = std::max(aSlots, 1U);
  mMean = At(aNow);
  mShare = static_cast<double>(std::min(aRequests, slots)) / slots;
  // An expired flow is removed with the time at which it was last seen.
  mSetAt = std::max(mSetAt, aNow);
}

double
UtilisationMean::At(Instant aNow) const
{
  const double elapsed =
    std::max(0.0, std::chrono::duration<double>(aNow - mSetAt).count());
  return mShare + (mMean - mShare) * std::exp(-elapsed / kTimeConstantSeconds);
}

} // namespace snipepost::flow
