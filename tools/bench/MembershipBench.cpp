#include "tools/bench/Modes.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <malloc.h>
#include <map>
#include <memory>
#include <numeric>
#include <span>
#include <string>

#include <snipepost/Membership/Codec.h>
#include <snipepost/Membership/ViewController.h>

#include "tools/bench/FleetScenario.h"
#include "tools/bench/Timing.h"

namespace snipepost::bench {

namespace {

void
AddStoreRow(Report& aReport,
            const Scenario& aScenario,
            const char* aPhase,
            Cell aComplete,
            Cell aLeases)
{
  aReport.AddRow({ static_cast<double>(aScenario.mEntries),
                   static_cast<double>(aScenario.mAgents),
                   aPhase,
                   static_cast<double>(aScenario.mPeakReads),
                   static_cast<double>(aScenario.mPeakWrites),
                   std::move(aComplete),
                   std::move(aLeases) });
}

void
AddTrafficRows(Report& aReport, const Scenario& aScenario, Duration aTime)
{
  for (const bool entry : { true, false }) {
    const RoleMeter& role = aScenario.mMeter.Role(entry);
    const auto instances =
      static_cast<double>(entry ? aScenario.mEntries : aScenario.mAgents);
    const double instanceSeconds = instances * Seconds(aTime);
    const char* name = entry ? "entry" : "agent";
    const auto entries = static_cast<double>(aScenario.mEntries);
    double bytes = 0;
    for (size_t i = 0; i < kMessageKindNames.size(); ++i) {
      bytes += role.mBytes[i];
      if (role.mMessages[i] > 0) {
        aReport.AddRow({ entries,
                         name,
                         kMessageKindNames[i],
                         role.mMessages[i] / instanceSeconds,
                         role.mBytes[i] / instanceSeconds,
                         "-",
                         "-" });
      }
    }
    constexpr double kPercent = 100;
    aReport.AddRow({ entries,
                     name,
                     "all",
                     "-",
                     bytes / instanceSeconds,
                     kPercent * Seconds(role.mCoreCpu) / instanceSeconds,
                     kPercent * Seconds(role.mCodecCpu) / instanceSeconds });
  }
}

struct PropagationCase
{
  const char* mName;
  bool mStoreFails; ///< The store fails once one instance has the document.
  bool mCut;        ///< One region is cut off from the other and the store.
};

constexpr std::array<PropagationCase, 3> kPropagationCases{ {
  { "store up", false, false },
  { "store down after the first reader", true, false },
  { "one region cut off", false, true },
} };

void
MeasurePropagation(Report& aReport,
                   Scenario& aScenario,
                   const PropagationCase& aCase)
{
  Fleet& fleet = aScenario.mFleet;
  const auto anyInstance = [](const Address&) { return true; };
  const auto reachable = [&](const Address& aAddress) {
    return !aCase.mCut || RegionOf(aAddress) == 0;
  };
  if (aCase.mCut) {
    fleet.mCut = [](const Address& aFrom, const Address& aTo) {
      return RegionOf(aFrom) != RegionOf(aTo);
    };
    fleet.mStoreCut = [](const Address& aAddress) {
      return RegionOf(aAddress) != 0;
    };
    aScenario.Run(aScenario.SettleTime(), [] { return false; });
  }
  aScenario.mMeter.Clear();
  const size_t expected = std::ranges::count_if(
    fleet.Cores(), [&](const auto& aCore) { return reachable(aCore.first); });
  aScenario.SubmitDocument();
  Duration elapsed{};
  if (aCase.mStoreFails) {
    elapsed += aScenario.Run(
      60s, [&] { return aScenario.InstancesWithDocument(anyInstance) > 0; });
    fleet.mStore.mDown = true;
  }
  size_t withDocument = 0;
  elapsed += aScenario.Run(60s, [&] {
    withDocument = aScenario.InstancesWithDocument(reachable);
    return withDocument >= expected;
  });
  double pulls = 0;
  for (const bool entry : { true, false }) {
    pulls += aScenario.mMeter.Role(entry)
               .mMessages[static_cast<size_t>(MessageKind::Pull)];
  }
  Cell afterCut = "-";
  if (aCase.mCut) {
    fleet.mCut = [](const Address&, const Address&) { return false; };
    fleet.mStoreCut = [](const Address&) { return false; };
    afterCut = Seconds(aScenario.Run(120s, [&] {
      return aScenario.InstancesWithDocument(anyInstance) ==
             fleet.Cores().size();
    }));
  }
  fleet.mStore.mDown = false;
  // Each pull is counted at both ends.
  aReport.AddRow({ static_cast<double>(aScenario.mEntries),
                   static_cast<double>(aScenario.mAgents),
                   aCase.mName,
                   Seconds(elapsed),
                   elapsed <= kDistributionLimit ? "yes" : "no",
                   pulls / 2 / static_cast<double>(expected),
                   afterCut });
  aScenario.Run(aScenario.SettleTime(), [] { return false; });
}

/// Measures the time until every entry instance has detected that an agent was
/// killed, that its next incarnation responds, and, while the store is down,
/// that its state changed.
void
MeasureDetection(Report& aReport, Scenario& aScenario)
{
  constexpr size_t kTrials = 20;
  constexpr Duration kLimit = 60s;
  // Not a multiple of the probe and exchange intervals, so that the faults
  // occur at different phases of them.
  constexpr Duration kPause = 10s + 130ms;
  Fleet& fleet = aScenario.mFleet;
  const auto everyEntry =
    [&](const std::function<bool(const Blackboard&)>& aCondition) {
      return [&fleet, aCondition] {
        return std::ranges::all_of(fleet.Cores(), [&](const auto& aCore) {
          return !IsEntry(aCore.first) || aCondition(aCore.second->Board());
        });
      };
    };
  std::vector<double> killed;
  std::vector<double> returned;
  std::vector<double> changed;
  for (size_t trial = 0; trial < kTrials; ++trial) {
    const size_t index = kFirstAgent + trial;
    const Address agent = Fleet::At(index);
    // A killed agent is suspected first, and removed when its lease expires.
    // Either means that the entry instance has detected the fault.
    const auto isTrusted = [&](const Blackboard& aBoard) {
      return aBoard.mMembers.contains(agent) &&
             !aBoard.mSuspects.contains(agent);
    };
    const auto isNotTrusted = [&](const Blackboard& aBoard) {
      return !isTrusted(aBoard);
    };
    const auto isDraining = [&](const Blackboard& aBoard) {
      const auto member = aBoard.mMembers.find(agent);
      return member != aBoard.mMembers.end() &&
             member->second.mRecord.mState == InstanceState::Draining;
    };
    fleet.Run(kPause);
    fleet.Kill(index);
    killed.push_back(Seconds(fleet.RunUntil(kLimit, everyEntry(isNotTrusted))));
    fleet.Start(index, InstanceRole::Agent, trial + 2);
    returned.push_back(Seconds(fleet.RunUntil(kLimit, everyEntry(isTrusted))));
    fleet.Run(kPause);
    fleet.mStore.mDown = true;
    fleet.Core(index).SetState(InstanceState::Draining);
    changed.push_back(Seconds(fleet.RunUntil(kLimit, everyEntry(isDraining))));
    fleet.mStore.mDown = false;
  }
  const auto add = [&](const char* aName, const std::vector<double>& aTimes) {
    aReport.AddRow({ static_cast<double>(aScenario.mEntries),
                     aName,
                     std::accumulate(aTimes.begin(), aTimes.end(), 0.0) /
                       static_cast<double>(aTimes.size()),
                     QuantilesOf(aTimes).mMedian,
                     std::ranges::max(aTimes) });
  };
  add("agent killed: suspected", killed);
  add("agent back: trusted", returned);
  add("agent draining, store down: known", changed);
}

InstanceRecord
MakeRecord(size_t aIndex, bool aEntry)
{
  InstanceRecord record;
  record.mRole = aEntry ? InstanceRole::Entry : InstanceRole::Agent;
  record.mAddress = Fleet::At(aEntry ? aIndex : kFirstAgent + aIndex);
  record.mRegion = RegionOf(record.mAddress);
  record.mService = ServiceId(aEntry ? 0 : 1);
  record.mState = InstanceState::Ready;
  record.mVersion = { Incarnation(1764826000 + aIndex), 0 };
  return record;
}

/// Measures the costs of one core that has the records of a whole fleet.
void
MeasureCore(Report& aReport, size_t aEntries)
{
  constexpr double kNsPerUs = 1e3;
  const size_t agents = AgentsFor(aEntries);
  const size_t members = aEntries + agents;
  ExchangeMessage message;
  message.mFrom = Fleet::At(1);
  for (size_t i = 0; i < members; ++i) {
    const bool entry = i < aEntries;
    message.mRecords.push_back(MakeRecord(entry ? i : i - aEntries, entry));
  }
  const InstanceRecord own = message.mRecords.front();
  Instant now(1000s);
  MembershipOptions options;
  options.mDeployment = "test";
  MembershipCore core(options, own, fake::ParseDocumentVersion, kSeed);
  const size_t before = mallinfo2().uordblks;
  core.ReplyToExchange(message, now);
  const size_t after = mallinfo2().uordblks;
  // In these ticks the core sends the new records on, so that the ticks timed
  // afterwards are idle.
  for (size_t i = 0; i < 200; ++i) {
    core.Handle(ClockTick{}, now += kTick);
  }
  const auto idle = TimeBatches(
    30, 10, [&](size_t) { core.Handle(ClockTick{}, now += kTick); });
  uint32_t sequence = 0;
  std::vector<double> changes;
  for (int i = 0; i < 15; ++i) {
    ExchangeMessage change;
    change.mFrom = message.mFrom;
    change.mRecords = { message.mRecords.back() };
    change.mRecords.front().mVersion.mSequence = ++sequence;
    core.ReplyToExchange(change, now);
    changes.push_back(TimeNs([&] { core.Handle(ClockTick{}, now += kTick); }));
  }
  const auto digests =
    TimeBatches(15, 1, [&](size_t) { BucketDigests(core.Board()); });
  const auto record = TimeBatches(100, 10, [&](size_t aIndex) {
    WriteRecord(message.mRecords[aIndex % 10]);
  });
  message.mRecords.resize(std::min<size_t>(64, members));
  std::string text;
  const auto write =
    TimeBatches(30, 1, [&](size_t) { text = WriteExchange(message); });
  const auto read = TimeBatches(30, 1, [&](size_t) { ParseExchange(text); });
  aReport.AddRow(
    { static_cast<double>(aEntries),
      static_cast<double>(members),
      static_cast<double>(after - before) / static_cast<double>(members),
      idle.mMedian / kNsPerUs,
      QuantilesOf(changes).mMedian / kNsPerUs,
      digests.mMedian / kNsPerUs,
      record.mMedian / kNsPerUs,
      static_cast<double>(text.size()),
      write.mMedian / kNsPerUs,
      read.mMedian / kNsPerUs });
}

struct Tables
{
  Report mStore;
  Report mTraffic;
  Report mPropagation;
  Report mDetection;
};

/// What a run measures.
enum class Extent : uint8_t
{
  /// Only the start and the steady traffic, because fault detection, document
  /// propagation and outages take most of the time of a large run.
  Settled,
  Full,
};

void
MeasureFleet(size_t aEntries, Extent aExtent, Tables& aTables)
{
  Scenario scenario(aEntries);
  const auto never = [] { return false; };
  const Duration complete =
    scenario.Run(300s, [&] { return scenario.ViewsComplete(); });
  const uint64_t peakReads = scenario.mPeakReads;
  const uint64_t peakWrites = scenario.mPeakWrites;
  const Duration leases =
    complete + scenario.Run(300s, [&] { return scenario.AllMayAct(); });
  scenario.mPeakReads = std::max(peakReads, scenario.mPeakReads);
  scenario.mPeakWrites = std::max(peakWrites, scenario.mPeakWrites);
  AddStoreRow(aTables.mStore,
              scenario,
              "start of everything",
              Seconds(complete),
              Seconds(leases));
  const Duration settleTime =
    aExtent == Extent::Settled ? kSettleTime : scenario.SettleTime();
  scenario.Run(settleTime, never);

  const Duration steady = settleTime / 2;
  scenario.mMeter.Clear();
  scenario.mMeter.mCountExchanges = true;
  scenario.Run(steady, never);
  scenario.mMeter.mCountExchanges = false;
  AddStoreRow(aTables.mStore, scenario, "steady", "-", "-");
  AddTrafficRows(aTables.mTraffic, scenario, steady);
  if (aExtent == Extent::Settled) {
    return;
  }

  MeasureDetection(aTables.mDetection, scenario);
  for (const PropagationCase& propagation : kPropagationCases) {
    MeasurePropagation(aTables.mPropagation, scenario, propagation);
  }

  scenario.mFleet.mStore.mDown = true;
  scenario.Run(2 * scenario.SettleTime(), never);
  scenario.mFleet.mStore.mDown = false;
  scenario.Run(scenario.SettleTime(), never);
  AddStoreRow(aTables.mStore, scenario, "after an outage", "-", "-");
}

} // namespace

void
RunMembership(Report& aReport)
{
  aReport.StartTable("one core",
                     { "entries",
                       "members",
                       "bytes/record",
                       "idle tick us",
                       "tick after a change us",
                       "bucket digests us",
                       "record JSON us",
                       "64 records bytes",
                       "write us",
                       "read us" });
  for (size_t entries : kCoreFleetSizes) {
    MeasureCore(aReport, entries);
  }
}

namespace {

void
MeasureFleets(Report& aReport,
              std::span<const size_t> aSizes,
              Extent aExtent = Extent::Full)
{
  Tables tables;
  tables.mStore.StartTable("store, attempted calls",
                           { "entries",
                             "agents",
                             "phase",
                             "most reads/s",
                             "most writes/s",
                             "views complete s",
                             "leases s" });
  tables.mTraffic.StartTable("steady traffic of a node, sent and received",
                             { "entries",
                               "role",
                               "kind",
                               "messages/s",
                               "bytes/s",
                               "core cpu %",
                               "codec cpu %" });
  tables.mPropagation.StartTable("document",
                                 { "entries",
                                   "agents",
                                   "case",
                                   "in force s",
                                   "within 9 s",
                                   "pulls/node",
                                   "after the cut s" });
  tables.mDetection.StartTable(
    "seconds until every entry instance knows, 20 trials",
    { "entries", "change", "mean", "median", "most" });
  for (size_t entries : aSizes) {
    MeasureFleet(entries, aExtent, tables);
  }
  aReport.Append(std::move(tables.mStore));
  aReport.Append(std::move(tables.mTraffic));
  if (aExtent == Extent::Full) {
    aReport.Append(std::move(tables.mPropagation));
    aReport.Append(std::move(tables.mDetection));
  }
}

} // namespace

void
RunFleet(Report& aReport)
{
  MeasureFleets(aReport, kFleetSizes);
}

void
RunSmallFleet(Report& aReport)
{
  MeasureFleets(aReport, kSmallFleetSizes);
}

void
RunSettledFleet(Report& aReport)
{
  MeasureFleets(aReport, kSettledFleetSizes, Extent::Settled);
}

void
RunSettledLargeFleet(Report& aReport)
{
  MeasureFleets(aReport, kLargeFleetSizes, Extent::Settled);
}

void
RunLargeFleet(Report& aReport)
{
  MeasureFleets(aReport, kLargeFleetSizes);
}

} // namespace snipepost::bench
