#include "Capacity.h"

#include <algorithm>
#include <chrono>

namespace snipepost::tools {

namespace {

// With empty caches, a cold server takes four times as long for a request.
constexpr double kColdSpeed = 0.25;

// A cold server sustains the one request that the load balancer admits at the
// start of its cold ramp, and another one that is already in transit when the
// first ends.
constexpr double kColdSustainable = 2.0;

// A warm server sustains several times as many requests as it has slots: the
// others wait in its queue.
constexpr double kWarmSustainablePerSlot = 4.0;

} // namespace

void
Capacity::ResetToCold(Instant aNow, Duration aGrace)
{
  mColdSince = aNow;
  mGraceEnd = aNow + aGrace;
}

double
Capacity::Warmth(Instant aNow) const
{
  if (mColdTime <= Duration::zero()) {
    return 1.0;
  }
  const std::chrono::duration<double> elapsed = aNow - mColdSince;
  const std::chrono::duration<double> whole = mColdTime;
  return std::clamp(elapsed / whole, 0.0, 1.0);
}

double
Capacity::Speed(Instant aNow) const
{
  return kColdSpeed + (1.0 - kColdSpeed) * Warmth(aNow);
}

double
Capacity::SustainableInFlight(Instant aNow) const
{
  const double warm = kWarmSustainablePerSlot * static_cast<double>(mSlots);
  return kColdSustainable + Warmth(aNow) * (warm - kColdSustainable);
}

bool
Capacity::IsOverloaded(size_t aInFlight, Instant aNow) const
{
  return static_cast<double>(aInFlight) > SustainableInFlight(aNow);
}

} // namespace snipepost::tools
