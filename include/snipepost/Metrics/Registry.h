#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <boost/histogram.hpp>

#include <snipepost/Base/Types.h>

namespace snipepost {

/// A number of events since the process started.
class Counter
{
public:
  void Add(uint64_t aCount = 1) { mValue += aCount; }
  uint64_t Value() const { return mValue; }

private:
  uint64_t mValue = 0;
};

/// A value that can rise and fall.
class Gauge
{
public:
  void Set(double aValue) { mValue = aValue; }
  double Value() const { return mValue; }

private:
  double mValue = 0.0;
};

/// Distribution of durations from 10 microseconds to 100 seconds in buckets of
/// equal ratio.
class LatencyHistogram
{
public:
  LatencyHistogram();

  void Record(Duration aLatency);

  /// Upper edge in seconds of the bucket that contains the quantile for
  /// aProbability (0 to 1); 0 when nothing was recorded.
  double Quantile(double aProbability) const;

  uint64_t Count() const { return mCount; }
  double SumSeconds() const { return mSum; }

  /// Upper edges of the buckets in seconds, with cumulative counts.
  std::vector<std::pair<double, uint64_t>> Cumulative() const;

private:
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> mBuckets;
  uint64_t mCount = 0;
  double mSum = 0.0;
};

/// All metrics of a process. References to added metrics stay valid.
class Registry
{
public:
  /// aLabels is Prometheus label text without braces, such as role="entry".
  Counter& AddCounter(std::string aName,
                      std::string aHelp,
                      std::string aLabels = {});
  Gauge& AddGauge(std::string aName,
                  std::string aHelp,
                  std::string aLabels = {});
  LatencyHistogram& AddLatency(std::string aName,
                               std::string aHelp,
                               std::string aLabels = {});

  /// Every metric in the Prometheus text exposition format, version 0.0.4.
  std::string PrometheusText() const;

private:
  template<typename Metric>
  struct Named
  {
    std::string mName;
    std::string mHelp;
    std::string mLabels;
    Metric mMetric;
  };

  std::deque<Named<Counter>> mCounters;
  std::deque<Named<Gauge>> mGauges;
  std::deque<Named<LatencyHistogram>> mLatencies;
};

} // namespace snipepost
