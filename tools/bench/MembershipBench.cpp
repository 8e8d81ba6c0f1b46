#include "tools/bench/Modes.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <malloc.h>
#include <map>
#include <memory>
#include <span>
#include <string>

#include <snipepost/Membership/Codec.h>
#include <snipepost/Membership/ViewController.h>

#include "tests/Membership/FakeFleet.h"

#include "tools/bench/Timing.h"

namespace snipepost::bench {

namespace {

using namespace std::chrono_literals;
using fake::Fleet;

constexpr uint64_t kSeed = 8104;
constexpr size_t kFirstAgent = 1000;
// The proportion of the two-year size.
constexpr size_t kFullEntries = 510;
constexpr size_t kFullAgents = 3500;
constexpr std::array<size_t, 4> kSizes{ 10, 50, 200, kFullEntries };
constexpr std::array<size_t, 5> kFleetSizes{ 10, 25, 50, 100, 200 };
constexpr std::array<size_t, 1> kLargeFleetSizes{ kFullEntries };
// Time for the fleet to settle after a start, a cut or an outage, and length of
// an outage. Shorter for large fleets, where a second takes seconds.
constexpr Duration kSettle = 60s;
constexpr Duration kLargeSettle = 10s;
// The platform's limits at the two-year size: "several hundred" writes.
constexpr uint64_t kReadsPerSecond = 2000;
constexpr uint64_t kWritesPerSecond = 300;
constexpr Duration kTick = 50ms; // As in ControlPlane.
constexpr Duration kInForce = 9s;

// Estimated bytes around what is encoded here. A probe: the packet header and
// 28 bytes of UDP and IPv4. An HTTP/2 call: HEADERS and DATA frames both ways
// with the tag, and TCP/IPv4 headers of two segments and their
// acknowledgements. A connection: TCP handshake and end, preface, SETTINGS; an
// entry instance picks a random peer, so connections to one are rarely reused.
constexpr double kProbeBytes = 37 + 28;
constexpr double kCallBytes = 276;
constexpr double kConnectionBytes = 420;

enum class Kind : uint8_t
{
  Probe,
  Exchange,
  Pull,
  StoreRead,
  StoreWrite,
  StoreList,
  StoreWatch,
};
constexpr std::array<const char*, 7> kKindNames{
  "probe and reply", "exchange",   "document pull", "store read",
  "store write",     "store list", "store watch"
};

Duration
ThreadCpu()
{
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::nanoseconds(now.tv_nsec);
}

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

size_t
AgentsFor(size_t aEntries)
{
  return aEntries * kFullAgents / kFullEntries;
}

bool
IsEntry(const Address& aAddress)
{
  return aAddress < Fleet::At(kFirstAgent);
}

/// Half of the fleet, as regions.
uint8_t
RegionOf(const Address& aAddress)
{
  return aAddress.mPort % 2;
}

/// Traffic of one role: what all its instances sent and received.
struct RoleMeter
{
  std::array<double, kKindNames.size()> mMessages{};
  std::array<double, kKindNames.size()> mBytes{};
  Duration mCore{};
  Duration mCodec{};
  double mEvents = 0;
};

/// Counts the messages of a fleet, with bytes as encoded on the wire.
class Meter
{
public:
  explicit Meter(Fleet& aFleet)
  {
    aFleet.mClock = ThreadCpu;
    aFleet.mOnHandled = [this](const Address& aTo,
                               const MembershipEvent* aEvent,
                               Duration aStart) {
      RoleMeter& role = Of(aTo);
      role.mCore += ThreadCpu() - aStart;
      ++role.mEvents;
      if (aEvent) {
        CountAnswer(aTo, *aEvent);
      }
    };
    aFleet.mOnEffect = [this](const Address& aFrom,
                              const MembershipEffect& aEffect) {
      CountEffect(aFrom, aEffect);
    };
    aFleet.mOnMessage = [this](const Address& aFrom,
                               const Address& aTo,
                               const ExchangeMessage& aMessage) {
      CountExchange(aFrom, aTo, aMessage);
    };
  }

  void Clear() { mRoles = {}; }
  /// Encoding all messages of a start takes longer than the start.
  bool mEncode = false;

  const RoleMeter& Role(bool aEntry) const { return mRoles[aEntry ? 0 : 1]; }

private:
  RoleMeter& Of(const Address& aAddress)
  {
    return mRoles[IsEntry(aAddress) ? 0 : 1];
  }

