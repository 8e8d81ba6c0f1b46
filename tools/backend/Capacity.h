#pragma once

#include <cstddef>

#include <snipepost/Base/Types.h>

namespace snipepost::tools {

/// Warmth of a backend server and the load that it sustains. Has no clock and
/// does no I/O.
class Capacity
{
public:
  /// The server becomes warm within aColdTime after each cold start.
  Capacity(size_t aSlots, Duration aColdTime)
    : mSlots(aSlots)
    , mColdTime(aColdTime)
  {
  }

  /// Resets the server to cold. Overload is tolerated until aGrace has passed,
  /// because the load balancer can't detect at once that a running server has
  /// become cold.
  void ResetToCold(Instant aNow, Duration aGrace);

  /// Grows linearly with time from 0 (cold) to 1 (warm).
  double Warmth(Instant aNow) const;

  /// Fraction of the full speed at which a request that starts now is
  /// processed.
  double Speed(Instant aNow) const;

  /// Largest number of requests in flight that the server sustains without a
  /// crash.
  double SustainableInFlight(Instant aNow) const;

  /// True when the server does not sustain aInFlight requests.
  bool IsOverloaded(size_t aInFlight, Instant aNow) const;

  bool IsInGrace(Instant aNow) const { return aNow < mGraceEnd; }

  size_t Slots() const { return mSlots; }

private:
  size_t mSlots;
  Duration mColdTime;
  Instant mColdSince;
  Instant mGraceEnd;
};

} // namespace snipepost::tools
