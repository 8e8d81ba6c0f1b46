#include "tools/callers/Statistics.h"

#include <algorithm>

namespace snipepost::tools {

namespace {

// From 10 us to 10 min; ln(6e7) / 1800 gives bins 1% wide.
constexpr double kMinMs = 0.01;
constexpr double kMaxMs = 600000;
constexpr unsigned kBins = 1800;

double
ToMs(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

} // namespace

LatencyHistogram::LatencyHistogram()
  : mHistogram(boost::histogram::make_histogram(Axis(kBins, kMinMs, kMaxMs)))
{
}

void
LatencyHistogram::Add(Duration aLatency)
{
  mHistogram(std::clamp(ToMs(aLatency), kMinMs, kMaxMs * 0.999));
  ++mCount;
}

double
LatencyHistogram::Quantile(double aShare) const
{
  const double wanted = aShare * static_cast<double>(mCount);
  double seen = 0;
  for (auto&& bin : boost::histogram::indexed(mHistogram)) {
    seen += static_cast<double>(*bin);
    if (seen > 0 && seen >= wanted) {
      return bin.bin().upper();
    }
  }
  return 0;
}

SecondCounters&
Statistics::CountersAt(ClassStatistics& aClass, Instant aTime)
{
  const auto offset =
    std::chrono::duration_cast<std::chrono::seconds>(aTime - mStart).count();
  const auto second = static_cast<size_t>(std::max<int64_t>(offset, 0));
  if (aClass.mSeconds.size() <= second) {
    aClass.mSeconds.resize(second + 1);
  }
  return aClass.mSeconds[second];
}

void
Statistics::OnRequest(RequestClass aClass, Instant aIntendedStart)
{
  ClassStatistics& counters = mClasses[IndexOf(aClass)];
  ++counters.mRequests;
  ++CountersAt(counters, aIntendedStart).mRequests;
}

void
Statistics::OnRetry(RequestClass aClass)
{
  ++mClasses[IndexOf(aClass)].mRetries;
}

void
Statistics::OnBroken(RequestClass aClass, Instant aNow)
{
  ClassStatistics& counters = mClasses[IndexOf(aClass)];
  ++counters.mBroken;
  ++CountersAt(counters, aNow).mBroken;
}

void
Statistics::OnResult(RequestClass aClass,
                     Result aResult,
                     Instant aIntendedStart,
                     Instant aNow)
{
  ClassStatistics& counters = mClasses[IndexOf(aClass)];
  SecondCounters& second = CountersAt(counters, aNow);
  ++counters.mResults[static_cast<size_t>(aResult)];
  ++second.mResults[static_cast<size_t>(aResult)];
  if (aResult == Result::Ok) {
    const Duration latency = aNow - aIntendedStart;
    counters.mLatency.Add(latency);
    second.mMaxLatencyMs = std::max(second.mMaxLatencyMs, ToMs(latency));
  }
}

} // namespace snipepost::tools
