#include "tools/bench/Timing.h"

#include <algorithm>

namespace snipepost::bench {

Quantiles
QuantilesOf(std::vector<double> aSamples)
{
  std::ranges::sort(aSamples);
  return { aSamples[aSamples.size() / 2],
           aSamples[aSamples.size() * 99 / 100] };
}

} // namespace snipepost::bench
