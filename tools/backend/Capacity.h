#pragma once

#include <cstddef>

#include <snipepost/Base/Types.h>

namespace snipepost::tools {

/// How warm a backend server is and what it can bear. Pure.
class Capacity
{
public:
  /// Becomes warm within aColdTime after each cold start.
  Capacity(size_t aSlots, Duration aColdTime)
    : mSlots(aSlots)
    , mColdTime(aColdTime)
  {
  }

  /// Starts over cold. Until aGrace has passed, overload is tolerated: nobody
  /// can know of a cold start without warning at once.
  void TurnCold(Instant aNow, Duration aGrace);

  /// From 0 when cold to 1 when warm, growing linearly with time.
  double Warmth(Instant aNow) const;

  /// Share of its full speed at which a request that starts now is processed.
  double Speed(Instant aNow) const;

  /// Greatest number of requests in flight that it survives.
  double Bearable(Instant aNow) const;

  /// True when aInFlight requests are more than it survives.
  bool Overloaded(size_t aInFlight, Instant aNow) const;

  bool InGrace(Instant aNow) const { return aNow < mGraceEnd; }

  size_t Slots() const { return mSlots; }

private:
  size_t mSlots;
  Duration mColdTime;
  Instant mColdSince;
  Instant mGraceEnd;
};

} // namespace snipepost::tools
