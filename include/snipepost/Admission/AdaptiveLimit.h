#pragma once

#include <cstdint>

#include <snipepost/Base/Types.h>

namespace snipepost {

/// Additive increase, multiplicative decrease of the limit of concurrent
/// requests (Chiu and Jain, 1989). Reacts to a backend server that became slow
/// or cold without reporting it.
class AdaptiveLimit
{
public:
  explicit AdaptiveLimit(uint32_t aSlots);

  void Configure(uint32_t aSlots);

  /// Records a complete response. The limit grows only when aInFlight had
  /// reached it: below the limit, a response doesn't show that the backend
  /// server can handle more.
  void OnSuccess(uint32_t aInFlight);

  /// Records that a request forwarded at aForwardedAt got an overload response
  /// (503), was refused or missed its deadline. Requests forwarded before the
  /// last decrease are ignored, because that decrease already accounts for
  /// them.
  void OnOverload(Instant aForwardedAt, Instant aNow);

  /// Resets the limit to all slots. Used on a cold start, during which ColdRamp
  /// limits the load.
  void Reset();

  /// At least 1 and at most the number of slots.
  uint32_t Limit() const { return static_cast<uint32_t>(mLimit); }

private:
  uint32_t mSlots;
  double mLimit;
  Instant mLastDecrease = Instant::min();
};

} // namespace snipepost
