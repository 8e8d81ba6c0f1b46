#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace snipepost::bench {

/// Median and 99th percentile of a set of samples.
struct Quantiles
{
  double mMedian = 0;
  double mP99 = 0;
};

/// Quantiles of at least one sample.
Quantiles
QuantilesOf(std::vector<double> aSamples);

/// Time of one call in nanoseconds, by std::chrono::steady_clock.
template<typename Function>
double
TimeNs(Function&& aFunction)
{
  const auto start = std::chrono::steady_clock::now();
  aFunction();
  const std::chrono::duration<double, std::nano> elapsed =
    std::chrono::steady_clock::now() - start;
  return elapsed.count();
}

/// Calls aFunction(i), where i counts all calls from 0, in aBatches batches of
/// aBatchSize calls, and returns quantiles over the batches of the time per
/// call in nanoseconds. Beforehand, aBatches / 10 untimed batches warm the
/// caches.
template<typename Function>
Quantiles
TimeBatches(size_t aBatches, size_t aBatchSize, Function&& aFunction)
{
  std::vector<double> samples;
  samples.reserve(aBatches);
  size_t index = 0;
  const size_t warmUp = aBatches / 10;
  for (size_t batch = 0; batch < warmUp + aBatches; ++batch) {
    const double elapsed = TimeNs([&] {
      for (size_t i = 0; i < aBatchSize; ++i) {
        aFunction(index++);
      }
    });
    if (batch >= warmUp) {
      samples.push_back(elapsed / static_cast<double>(aBatchSize));
    }
  }
  return QuantilesOf(std::move(samples));
}

} // namespace snipepost::bench
