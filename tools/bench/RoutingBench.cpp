#include "tools/bench/Modes.h"

#include <array>
#include <cstdint>
#include <limits>
#include <memory>
#include <vector>

#include <snipepost/Base/Random.h>
#include <snipepost/Routing/EntryRouter.h>
#include <snipepost/Routing/RouteId.h>
#include <snipepost/Routing/RoutingSnapshot.h>

#include "tools/bench/FlowKeyMoves.h"
#include "tools/bench/Timing.h"

namespace snipepost::bench {

namespace {

constexpr std::array<size_t, 4> kEndpointCounts{ 10, 100, 1000, 3500 };
// Largest numbers of backends for the two smallest Maglev table sizes; with one
// more backend the next larger table is used.
constexpr std::array<size_t, 2> kStepSizes{ 40, 655 };
constexpr size_t kServices = 970;
constexpr size_t kEndpoints = 3500;
constexpr size_t kDatagrams = 8192;
constexpr size_t kBatchSize = 32;
constexpr size_t kFastBatches = 20'000;
// A decision by rendezvous hashing takes microseconds, so fewer are timed.
constexpr size_t kSlowBatches = 500;
constexpr size_t kRebuilds = 15;
constexpr size_t kDatagramSize = 64;
constexpr double kPercent = 100.0;
constexpr double kNsPerMs = 1e6;
constexpr uint64_t kSeed = 8102;

const KeyRing kKeys(SecretKey{ 1, 2, 3, 4, 5, 6, 7, 8 });
const Address kCaller{ 0x7f000001, 40000 };

struct TableCase
{
  TableKind mKind;
  const char* mName;
  size_t mBatches;
  /// Rendezvous hashing scans all backends per key, and its shares follow the
  /// weights by construction, so its peak load isn't sampled.
  bool mSamplePeak;
};

constexpr std::array<TableCase, 2> kTableCases{ {
  { TableKind::Maglev, "maglev", kFastBatches, true },
  { TableKind::Rendezvous, "rendezvous", kSlowBatches, false },
} };

// A datagram and the service address to which it was sent.
struct Arrival
{
  Address mService;
  std::array<uint8_t, kDatagramSize> mBytes{};
};

std::vector<Backend>
MakeBackends(size_t aCount, uint32_t aFirst = 0)
{
  std::vector<Backend> backends(aCount);
  for (size_t i = 0; i < aCount; ++i) {
    const auto number = static_cast<uint32_t>(aFirst + i);
    backends[i].mAgent = { 0x0a000001 + number, 7000 };
    backends[i].mDomain = DomainId(static_cast<uint8_t>(1 + i % 5));
  }
  return backends;
}

ServiceView
MakeService(size_t aNumber, std::vector<Backend> aBackends)
{
  const auto number = static_cast<uint16_t>(aNumber + 1);
  return { ServiceId(number),
           { 0x7f010000U + number, 443 },
           std::move(aBackends) };
}

// One service for each element of aCounts, with that number of backends.
std::vector<ServiceView>
MakeFleet(const std::vector<size_t>& aCounts)
{
  std::vector<ServiceView> services;
  uint32_t first = 0;
  for (size_t count : aCounts) {
    services.push_back(
      MakeService(services.size(), MakeBackends(count, first)));
    first += static_cast<uint32_t>(count);
  }
  return services;
}

auto
Build(const std::vector<ServiceView>& aServices,
      TableKind aKind,
      const RoutingSnapshot* aPrevious = nullptr)
{
  return RoutingSnapshot::Build(Generation(1), aServices, {}, aPrevious, aKind);
}

void
FillRandom(std::span<uint8_t> aBytes, Random& aRandom)
{
  for (uint8_t& byte : aBytes) {
    byte = static_cast<uint8_t>(aRandom.Below(256));
  }
}

// Packet with a short header and a connection ID issued by a random backend of
// a random service.
Arrival
MakeEstablished(const std::vector<ServiceView>& aServices, Random& aRandom)
{
  const auto& service = aServices[aRandom.Below(aServices.size())];
  const auto& backend =
    service.mEligible[aRandom.Below(service.mEligible.size())];
  Arrival arrival{ service.mAddress };
  FillRandom(arrival.mBytes, aRandom);
  const auto id = EncodeRouteId(
    { service.mId, backend.mDomain, backend.mAgent, backend.mIncarnation, 0 },
    kKeys);
  arrival.mBytes[0] = 0x40;
  std::copy(id.begin(), id.end(), arrival.mBytes.begin() + 1);
  return arrival;
}

// QUIC version 1 Initial with a random 20-byte connection ID. This is the most
// expensive case: the ID has the length and the first byte of an issued one, so
// its authentication tag is verified, which doesn't match.
Arrival
MakeInitial(const std::vector<ServiceView>& aServices, Random& aRandom)
{
  Arrival arrival{ aServices[aRandom.Below(aServices.size())].mAddress };
  FillRandom(arrival.mBytes, aRandom);
  constexpr std::array<uint8_t, 7> kStart{ 0xc0, 0, 0, 0, 1, 20, 0x10 };
  std::copy(kStart.begin(), kStart.end(), arrival.mBytes.begin());
  return arrival;
}

using MakeArrival = Arrival (*)(const std::vector<ServiceView>&, Random&);

Quantiles
TimeDecisions(const RoutingSnapshot& aSnapshot,
              const std::vector<ServiceView>& aServices,
              MakeArrival aMake,
              size_t aBatches)
{
  Random random(kSeed);
  std::vector<Arrival> arrivals;
  for (size_t i = 0; i < kDatagrams; ++i) {
    arrivals.push_back(aMake(aServices, random));
  }
  EntryRouter router(kKeys);
  size_t candidates = 0;
  const auto quantiles = TimeBatches(aBatches, kBatchSize, [&](size_t aIndex) {
    const Arrival& arrival = arrivals[aIndex % kDatagrams];
    const auto decision =
      router.Route(aSnapshot, arrival.mService, kCaller, arrival.mBytes);
    candidates += decision.mCandidates.Size();
  });
  // If packets were dropped, the wrong path would be measured.
  if (router.Count(DropReason::None) > candidates) {
    std::terminate();
  }
  return quantiles;
}

struct Traffic
{
  const char* mName;
  MakeArrival mMake;
  bool mWithPrevious;
};

constexpr std::array<Traffic, 3> kTraffic{ {
  { "established", MakeEstablished, false },
  { "first", MakeInitial, false },
  { "first, two tables", MakeInitial, true },
} };

void
MeasureDecisions(Report& aReport)
{
  aReport.StartTable("decision",
                     { "table", "endpoints", "packet", "median ns", "p99 ns" });
  for (const TableCase& tableCase : kTableCases) {
    for (size_t size : kEndpointCounts) {
      const std::vector services{ MakeService(0, MakeBackends(size)) };
      const std::vector before{ MakeService(0, MakeBackends(size - 1)) };
      const auto withoutPrevious = Build(services, tableCase.mKind);
      const auto withPrevious =
        Build(services, tableCase.mKind, Build(before, tableCase.mKind).get());
      for (const Traffic& traffic : kTraffic) {
        const auto& snapshot =
          traffic.mWithPrevious ? withPrevious : withoutPrevious;
        const auto time =
          TimeDecisions(*snapshot, services, traffic.mMake, tableCase.mBatches);
        aReport.AddRow({ tableCase.mName,
                         static_cast<double>(size),
                         traffic.mName,
                         time.mMedian,
                         time.mP99 });
      }
    }
  }
}

void
MeasureRebuilds(Report& aReport)
{
  aReport.StartTable(
    "rebuild", { "table", "endpoints", "median ms", "memory KB", "peak load" });
  for (const TableCase& tableCase : kTableCases) {
    for (size_t size : kEndpointCounts) {
      const auto backends = MakeBackends(size);
      const auto time = TimeBatches(
        kRebuilds, 1, [&](size_t) { BuildTable(tableCase.mKind, backends); });
      const auto table = BuildTable(tableCase.mKind, backends);
      aReport.AddRow({ tableCase.mName,
                       static_cast<double>(size),
                       time.mMedian / kNsPerMs,
                       static_cast<double>(table->MemoryBytes()) / 1024,
                       tableCase.mSamplePeak
                         ? Cell(PeakLoad(tableCase.mKind, backends))
                         : Cell("-") });
    }
  }
}

void
AddMoves(Report& aReport, const TableCase& aCase, size_t aFrom, size_t aTo)
{
  // The backend in the middle of the larger list is added or removed.
  auto larger = MakeBackends(std::max(aFrom, aTo));
  auto smaller = larger;
  smaller.erase(smaller.begin() +
                static_cast<std::ptrdiff_t>(smaller.size() / 2));
  const bool adds = aFrom < aTo;
  const auto moves = CompareTables(
    aCase.mKind, adds ? smaller : larger, adds ? larger : smaller);
  aReport.AddRow({ aCase.mName,
                   static_cast<double>(aFrom),
                   adds ? "add" : "remove",
                   kPercent / static_cast<double>(larger.size()),
                   kPercent * moves.mMoved,
                   kPercent * moves.mNeedless,
                   kPercent * moves.mLeftPair });
}

void
MeasureMoves(Report& aReport)
{
  aReport.StartTable("moved keys",
                     { "table",
                       "endpoints",
                       "change",
                       "least %",
                       "moved %",
                       "needless %",
                       "left the pair %" });
  for (const TableCase& tableCase : kTableCases) {
    for (size_t size : kEndpointCounts) {
      AddMoves(aReport, tableCase, size, size + 1);
      AddMoves(aReport, tableCase, size, size - 1);
    }
    for (size_t size : kStepSizes) {
      AddMoves(aReport, tableCase, size, size + 1);
    }
  }
}

struct Split
{
  const char* mName;
  std::vector<size_t> mCounts;
};

// Splits of 3,500 endpoints over 970 services: an even one, and the costliest
// one for Maglev tables. In the latter, as many services as possible have one
// backend more than the smallest table size allows, so that they need the next
// larger table.
std::vector<Split>
MakeSplits()
{
  std::vector<size_t> even(kServices, kEndpoints / kServices);
  for (size_t i = 0; i < kEndpoints % kServices; ++i) {
    ++even[i];
  }
  const size_t large = kStepSizes[0] + 1;
  std::vector<size_t> costly(kServices, 1);
  size_t left = kEndpoints - kServices;
  for (size_t i = 0; left >= large - 1; ++i, left -= large - 1) {
    costly[i] = large;
  }
  return { { "even", even }, { "costliest", costly } };
}

void
MeasureSplit(Report& aReport, const TableCase& aCase, const Split& aSplit)
{
  const auto services = MakeFleet(aSplit.mCounts);
  const auto snapshot = Build(services, aCase.mKind);
  const auto full =
    TimeBatches(kRebuilds, 1, [&](size_t) { Build(services, aCase.mKind); });
  auto changed = services;
  changed[0].mEligible.pop_back();
  const auto oneChange = TimeBatches(
    kRebuilds, 1, [&](size_t) { Build(changed, aCase.mKind, snapshot.get()); });
  // With a changed weight, every service has a previous table of the same size.
  auto weighted = services;
  for (ServiceView& service : weighted) {
    service.mEligible[0].mWeight = 2;
  }
  const auto withPrevious = Build(weighted, aCase.mKind, snapshot.get());
  const auto established =
    TimeDecisions(*snapshot, services, MakeEstablished, aCase.mBatches);
  const auto first =
    TimeDecisions(*withPrevious, services, MakeInitial, aCase.mBatches);
  aReport.AddRow({ aCase.mName,
                   aSplit.mName,
                   full.mMedian / kNsPerMs,
                   oneChange.mMedian / kNsPerMs,
                   static_cast<double>(snapshot->MemoryBytes()) / (1 << 20),
                   static_cast<double>(withPrevious->MemoryBytes()) / (1 << 20),
                   established.mMedian,
                   established.mP99,
                   first.mMedian,
                   first.mP99 });
}

void
MeasureFleet(Report& aReport)
{
  aReport.StartTable("970 services, 3500 endpoints",
                     { "table",
                       "split",
                       "build ms",
                       "one change ms",
                       "memory MB",
                       "with previous MB",
                       "established ns",
                       "p99 ns",
                       "first, two tables ns",
                       "its p99 ns" });
  for (const TableCase& tableCase : kTableCases) {
    for (const Split& split : MakeSplits()) {
      MeasureSplit(aReport, tableCase, split);
    }
  }
}

} // namespace

void
RunRouting(Report& aReport)
{
  MeasureDecisions(aReport);
  MeasureRebuilds(aReport);
  MeasureMoves(aReport);
  MeasureFleet(aReport);
}

} // namespace snipepost::bench
