#include "tools/bench/Modes.h"

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include "tools/bench/PolicyFigures.h"
#include "tools/bench/PolicyPlot.h"

using namespace std::chrono_literals;

namespace snipepost::bench {

namespace {

struct Column
{
  const char* mName;
  Figure mFigure;
};

constexpr std::array kOutcomes{
  Column{ "broken flows", Figure::BrokenFlows },
  Column{ "refused flows", Figure::RefusedFlows },
  Column{ "max/mean", Figure::MaxOverMean },
  Column{ "p99 per slot", Figure::OccupancyP99 },
  Column{ "not run %", Figure::NotRun },
  Column{ "unknown", Figure::Unknown },
  Column{ "cold overloads", Figure::ColdOverloads },
  Column{ "good/s", Figure::GoodPerSecond },
  Column{ "good work %", Figure::GoodWork },
};

constexpr std::array kLatencies{
  Column{ "submission p50 ms", Figure::SubmissionP50 },
  Column{ "p99", Figure::SubmissionP99 },
  Column{ "p99.9", Figure::SubmissionP999 },
  Column{ "query p50", Figure::QueryP50 },
  Column{ "query p99", Figure::QueryP99 },
  Column{ "query p99.9", Figure::QueryP999 },
  Column{ "bulk p50", Figure::BulkP50 },
  Column{ "bulk p99", Figure::BulkP99 },
  Column{ "bulk p99.9", Figure::BulkP999 },
};

constexpr std::array kClasses{
  Column{ "submissions in time %", Figure::GoodSubmissions },
  Column{ "queries in time %", Figure::GoodQueries },
  Column{ "bulk in time %", Figure::GoodBulk },
};

struct NamedRun
{
  std::string mName;
  ModelOptions mOptions;
};

struct NamedPolicy
{
  const char* mName;
  PolicyKind mKind;
};

constexpr std::array kPolicies{
  NamedPolicy{ "random", PolicyKind::Random },
  NamedPolicy{ "least-loaded", PolicyKind::LeastLoaded },
  NamedPolicy{ "two-choices", PolicyKind::TwoChoices },
  NamedPolicy{ "table", PolicyKind::Table },
  NamedPolicy{ "table-chained", PolicyKind::TableChained },
  NamedPolicy{ "table-hunting", PolicyKind::Hunting },
};

struct NamedScenario
{
  const char* mName;
  ModelScenario mScenario;
  double mLoad;
  Duration mLength;
};

constexpr std::array kScenarios{
  NamedScenario{ "steady 0.3", ModelScenario::Steady, 0.3, 10s },
  NamedScenario{ "steady 0.6", ModelScenario::Steady, 0.6, 10s },
  NamedScenario{ "steady 0.9", ModelScenario::Steady, 0.9, 10s },
  NamedScenario{ "domain leaves, 0.6", ModelScenario::DomainLeaves, 0.6, 30s },
  NamedScenario{ "rolling cold start, 0.6",
                 ModelScenario::RollingRestart,
                 0.6,
                 20s },
  NamedScenario{ "overload 1.5", ModelScenario::Steady, 1.5, 10s },
  NamedScenario{ "overload 3", ModelScenario::Steady, 3.0, 10s },
};
constexpr NamedScenario kOverload = kScenarios[6]; // overload 3

ModelOptions
MakeOptions(const Site& aSite, const NamedScenario& aScenario)
{
  return { .mSite = aSite,
           .mScenario = aScenario.mScenario,
           .mLoad = aScenario.mLoad,
           .mLength = aScenario.mLength };
}

template<size_t kCount>
void
AddTable(Report& aReport,
         const std::string& aName,
         const std::array<Column, kCount>& aColumns,
         const std::vector<NamedRun>& aRuns,
         const std::vector<SeedFigures>& aFigures)
{
  std::vector<std::string> columns{ "run" };
  for (const Column& column : aColumns) {
    columns.emplace_back(column.mName);
  }
  aReport.StartTable(aName, columns);
  for (size_t i = 0; i < aRuns.size(); ++i) {
    std::vector<Cell> row{ aRuns[i].mName };
    for (const Column& column : aColumns) {
      row.emplace_back(MeanAndRange(aFigures[i], column.mFigure));
    }
    aReport.AddRow(row);
  }
}

std::vector<SeedFigures>
Run(const std::vector<NamedRun>& aRuns)
{
  std::vector<ModelOptions> options;
  for (const NamedRun& run : aRuns) {
    options.push_back(run.mOptions);
  }
  return RunAllSeeds(options);
}

void
ComparePolicies(Report& aReport,
                const Site& aSite,
                const NamedScenario& aScenario)
{
  std::vector<NamedRun> runs;
  for (const NamedPolicy& policy : kPolicies) {
    runs.push_back({ policy.mName, MakeOptions(aSite, aScenario) });
    runs.back().mOptions.mPolicy = policy.mKind;
  }
  const auto figures = Run(runs);
  const std::string name = std::string(aSite.mName) + ", " + aScenario.mName;
  AddTable(aReport, name, kOutcomes, runs, figures);
  AddTable(aReport, name + ", latency", kLatencies, runs, figures);
}

void
CompareSafeguards(Report& aReport,
                  const Site& aSite,
                  const NamedScenario& aScenario)
{
  std::vector<NamedRun> runs;
  for (const bool ramp : { true, false }) {
    for (const bool budget : { true, false }) {
      runs.push_back({ std::string(ramp ? "ramp on" : "ramp off") +
                         (budget ? ", budget on" : ", budget off"),
                       MakeOptions(aSite, aScenario) });
      Safeguards& safeguards = runs.back().mOptions.mAgent.mSafeguards;
      safeguards.mColdRamp = ramp;
      safeguards.mRetryBudget = budget;
    }
  }
  const auto figures = Run(runs);
  const std::string name =
    std::string(aSite.mName) + ", " + aScenario.mName + ", switches";
  AddTable(aReport, name, kOutcomes, runs, figures);
  AddTable(aReport, name + ", latency", kLatencies, runs, figures);
}

/// Goodput under overload divided by the highest goodput at the loads near
/// capacity, calculated for each seed.
std::string
RelativeToPeak(const SeedFigures& aOverload,
               const std::vector<SeedFigures>& aNearCapacity,
               Figure aFigure)
{
  auto values = ValuesOf(aOverload, aFigure);
  for (size_t seed = 0; seed < values.size(); ++seed) {
    double peak = 0;
    for (const SeedFigures& figures : aNearCapacity) {
      peak = std::max(peak, ValuesOf(figures, aFigure)[seed]);
    }
    values[seed] /= peak;
  }
  return MeanAndRange(values);
}

void
MeasureOverload(Report& aReport, const Site& aSite)
{
  aReport.StartTable(std::string(aSite.mName) + ", overload against peak",
                     { "policy",
                       "load",
                       "work / peak",
                       "requests / peak",
                       "submissions in time %",
                       "queries in time %",
                       "bulk in time %" });
  for (const NamedPolicy& policy : kPolicies) {
    std::vector<ModelOptions> runs;
    for (const double load : { 0.9, 1.0, 1.2, 1.5, 3.0 }) {
      runs.push_back(MakeOptions(aSite, kOverload));
      runs.back().mPolicy = policy.mKind;
      runs.back().mLoad = load;
    }
    const auto figures = RunAllSeeds(runs);
    // Loads 0.9 to 1.2 are near capacity; 1.5 and 3 are overloads.
    const std::vector nearCapacity(figures.begin(), figures.begin() + 3);
    for (const size_t i : { 3, 4 }) {
      std::vector<Cell> row{
        policy.mName,
        runs[i].mLoad,
        RelativeToPeak(figures[i], nearCapacity, Figure::GoodWork),
        RelativeToPeak(figures[i], nearCapacity, Figure::GoodPerSecond)
      };
      for (const Column& column : kClasses) {
        row.emplace_back(MeanAndRange(figures[i], column.mFigure));
      }
      aReport.AddRow(row);
    }
  }
}

/// A setting and the values to compare.
struct Setting
{
  const char* mName;
  std::vector<double> mValues;
  void (*mApply)(ModelOptions&, double);
};

std::vector<Setting>
MakeSettings()
{
  return {
    { "threshold",
      { 0, 2, 6, 8 },
      [](ModelOptions& aOptions, double aValue) {
        // 0 keeps the default, the current concurrency limit.
        if (aValue > 0) {
          aOptions.mConfig.mThreshold = static_cast<uint32_t>(aValue);
        }
      } },
    { "queue per slot",
      { 2, 4, 8, 16 },
      [](ModelOptions& aOptions, double aValue) {
        aOptions.mAgent.mQueuePerSlot = static_cast<uint32_t>(aValue);
      } },
    { "slots without bulk",
      { 0, 1, 2 },
      [](ModelOptions& aOptions, double aValue) {
        aOptions.mAgent.mSlotsWithoutBulk = static_cast<uint32_t>(aValue);
      } },
    { "refuse by estimate",
      { 0, 1 },
      [](ModelOptions& aOptions, double aValue) {
        aOptions.mAgent.mRefuseByEstimate = aValue > 0;
      } },
    { "retry ratio",
      { 0, 0.1, 0.5 },
      [](ModelOptions& aOptions, double aValue) {
        aOptions.mAgent.mRetry.mRatio = aValue;
      } },
  };
}

void
Sweep(Report& aReport,
      const Site& aSite,
      const NamedScenario& aScenario,
      const Setting& aSetting)
{
  std::vector<NamedRun> runs;
  for (const double value : aSetting.mValues) {
    const auto text = std::to_string(value);
    runs.push_back(
      { text.substr(0, text.find('.') + 3), MakeOptions(aSite, aScenario) });
    aSetting.mApply(runs.back().mOptions, value);
  }
  const auto figures = Run(runs);
  const std::string name =
    std::string(aSetting.mName) + ", " + aSite.mName + ", " + aScenario.mName;
  AddTable(aReport, name, kOutcomes, runs, figures);
  AddTable(aReport, name + ", classes", kClasses, runs, figures);
  AddTable(aReport, name + ", latency", kLatencies, runs, figures);
}

} // namespace

void
RunPolicy(Report& aReport)
{
  for (const Site& site : { kRekawica, kCorrib }) {
    for (const NamedScenario& scenario : kScenarios) {
      ComparePolicies(aReport, site, scenario);
    }
    // Domain leaves, and rolling cold start.
    CompareSafeguards(aReport, site, kScenarios[3]);
    CompareSafeguards(aReport, site, kScenarios[4]);
    MeasureOverload(aReport, site);
  }
  if (!aReport.PlotFile().empty()) {
    WritePolicyPlot(aReport.PlotFile());
  }
}

void
RunPolicySweep(Report& aReport)
{
  for (const Setting& setting : MakeSettings()) {
    // Steady 0.9, domain leaves, rolling cold start, overload 3.
    for (const size_t scenario : { 2, 3, 4, 6 }) {
      for (const Site& site : { kRekawica, kCorrib }) {
        Sweep(aReport, site, kScenarios[scenario], setting);
      }
    }
  }
}

} // namespace snipepost::bench
