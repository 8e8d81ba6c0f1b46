#pragma once

#include <algorithm>
#include <chrono>
#include <utility>

#include <snipepost/Base/Random.h>
#include <snipepost/Base/Types.h>

namespace snipepost {

/// Delays between attempts: exponential growth with full jitter, that is, a
/// uniformly distributed fraction of the current bound ("Exponential Backoff
/// And Jitter", AWS Architecture Blog, 2015). Only computes delays and does not
/// wait itself.
class Backoff
{
public:
  /// Bound of the first delay: several times the platform's usual latency.
  static constexpr Duration kFirst = std::chrono::milliseconds(100);
  /// Largest bound. After an outage all instances retry within this time.
  static constexpr Duration kLimit = std::chrono::seconds(10);

  explicit Backoff(Duration aFirst = kFirst, Duration aLimit = kLimit)
    : mFirst(aFirst)
    , mLimit(aLimit)
    , mBound(aFirst)
  {
  }

  /// Returns the delay before the next attempt, from 0 to the current bound,
  /// and doubles the bound.
  Duration Next(Random& aRandom)
  {
    const Duration bound = std::exchange(mBound, std::min(mBound * 2, mLimit));
    return std::chrono::duration_cast<Duration>(bound * aRandom.Fraction());
  }

  /// The bound of the next delay.
  Duration Bound() const { return mBound; }

  /// Resets the bound after a successful attempt.
  void Reset() { mBound = mFirst; }

private:
  Duration mFirst;
  Duration mLimit;
  Duration mBound;
};

} // namespace snipepost
