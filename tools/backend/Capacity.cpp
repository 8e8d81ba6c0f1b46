#include "Capacity.h"

#include <algorithm>
#include <chrono>

namespace snipepost::tools {

namespace {

// A cold server with empty caches takes four times as long for a request.
constexpr double kColdSpeed = 0.25;

// A cold server survives the one request that the ramp admits and one more
// that crosses with the end of the first.
constexpr double kColdBearable = 2.0;

// A warm server survives several times its slots: the rest waits in its queue.
constexpr double kWarmFactor = 4.0;

} // namespace

void
Capacity::TurnCold(Instant aNow, Duration aGrace)
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
Capacity::Bearable(Instant aNow) const
{
  const double warm = kWarmFactor * static_cast<double>(mSlots);
  return kColdBearable + Warmth(aNow) * (warm - kColdBearable);
}

bool
Capacity::Overloaded(size_t aInFlight, Instant aNow) const
{
  return static_cast<double>(aInFlight) > Bearable(aNow);
}

} // namespace snipepost::tools
