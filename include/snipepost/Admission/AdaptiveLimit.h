#pragma once

#include <cstdint>

#include <snipepost/Base/Types.h>

namespace snipepost {

/// Additive increase, multiplicative decrease of the limit of concurrent
/// requests (Chiu and Jain, 1989). Detects a backend server that became slow
/// or cold without a signal.
class AdaptiveLimit
{
public:
  explicit AdaptiveLimit(uint32_t aSlots);

  void Configure(uint32_t aSlots);

  /// A complete response. The limit grows only when aInFlight had reached it,
  /// because unused capacity proves nothing.
  void OnSuccess(uint32_t aInFlight);

  /// A shed, a refusal or a missed deadline of a request that was passed on at
  /// aPassedOn. Requests passed on before the last decrease don't count again.
  void OnOverload(Instant aPassedOn, Instant aNow);

  /// Back to all slots, after a cold start that the ramp covers.
  void Reset();

  /// At least 1 and at most the number of slots.
  uint32_t Limit() const { return static_cast<uint32_t>(mLimit); }

private:
  uint32_t mSlots;
  double mLimit;
  Instant mLastDecrease = Instant::min();
};

} // namespace snipepost
