#include "tools/bench/PolicyPlot.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <vector>

#include "tools/bench/PolicyFigures.h"

using namespace std::chrono_literals;

namespace snipepost::bench {

namespace {

constexpr Duration kPlotTime = 30s;
constexpr double kWidth = 900;
constexpr double kHeight = 220;
constexpr double kLeft = 70;
constexpr double kMargin = 60;
/// Deadline of queries, the shortest of all classes. Later responses to queries
/// are of no use to callers; longer latencies are drawn at this value.
constexpr double kMaxLatency = 500;

struct Series
{
  const char* mName;
  const char* mColour;
  PolicyKind mKind;
};

constexpr std::array kSeries{
  Series{ "random", "#999999", PolicyKind::Random },
  Series{ "least-loaded", "#cc3311", PolicyKind::LeastLoaded },
  Series{ "two-choices", "#ee7733", PolicyKind::TwoChoices },
  Series{ "table", "#33bbee", PolicyKind::Table },
  Series{ "table-chained", "#0077bb", PolicyKind::TableChained },
  Series{ "table-hunting", "#009944", PolicyKind::Hunting },
};

double
P99(std::vector<double> aValues)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto position = aValues.begin() + static_cast<std::ptrdiff_t>(
                                            (aValues.size() - 1) * 99 / 100);
  std::nth_element(aValues.begin(), position, aValues.end());
  return *position;
}

void
WriteSeries(std::ostream& aOut,
            const std::vector<double>& aValues,
            double aMaximum,
            double aTop,
            const char* aColour)
{
  aOut << "<polyline fill=\"none\" stroke=\"" << aColour << "\" points=\"";
  for (size_t i = 0; i < aValues.size(); ++i) {
    const double x = kLeft + kWidth * static_cast<double>(i) /
                               static_cast<double>(aValues.size());
    const double y =
      aTop + kHeight * (1 - std::min(aValues[i], aMaximum) / aMaximum);
    aOut << x << ',' << y << ' ';
  }
  aOut << "\"/>\n";
}

void
WriteText(std::ostream& aOut, double aX, double aY, const std::string& aText)
{
  aOut << "<text x=\"" << aX << "\" y=\"" << aY << "\">" << aText
       << "</text>\n";
}

void
WriteFrame(std::ostream& aOut,
           double aTop,
           double aMaximum,
           const std::string& aTitle)
{
  aOut << "<rect x=\"" << kLeft << "\" y=\"" << aTop << "\" width=\"" << kWidth
       << "\" height=\"" << kHeight << "\" fill=\"none\" stroke=\"#000\"/>\n";
  WriteText(aOut, kLeft, aTop - 8, aTitle);
  WriteText(aOut, 8, aTop + 10, std::to_string(static_cast<int>(aMaximum)));
  WriteText(aOut, 8, aTop + kHeight, "0");
  const double seconds = std::chrono::duration<double>(kPlotTime).count();
  for (int second = 0; second <= 30; second += 5) {
    const double x = kLeft + kWidth * second / seconds;
    aOut << "<line x1=\"" << x << "\" x2=\"" << x << "\" y1=\"" << aTop
         << "\" y2=\"" << aTop + kHeight << "\" stroke=\"#dddddd\"/>\n";
    WriteText(aOut, x, aTop + kHeight + 16, std::to_string(second) + " s");
  }
}

} // namespace

void
WritePolicyPlot(const std::string& aFile)
{
  const double latencyTop = kMargin + kHeight + kMargin;
  std::ofstream out(aFile);
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\""
      << kLeft + kWidth + 20 << "\" height=\"" << latencyTop + kHeight + 50
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"#fff\"/>\n";
  // Higher than the mean, because the number of requests per bucket varies by a
  // third.
  constexpr double kMaxGood = 250;
  WriteFrame(out,
             kMargin,
             kMaxGood,
             "responses in time per 100 ms; domain out 5 s to 10 s (Corrib, "
             "load 0.6, seed 1)");
  WriteFrame(out,
             latencyTop,
             kMaxLatency,
             "p99 of submissions and queries per 100 ms, in ms (cut at 500)");
  double legend = kLeft;
  for (const Series& series : kSeries) {
    const ModelResult result =
      RunPolicyModel({ .mSite = kCorrib,
                       .mPolicy = series.mKind,
                       .mScenario = ModelScenario::DomainLeaves,
                       .mLoad = 0.6,
                       .mSeed = 1,
                       .mLength = kPlotTime });
    std::vector<double> good;
    std::vector<double> latency;
    for (size_t i = 0; i < static_cast<size_t>(kPlotTime / kBucketTime); ++i) {
      good.push_back(static_cast<double>(result.mBuckets[i].mGood));
      latency.push_back(P99(result.mBuckets[i].mLatencies));
    }
    WriteSeries(out, good, kMaxGood, kMargin, series.mColour);
    WriteSeries(out, latency, kMaxLatency, latencyTop, series.mColour);
    out << "<rect x=\"" << legend << "\" y=\"10\" width=\"12\" height=\"12\" "
        << "fill=\"" << series.mColour << "\"/>\n";
    WriteText(out, legend + 16, 20, series.mName);
    legend += 140;
  }
  out << "</svg>\n";
}

} // namespace snipepost::bench
