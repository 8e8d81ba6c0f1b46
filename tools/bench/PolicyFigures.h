#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "tools/bench/PolicyModel.h"

namespace snipepost::bench {

/// Network delays of the two sites that the model covers.
constexpr Site kRekawica{ "Rekawica",
                          std::chrono::milliseconds(4),
                          std::chrono::milliseconds(3) };
constexpr Site kCorrib{ "Corrib",
                        std::chrono::milliseconds(3),
                        std::chrono::milliseconds(1) };

/// The model runs with seeds 1 to kSeeds. Each seed gives one workload, which
/// is the same for every policy.
constexpr uint64_t kSeeds = 5;

/// Figures of one run: counts, ratios, percentages, and latencies in ms. "Good"
/// counts requests that were answered within their deadline. See ModelResult.
enum class Figure : uint8_t
{
  BrokenFlows,
  RefusedFlows,
  /// Requests of the busiest server of the interactive service, relative to the
  /// mean of all its servers.
  MaxOverMean,
  OccupancyP99,
  NotRun,
  Unknown,
  ColdOverloads,
  GoodPerSecond,
  /// ModelResult::mGoodWork as a share of the time of all slots.
  GoodWork,
  GoodSubmissions,
  GoodQueries,
  GoodBulk,
  SubmissionP50,
  SubmissionP99,
  SubmissionP999,
  QueryP50,
  QueryP99,
  QueryP999,
  BulkP50,
  BulkP99,
  BulkP999,
  Count
};

using Figures = std::array<double, static_cast<size_t>(Figure::Count)>;

/// The figures of one run for each seed.
using SeedFigures = std::vector<Figures>;

/// Runs the model for each of aRuns and each seed, on a few threads.
std::vector<SeedFigures>
RunAllSeeds(const std::vector<ModelOptions>& aRuns);

/// One figure of all seeds as "mean (minimum-maximum)".
std::string
MeanAndRange(const std::vector<double>& aValues);
std::string
MeanAndRange(const SeedFigures& aSeeds, Figure aFigure);

std::vector<double>
ValuesOf(const SeedFigures& aSeeds, Figure aFigure);

Figures
FiguresOf(const ModelOptions& aOptions);

} // namespace snipepost::bench