  void Count(const Address& aWho, Kind aKind, double aBytes)
  {
    RoleMeter& role = Of(aWho);
    ++role.mMessages[static_cast<size_t>(aKind)];
    role.mBytes[static_cast<size_t>(aKind)] += aBytes;
  }

  void CountEffect(const Address& aFrom, const MembershipEffect& aEffect)
  {
    if (const auto* probe = std::get_if<SendProbe>(&aEffect)) {
      Count(aFrom, Kind::Probe, 2 * kProbeBytes);
      Count(probe->mTarget, Kind::Probe, 2 * kProbeBytes);
    } else if (const auto* pull = std::get_if<PullDocument>(&aEffect)) {
      Count(aFrom, Kind::Pull, kCallBytes);
      Count(pull->mFrom, Kind::Pull, kCallBytes);
    } else if (std::holds_alternative<StoreRead>(aEffect)) {
      Count(aFrom, Kind::StoreRead, kCallBytes);
    } else if (const auto* write = std::get_if<StoreWrite>(&aEffect)) {
      const size_t size = write->mKey.size() + write->mValue.size();
      Count(aFrom, Kind::StoreWrite, kCallBytes + static_cast<double>(size));
    }
  }

  void CountAnswer(const Address& aTo, const MembershipEvent& aEvent)
  {
    const auto* list = std::get_if<StoreListEnded>(&aEvent);
    if (!list) {
      return;
    }
    double bytes = kCallBytes;
    // {"key":"","version":1234567,"value":""} around each object.
    constexpr size_t kObjectBytes = 40;
    for (const StoredObject& object : list->mObjects) {
      bytes += static_cast<double>(object.mKey.size() + object.mValue.size() +
                                   kObjectBytes);
    }
    Count(aTo, list->mComplete ? Kind::StoreList : Kind::StoreWatch, bytes);
  }

  void CountExchange(const Address& aFrom,
                     const Address& aTo,
                     const ExchangeMessage& aMessage)
  {
    if (!mEncode) {
      return;
    }
    const Duration start = ThreadCpu();
    const std::string text = WriteExchange(aMessage);
    const Duration written = ThreadCpu();
    const auto parsed = ParseExchange(text);
    const Duration read = ThreadCpu();
    Of(aFrom).mCodec += written - start;
    Of(aTo).mCodec += read - written;
    // Half of a call each for message and answer.
    double bytes = static_cast<double>(text.size()) + kCallBytes / 2;
    if (IsEntry(aFrom) && IsEntry(aTo)) {
      bytes += kConnectionBytes / 2;
    }
    Count(aFrom, Kind::Exchange, bytes);
    Count(aTo, Kind::Exchange, bytes);
  }

  std::array<RoleMeter, 2> mRoles;
};

/// A fleet of entry instances and agents in two regions, with a store that
/// refuses calls above its rates.
class Scenario
{
public:
  explicit Scenario(size_t aEntries)
    : mFleet(kSeed)
    , mMeter(mFleet)
    , mEntries(aEntries)
    , mAgents(AgentsFor(aEntries))
  {
    mFleet.mStep = kTick;
    mFleet.mRegionOf = RegionOf;
    mFleet.mOptions.mSeeds = { Fleet::At(0), Fleet::At(1) };
    for (size_t i = 0; i < mEntries; ++i) {
      mFleet.Start(i, InstanceRole::Entry);
    }
    for (size_t i = 0; i < mAgents; ++i) {
      mFleet.Start(kFirstAgent + i, InstanceRole::Agent);
    }
    Submit();
  }

  /// Runs in steps of a second under the store's limits and notes the greatest
  /// attempted rates.
  Duration Run(Duration aLimit, const std::function<bool()>& aDone)
  {
    mMostReads = 0;
    mMostWrites = 0;
    Duration passed{};
    while (passed < aLimit && !aDone()) {
      mFleet.mStore.mReadsLeft = kReadsPerSecond;
      mFleet.mStore.mWritesLeft = kWritesPerSecond;
      const uint64_t reads = mFleet.mStore.mReads;
      const uint64_t writes = mFleet.mStore.mWrites;
      passed += mFleet.RunUntil(1s, aDone);
      mMostReads = std::max(mMostReads, mFleet.mStore.mReads - reads);
      mMostWrites = std::max(mMostWrites, mFleet.mStore.mWrites - writes);
    }
    return passed;
  }

