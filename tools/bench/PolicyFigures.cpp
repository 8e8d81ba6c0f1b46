#include "tools/bench/PolicyFigures.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <iomanip>
#include <numeric>
#include <sstream>
#include <thread>

#include "tools/bench/PolicyWorkload.h"

namespace snipepost::bench {

namespace {

/// Leaves processors free for other programs on the machine.
constexpr size_t kThreads = 4;

double
Quantile(std::vector<double>& aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto position =
    aValues.begin() + static_cast<std::ptrdiff_t>(
                        aFraction * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), position, aValues.end());
  return *position;
}

double
MaxOverMean(const std::vector<size_t>& aCounts)
{
  const auto sum = std::accumulate(aCounts.begin(), aCounts.end(), size_t{ 0 });
  return sum == 0
           ? 0
           : static_cast<double>(std::ranges::max(aCounts)) *
               static_cast<double>(aCounts.size()) / static_cast<double>(sum);
}

double
Percent(size_t aPart, size_t aWhole)
{
  return aWhole == 0
           ? 0
           : 100 * static_cast<double>(aPart) / static_cast<double>(aWhole);
}

} // namespace

Figures
FiguresOf(const ModelOptions& aOptions)
{
  ModelResult result = RunPolicyModel(aOptions);
  Figures figures{};
  const auto set = [&figures](Figure aFigure, double aValue) {
    figures[static_cast<size_t>(aFigure)] = aValue;
  };
  const double seconds =
    std::chrono::duration<double>(aOptions.mLength).count();
  set(Figure::BrokenFlows, static_cast<double>(result.mBrokenFlows));
  set(Figure::RefusedFlows, static_cast<double>(result.mRefusedFlows));
  set(Figure::MaxOverMean, MaxOverMean(result.mRequestsPerServer));
  set(Figure::OccupancyP99, Quantile(result.mOccupancy, 0.99));
  set(Figure::NotRun, Percent(result.mNotRun, result.mRequests));
  set(Figure::Unknown, static_cast<double>(result.mUnknown));
  set(Figure::ColdOverloads, static_cast<double>(result.mColdOverloads));
  set(Figure::GoodPerSecond, static_cast<double>(result.mGood) / seconds);
  set(Figure::GoodWork, 100 * result.mGoodWork / (seconds * kServers * kSlots));
  for (size_t i = 0; i < 3; ++i) {
    const auto classIndex = static_cast<int>(i);
    const auto at = [classIndex](Figure aFirst, int aStep, int aOffset) {
      return static_cast<Figure>(static_cast<int>(aFirst) + aStep * classIndex +
                                 aOffset);
    };
    set(at(Figure::GoodSubmissions, 1, 0),
        Percent(result.mGoodByClass[i], result.mRequestsByClass[i]));
    auto& latencies = result.mLatencies[i];
    set(at(Figure::SubmissionP50, 3, 0), Quantile(latencies, 0.5));
    set(at(Figure::SubmissionP50, 3, 1), Quantile(latencies, 0.99));
    set(at(Figure::SubmissionP50, 3, 2), Quantile(latencies, 0.999));
  }
  return figures;
}

std::vector<SeedFigures>
RunAllSeeds(const std::vector<ModelOptions>& aRuns)
{
  std::vector<SeedFigures> results(aRuns.size(), SeedFigures(kSeeds));
  std::atomic<size_t> next{ 0 };
  const auto runModels = [&] {
    for (size_t i = next++; i < aRuns.size() * kSeeds; i = next++) {
      ModelOptions options = aRuns[i / kSeeds];
      options.mSeed = 1 + i % kSeeds;
      results[i / kSeeds][i % kSeeds] = FiguresOf(options);
    }
  };
  std::vector<std::jthread> threads;
  for (size_t i = 0; i < kThreads; ++i) {
    threads.emplace_back(runModels);
  }
  threads.clear();
  return results;
}

std::vector<double>
ValuesOf(const SeedFigures& aSeeds, Figure aFigure)
{
  std::vector<double> values;
  for (const Figures& figures : aSeeds) {
    values.push_back(figures[static_cast<size_t>(aFigure)]);
  }
  return values;
}

std::string
MeanAndRange(const std::vector<double>& aValues)
{
  const double mean = std::accumulate(aValues.begin(), aValues.end(), 0.0) /
                      static_cast<double>(aValues.size());
  const auto [least, greatest] = std::ranges::minmax(aValues);
  std::ostringstream text;
  text << std::fixed << std::setprecision(greatest < 10 ? 2 : 0) << mean;
  if (least < greatest) {
    text << " (" << least << '-' << greatest << ')';
  }
  return text.str();
}

std::string
MeanAndRange(const SeedFigures& aSeeds, Figure aFigure)
{
  return MeanAndRange(ValuesOf(aSeeds, aFigure));
}

} // namespace snipepost::bench
