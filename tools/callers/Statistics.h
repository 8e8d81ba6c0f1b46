#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include <boost/histogram.hpp>

#include <snipepost/Base/Types.h>

#include "tools/callers/RequestClass.h"

namespace snipepost::tools {

/// Final result of a request.
enum class Result : uint8_t
{
  Ok,
  /// The last attempt was rejected and no attempt ran.
  NotRun,
  /// 502 "outcome unknown", or a broken flow that no retry resolved.
  Unknown,
  /// Bytes differ or are missing, or the response is for another request.
  Wrong,
  /// A status other than 200.
  OtherStatus,
  /// No response by the deadline.
  TimedOut,
};

constexpr size_t kResultCount = 6;

/// Histogram of latencies in milliseconds with logarithmic bins 1% wide.
class LatencyHistogram
{
public:
  LatencyHistogram();
  void Add(Duration aLatency);
  /// Upper edge of the bin that holds the given share (0 to 1) of all values,
  /// in milliseconds; 0 when there are none.
  double Quantile(double aShare) const;

private:
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  using Histogram =
    decltype(boost::histogram::make_histogram(Axis(1, 1.0, 2.0)));
  Histogram mHistogram;
  uint64_t mCount = 0;
};

/// Counters of one class in one second of the run.
struct SecondCounters
{
  uint64_t mRequests = 0;
  std::array<uint64_t, kResultCount> mResults{};
  uint64_t mBroken = 0;
  double mMaxLatencyMs = 0;
};

/// Counters and latencies of one request class.
struct ClassStatistics
{
  uint64_t mRequests = 0;
  uint64_t mRetries = 0;
  std::array<uint64_t, kResultCount> mResults{};
  /// Responses that broke off; every attempt counts.
  uint64_t mBroken = 0;
  LatencyHistogram mLatency;
  /// By second since the start of the run: requests by their intended start,
  /// results by the time at which they were recorded.
  std::vector<SecondCounters> mSeconds;

  uint64_t Count(Result aResult) const
  {
    return mResults[static_cast<size_t>(aResult)];
  }
};

class Statistics
{
public:
  /// aStart is the start of the run.
  explicit Statistics(Instant aStart)
    : mStart(aStart)
  {
  }

  void OnRequest(RequestClass aClass, Instant aIntendedStart);
  void OnRetry(RequestClass aClass);
  void OnBroken(RequestClass aClass, Instant aNow);
  void OnResult(RequestClass aClass,
                Result aResult,
                Instant aIntendedStart,
                Instant aNow);
  const ClassStatistics& ForClass(RequestClass aClass) const
  {
    return mClasses[IndexOf(aClass)];
  }

  uint64_t mFlowsOpened = 0;
  uint64_t mFlowsRefused = 0;
  /// Connections closed neither by this side nor after a GOAWAY.
  uint64_t mFlowsLost = 0;
  uint64_t mGoaways = 0;

private:
  SecondCounters& CountersAt(ClassStatistics& aClass, Instant aTime);

  Instant mStart;
  std::array<ClassStatistics, kClassCount> mClasses;
};

} // namespace snipepost::tools