  Duration Settle() const
  {
    return mEntries < kFullEntries ? kSettle : kLargeSettle;
  }

  void Submit()
  {
    auto& store = mFleet.mStore;
    const std::string key = "deployments/test";
    const std::string text = std::to_string(++mGeneration) + "/s";
    store.mObjects[key] = { key, ObjectVersion(++store.mRevision), text };
  }

  bool Complete()
  {
    return std::ranges::all_of(mFleet.Cores(), [&](const auto& aCore) {
      const Blackboard& board = aCore.second->Board();
      return !IsEntry(aCore.first) ||
             board.mMembers.size() == mEntries + mAgents;
    });
  }

  bool AllMayAct()
  {
    return std::ranges::all_of(mFleet.Cores(), [&](const auto& aCore) {
      return aCore.second->MayAct(mFleet.Now());
    });
  }

  size_t Holders(const std::function<bool(const Address&)>& aWhere)
  {
    size_t count = 0;
    for (const auto& [address, core] : mFleet.Cores()) {
      const auto generation =
        core->Board().mDocument.mVersion.mGeneration.Value();
      count += generation == mGeneration && aWhere(address) ? 1 : 0;
    }
    return count;
  }

  Fleet mFleet;
  Meter mMeter;
  size_t mEntries;
  size_t mAgents;
  uint64_t mGeneration = 0;
  uint64_t mMostReads = 0;
  uint64_t mMostWrites = 0;
};

void
AddStore(Report& aReport,
         const Scenario& aScenario,
         const char* aPhase,
         Cell aComplete,
         Cell aLeases)
{
  aReport.AddRow({ static_cast<double>(aScenario.mEntries),
                   static_cast<double>(aScenario.mAgents),
                   aPhase,
                   static_cast<double>(aScenario.mMostReads),
                   static_cast<double>(aScenario.mMostWrites),
                   std::move(aComplete),
                   std::move(aLeases) });
}

void
AddTraffic(Report& aReport, const Scenario& aScenario, Duration aTime)
{
  for (const bool entry : { true, false }) {
    const RoleMeter& role = aScenario.mMeter.Role(entry);
    const auto nodes =
      static_cast<double>(entry ? aScenario.mEntries : aScenario.mAgents);
    const double per = nodes * Seconds(aTime);
    const char* name = entry ? "entry" : "agent";
    const auto size = static_cast<double>(aScenario.mEntries);
    double bytes = 0;
    for (size_t i = 0; i < kKindNames.size(); ++i) {
      bytes += role.mBytes[i];
      if (role.mMessages[i] > 0) {
        aReport.AddRow({ size,
                         name,
                         kKindNames[i],
                         role.mMessages[i] / per,
                         role.mBytes[i] / per,
                         "-",
                         "-" });
      }
    }
    constexpr double kPercent = 100;
    aReport.AddRow({ size,
                     name,
                     "all",
                     "-",
                     bytes / per,
                     kPercent * Seconds(role.mCore) / per,
                     kPercent * Seconds(role.mCodec) / per });
  }
}

struct Spread
{
  const char* mName;
  bool mStoreFails; ///< As soon as one instance holds the document.
  bool mCut;        ///< One region is cut off from the other and the store.
};

constexpr std::array<Spread, 3> kSpreads{ {
  { "store up", false, false },
  { "store down after the first reader", true, false },
  { "one region cut off", false, true },
} };

void
MeasureSpread(Report& aReport, Scenario& aScenario, const Spread& aSpread)
{
  Fleet& fleet = aScenario.mFleet;
  const auto everywhere = [](const Address&) { return true; };
  const auto reached = [&](const Address& aAddress) {
    return !aSpread.mCut || RegionOf(aAddress) == 0;
  };
  if (aSpread.mCut) {
    fleet.mCut = [](const Address& aFrom, const Address& aTo) {
      return RegionOf(aFrom) != RegionOf(aTo);
    };
    fleet.mStoreCut = [](const Address& aAddress) {
      return RegionOf(aAddress) != 0;
    };
    aScenario.Run(aScenario.Settle(), [] { return false; });
  }
  aScenario.mMeter.Clear();
  const size_t all = std::ranges::count_if(
    fleet.Cores(), [&](const auto& aCore) { return reached(aCore.first); });
  aScenario.Submit();
  Duration taken{};
  if (aSpread.mStoreFails) {
    taken +=
      aScenario.Run(60s, [&] { return aScenario.Holders(everywhere) > 0; });
    fleet.mStore.mDown = true;
  }
  size_t most = 0;
  taken += aScenario.Run(60s, [&] {
    most = aScenario.Holders(reached);
    return most >= all;
  });
  double pulls = 0;
  for (const bool entry : { true, false }) {
    pulls +=
      aScenario.mMeter.Role(entry).mMessages[static_cast<size_t>(Kind::Pull)];
  }
  Cell after = "-";
  if (aSpread.mCut) {
    fleet.mCut = [](const Address&, const Address&) { return false; };
    fleet.mStoreCut = [](const Address&) { return false; };
    after = Seconds(aScenario.Run(120s, [&] {
      return aScenario.Holders(everywhere) == fleet.Cores().size();
    }));
  }
  fleet.mStore.mDown = false;
  // Each pull is counted at both ends.
  aReport.AddRow({ static_cast<double>(aScenario.mEntries),
                   static_cast<double>(aScenario.mAgents),
                   aSpread.mName,
                   Seconds(taken),
                   taken <= kInForce ? "yes" : "no",
                   pulls / 2 / static_cast<double>(all),
                   after });
  aScenario.Run(aScenario.Settle(), [] { return false; });
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

/// Costs of one core that knows a whole fleet.
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
  MembershipCore core(options, own, fake::InspectText, kSeed);
  const size_t before = mallinfo2().uordblks;
  core.AnswerExchange(message, now);
  const size_t after = mallinfo2().uordblks;
  // The fresh records are sent off before idle ticks are timed.
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
    core.AnswerExchange(change, now);
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
  Report mSpread;
};

void
MeasureFleet(size_t aEntries, Tables& aTables)
{
  Scenario scenario(aEntries);
  const auto never = [] { return false; };
  const Duration complete =
    scenario.Run(300s, [&] { return scenario.Complete(); });
  const uint64_t reads = scenario.mMostReads;
  const uint64_t writes = scenario.mMostWrites;
  const Duration leases =
    complete + scenario.Run(300s, [&] { return scenario.AllMayAct(); });
  scenario.mMostReads = std::max(reads, scenario.mMostReads);
  scenario.mMostWrites = std::max(writes, scenario.mMostWrites);
  AddStore(aTables.mStore,
           scenario,
           "start of everything",
           Seconds(complete),
           Seconds(leases));
  scenario.Run(scenario.Settle(), never);

  const Duration steady = scenario.Settle() / 2;
  scenario.mMeter.Clear();
  scenario.mMeter.mEncode = true;
  scenario.Run(steady, never);
  scenario.mMeter.mEncode = false;
  AddStore(aTables.mStore, scenario, "steady", "-", "-");
  AddTraffic(aTables.mTraffic, scenario, steady);

  for (const Spread& spread : kSpreads) {
    MeasureSpread(aTables.mSpread, scenario, spread);
  }

  scenario.mFleet.mStore.mDown = true;
  scenario.Run(2 * scenario.Settle(), never);
  scenario.mFleet.mStore.mDown = false;
  scenario.Run(scenario.Settle(), never);
  AddStore(aTables.mStore, scenario, "after an outage", "-", "-");
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
  for (size_t size : kSizes) {
    MeasureCore(aReport, size);
  }
}

namespace {

void
MeasureFleets(Report& aReport, std::span<const size_t> aSizes)
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
  tables.mSpread.StartTable("document",
                            { "entries",
                              "agents",
                              "case",
                              "in force s",
                              "within 9 s",
                              "pulls/node",
                              "after the cut s" });
  for (size_t size : aSizes) {
    MeasureFleet(size, tables);
  }
  aReport.Append(std::move(tables.mStore));
  aReport.Append(std::move(tables.mTraffic));
  aReport.Append(std::move(tables.mSpread));
}

} // namespace

void
RunFleet(Report& aReport)
{
  MeasureFleets(aReport, kFleetSizes);
}

void
RunLargeFleet(Report& aReport)
{
  MeasureFleets(aReport, kLargeFleetSizes);
}

} // namespace snipepost::bench
