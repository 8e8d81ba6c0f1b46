#pragma once

#include <cstddef>

#include <snipepost/Base/Types.h>

namespace snipepost::tools {

/// A token bucket with room for the calls of one second. Has no clock and does
/// no I/O.
class RateLimit
{
public:
  /// Allows aPerSecond calls per second; 0 for no limit.
  explicit RateLimit(double aPerSecond)
    : mPerSecond(aPerSecond)
    , mTokens(aPerSecond)
  {
  }

  /// Takes a token for one call; false when none is left. Each of the aPending
  /// calls in progress reduces the rate by one call per second.
  bool Take(Instant aNow, size_t aPending);

private:
  double mPerSecond;
  double mTokens;
  Instant mLast;
};

} // namespace snipepost::tools
