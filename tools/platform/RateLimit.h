#pragma once

#include <cstddef>

#include <snipepost/Base/Types.h>

namespace snipepost::tools {

/// A token bucket that holds one second's worth of calls. Pure.
class RateLimit
{
public:
  /// aPerSecond calls are allowed in a second; 0 means any number.
  explicit RateLimit(double aPerSecond)
    : mPerSecond(aPerSecond)
    , mTokens(aPerSecond)
  {
  }

  /// Takes a token for one call. Each of aPending calls that have not ended
  /// takes away one call per second. False when none is left.
  bool Take(Instant aNow, size_t aPending);

private:
  double mPerSecond;
  double mTokens;
  Instant mLast;
};

} // namespace snipepost::tools
