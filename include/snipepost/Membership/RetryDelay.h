#pragma once

#include <algorithm>
#include <chrono>

#include <snipepost/Base/Random.h>
#include <snipepost/Base/Types.h>

namespace snipepost {

/// Exponential back-off with full jitter: after n failures in a row the delay
/// is uniform between zero and base * 2^n, at most the cap. Full jitter spreads
/// the fleet's retries after a store outage (Brooker, 2015).
class RetryDelay
{
public:
  RetryDelay(Duration aBase, Duration aCap)
    : mBase(aBase)
    , mCap(aCap)
  {
  }

  void Succeeded() { mFailures = 0; }

  /// Counts a failure and returns how long to wait before the next attempt.
  Duration Failed(Random& aRandom)
  {
    constexpr unsigned kMaxDoublings = 20;
    mFailures = std::min(mFailures + 1, kMaxDoublings);
    const Duration bound = std::min(mCap, mBase * (int64_t{ 1 } << mFailures));
    return Duration(static_cast<int64_t>(
      aRandom.Below(static_cast<uint64_t>(bound.count()) + 1)));
  }

private:
  Duration mBase;
  Duration mCap;
  unsigned mFailures = 0;
};

} // namespace snipepost
