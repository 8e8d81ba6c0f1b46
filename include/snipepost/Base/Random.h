#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <chrono>
#include <cstdint>

#include <snipepost/Base/Types.h>

namespace snipepost {

/// A seeded random number generator, passed to code that is otherwise
/// deterministic. Uses Boost's distributions, whose results are the same on
/// every platform.
class Random
{
public:
  explicit Random(uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  /// A uniformly distributed number from 0 to aBound - 1; aBound is above 0.
  uint64_t Below(uint64_t aBound)
  {
    return boost::random::uniform_int_distribution<uint64_t>(0, aBound - 1)(
      mEngine);
  }

  /// A uniformly distributed number from 0 (inclusive) to 1 (exclusive).
  double Fraction()
  {
    return boost::random::uniform_real_distribution<double>(0.0, 1.0)(mEngine);
  }

  /// True with probability aProbability, which is from 0 to 1.
  bool Chance(double aProbability) { return Fraction() < aProbability; }

  /// aMean multiplied by a random factor from 1 - aSpread to 1 + aSpread.
  Duration Jittered(Duration aMean, double aSpread)
  {
    const double factor = 1.0 + aSpread * (2.0 * Fraction() - 1.0);
    return std::chrono::duration_cast<Duration>(aMean * factor);
  }

private:
  boost::random::mt19937_64 mEngine;
};

} // namespace snipepost
