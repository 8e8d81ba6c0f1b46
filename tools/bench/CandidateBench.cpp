#include "tools/bench/Modes.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include <snipepost/Flow/CandidateTable.h>

#include "tools/bench/Timing.h"

namespace snipepost::bench {

namespace {

constexpr std::array<size_t, 4> kServerCounts{ 10, 163, 1000, 3500 };
constexpr size_t kDomains = 5;
constexpr size_t kBatches = 200;
constexpr size_t kBatchSize = 32;
constexpr Duration kFlowLimit = std::chrono::seconds(60);
constexpr Instant kNow{ std::chrono::seconds(1000) };
/// Spreads the numbers of the timed calls over all hash values.
constexpr uint64_t kHashStep = 0x9e3779b97f4a7c15;

using Records = std::vector<flow::RecordHistory::KnownRecord>;

/// Records that a node has known since aKnownSince.
Records
MakeRecords(size_t aCount, Instant aKnownSince)
{
  Records records(aCount);
  for (size_t i = 0; i < aCount; ++i) {
    cluster::BackendRecord& record = records[i].mRecord;
    record.mService = "service";
    record.mAgent = { 0x0a010000U + static_cast<uint32_t>(i), 8172 };
    record.mDomain = std::string(1, static_cast<char>('a' + i % kDomains));
    records[i].mCreated = cluster::Revision(i + 1);
    records[i].mFirstCreated = records[i].mCreated;
    records[i].mKnownSince = aKnownSince;
  }
  return records;
}

flow::CandidateTable
MakeTable(const Records& aRecords)
{
  flow::CandidateTable table;
  for (const auto& record : aRecords) {
    table.Add(record);
  }
  return table;
}

/// Time to find the possible owners, and their mean number.
struct LookupCost
{
  Quantiles mTime;
  double mMeanOwners = 0.0;
};

LookupCost
MeasureLookup(const flow::CandidateTable& aTable)
{
  size_t owners = 0;
  size_t calls = 0;
  const Quantiles time = TimeBatches(kBatches, kBatchSize, [&](size_t aIndex) {
    std::vector<const cluster::BackendRecord*> found;
    aTable.AppendPossibleOwners(aIndex * kHashStep, kNow, kFlowLimit, found);
    owners += found.size();
    ++calls;
  });
  return { time, static_cast<double>(owners) / static_cast<double>(calls) };
}

} // namespace

void
RunCandidates(Report& aReport)
{
  aReport.StartTable("candidates of a flow",
                     { "servers",
                       "new flow ns (p50)",
                       "new flow ns (p99)",
                       "lookup ns, records settled",
                       "possible owners",
                       "lookup ns, node just started",
                       "possible owners" });
  for (const size_t count : kServerCounts) {
    const Records settledRecords = MakeRecords(count, kNow - kFlowLimit);
    const Records startedRecords = MakeRecords(count, kNow);
    const auto settled = MakeTable(settledRecords);
    const auto started = MakeTable(startedRecords);
    size_t candidates = 0;
    const Quantiles select =
      TimeBatches(kBatches, kBatchSize, [&](size_t aIndex) {
        candidates += settled.Candidates(aIndex * kHashStep, "a").size();
      });
    const LookupCost settledCost = MeasureLookup(settled);
    const LookupCost startedCost = MeasureLookup(started);
    aReport.AddRow({ static_cast<double>(count),
                     select.mMedian,
                     select.mP99,
                     settledCost.mTime.mMedian,
                     settledCost.mMeanOwners,
                     startedCost.mTime.mMedian,
                     startedCost.mMeanOwners });
  }
}

} // namespace snipepost::bench
