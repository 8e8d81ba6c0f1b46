#include <snipepost/Metrics/Registry.h>

#include <cmath>
#include <sstream>

namespace snipepost {

namespace {

constexpr double kLowestSeconds = 1e-5;
constexpr double kHighestSeconds = 100.0;
// 20 buckets per decade limit the error of a quantile to 12%.
constexpr unsigned kBuckets = 140;

std::string
LabelSet(const std::string& aLabels, const std::string& aExtra = {})
{
  if (aLabels.empty() && aExtra.empty()) {
    return {};
  }
  const bool both = !aLabels.empty() && !aExtra.empty();
  return '{' + aLabels + (both ? "," : "") + aExtra + '}';
}

void
WriteHeader(std::ostream& aText,
            std::string& aLastName,
            const std::string& aName,
            const std::string& aHelp,
            const char* aType)
{
  if (aLastName == aName) {
    return;
  }
  aText << "# HELP " << aName << ' ' << aHelp << "\n# TYPE " << aName << ' '
        << aType << '\n';
  aLastName = aName;
}

} // namespace

LatencyHistogram::LatencyHistogram()
  : mBuckets(boost::histogram::make_histogram(
      Axis(kBuckets, kLowestSeconds, kHighestSeconds)))
{
}

void
LatencyHistogram::Record(Duration aLatency)
{
  const double seconds = std::chrono::duration<double>(aLatency).count();
  mBuckets(std::max(seconds, kLowestSeconds));
  mSum += seconds;
  ++mCount;
}

std::vector<std::pair<double, uint64_t>>
LatencyHistogram::Cumulative() const
{
  std::vector<std::pair<double, uint64_t>> edges;
  const auto& axis = mBuckets.axis(0);
  double sum = mBuckets.at(-1);
  for (int i = 0; i < axis.size(); ++i) {
    sum += mBuckets.at(i);
    edges.emplace_back(axis.bin(i).upper(), std::llround(sum));
  }
  return edges;
}

double
LatencyHistogram::Quantile(double aProbability) const
{
  if (mCount == 0) {
    return 0.0;
  }
  const double threshold = aProbability * static_cast<double>(mCount);
  for (const auto& [edge, count] : Cumulative()) {
    if (static_cast<double>(count) >= threshold) {
      return edge;
    }
  }
  return kHighestSeconds;
}

Counter&
Registry::AddCounter(std::string aName, std::string aHelp, std::string aLabels)
{
  mCounters.push_back(
    { std::move(aName), std::move(aHelp), std::move(aLabels), {} });
  return mCounters.back().mMetric;
}

Gauge&
Registry::AddGauge(std::string aName, std::string aHelp, std::string aLabels)
{
  mGauges.push_back(
    { std::move(aName), std::move(aHelp), std::move(aLabels), {} });
  return mGauges.back().mMetric;
}

LatencyHistogram&
Registry::AddLatency(std::string aName, std::string aHelp, std::string aLabels)
{
  mLatencies.push_back(
    { std::move(aName), std::move(aHelp), std::move(aLabels), {} });
  return mLatencies.back().mMetric;
}

std::string
Registry::PrometheusText() const
{
  std::ostringstream text;
  std::string lastName;
  for (const auto& entry : mCounters) {
    WriteHeader(text, lastName, entry.mName, entry.mHelp, "counter");
    text << entry.mName << LabelSet(entry.mLabels) << ' '
         << entry.mMetric.Value() << '\n';
  }
  for (const auto& entry : mGauges) {
    WriteHeader(text, lastName, entry.mName, entry.mHelp, "gauge");
    text << entry.mName << LabelSet(entry.mLabels) << ' '
         << entry.mMetric.Value() << '\n';
  }
  for (const auto& entry : mLatencies) {
    WriteHeader(text, lastName, entry.mName, entry.mHelp, "histogram");
    for (const auto& [edge, count] : entry.mMetric.Cumulative()) {
      std::ostringstream bucketLabel;
      bucketLabel << "le=\"" << edge << '"';
      text << entry.mName << "_bucket"
           << LabelSet(entry.mLabels, bucketLabel.str()) << ' ' << count
           << '\n';
    }
    text << entry.mName << "_bucket" << LabelSet(entry.mLabels, "le=\"+Inf\"")
         << ' ' << entry.mMetric.Count() << '\n'
         << entry.mName << "_sum" << LabelSet(entry.mLabels) << ' '
         << entry.mMetric.SumSeconds() << '\n'
         << entry.mName << "_count" << LabelSet(entry.mLabels) << ' '
         << entry.mMetric.Count() << '\n';
  }
  return text.str();
}

} // namespace snipepost
