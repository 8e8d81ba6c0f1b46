#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <map>
#include <memory>
#include <string>

#include <snipepost/Membership/Codec.h>
#include <snipepost/Membership/ViewController.h>

#include "tests/Membership/FakeFleet.h"

namespace snipepost::bench {

using namespace std::chrono_literals;
using fake::Fleet;

constexpr uint64_t kSeed = 8104;
constexpr size_t kFirstAgent = 1000;
// Fleet size expected in two years. Smaller fleets have the same ratio of
// agents to entry instances.
constexpr size_t kFullEntries = 510;
constexpr size_t kFullAgents = 3500;
// Numbers of entry instances in the measured fleets.
constexpr std::array<size_t, 4> kCoreFleetSizes{ 10, 50, 200, kFullEntries };
constexpr std::array<size_t, 5> kFleetSizes{ 10, 25, 50, 100, 200 };
constexpr std::array<size_t, 3> kSmallFleetSizes{ 10, 25, 50 };
constexpr std::array<size_t, 2> kSettledFleetSizes{ 100, 200 };
constexpr std::array<size_t, 1> kLargeFleetSizes{ kFullEntries };
// Time for the fleet to settle after a start, a network partition or a store
// outage. A store outage lasts twice as long. Shorter for full runs of large
// fleets, where simulating one second takes several seconds.
constexpr Duration kSettleTime = 60s;
constexpr Duration kLargeFleetSettleTime = 10s;
// The object API's rate limits at the fleet size expected in two years. For
// writes, the requirement states only "several hundred" per second.
constexpr uint64_t kReadsPerSecond = 2000;
constexpr uint64_t kWritesPerSecond = 300;
constexpr Duration kTick = 50ms; // Same interval as in ControlPlane.
// Time limit for a document to be in force in all instances.
constexpr Duration kDistributionLimit = 9s;

// Estimated bytes on the wire beyond the messages encoded here. Probe: the
// packet header and 28 bytes of UDP and IPv4 headers. HTTP/2 call: HEADERS and
// DATA frames in both directions with the authentication tag, and the TCP/IPv4
// headers of two segments and their acknowledgements. Connection: TCP handshake
// and close, preface and SETTINGS. Every exchange between two entry instances
// counts as a new connection, because they pick random peers and so rarely
// reuse a connection.
constexpr double kProbeBytes = 37 + 28;
constexpr double kCallBytes = 276;
constexpr double kConnectionBytes = 420;

enum class MessageKind : uint8_t
{
  Probe,
  Exchange,
  Pull,
  StoreRead,
  StoreWrite,
  StoreList,
  StoreWatch,
};
constexpr std::array<const char*, 7> kMessageKindNames{
  "probe and reply", "exchange",   "document pull", "store read",
  "store write",     "store list", "store watch"
};

inline Duration
ThreadCpu()
{
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::nanoseconds(now.tv_nsec);
}

inline double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

inline size_t
AgentsFor(size_t aEntries)
{
  return aEntries * kFullAgents / kFullEntries;
}

inline bool
IsEntry(const Address& aAddress)
{
  return aAddress < Fleet::At(kFirstAgent);
}

/// Splits the fleet into two regions of equal size.
inline uint8_t
RegionOf(const Address& aAddress)
{
  return aAddress.mPort % 2;
}

/// Traffic sent and received, and CPU time used, by all instances of one role.
struct RoleMeter
{
  std::array<double, kMessageKindNames.size()> mMessages{};
  std::array<double, kMessageKindNames.size()> mBytes{};
  Duration mCoreCpu{};
  Duration mCodecCpu{};
  double mEvents = 0;
};

/// Counts the messages of a fleet and their bytes as encoded on the wire.
class Meter
{
public:
  explicit Meter(Fleet& aFleet)
  {
    aFleet.mClock = ThreadCpu;
    aFleet.mOnHandled = [this](const Address& aTo,
                               const MembershipEvent* aEvent,
                               Duration aStart) {
      RoleMeter& role = RoleOf(aTo);
      role.mCoreCpu += ThreadCpu() - aStart;
      ++role.mEvents;
      if (aEvent) {
        CountStoreList(aTo, *aEvent);
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
  /// Exchange messages are counted only while this is set, because encoding
  /// them to get their size takes longer than simulating the start of the
  /// fleet.
  bool mCountExchanges = false;

  const RoleMeter& Role(bool aEntry) const { return mRoles[aEntry ? 0 : 1]; }

private:
  RoleMeter& RoleOf(const Address& aAddress)
  {
    return mRoles[IsEntry(aAddress) ? 0 : 1];
  }

  void Count(const Address& aInstance, MessageKind aKind, double aBytes)
  {
    RoleMeter& role = RoleOf(aInstance);
    ++role.mMessages[static_cast<size_t>(aKind)];
    role.mBytes[static_cast<size_t>(aKind)] += aBytes;
  }

  void CountEffect(const Address& aFrom, const MembershipEffect& aEffect)
  {
    if (const auto* probe = std::get_if<SendProbe>(&aEffect)) {
      Count(aFrom, MessageKind::Probe, 2 * kProbeBytes);
      Count(probe->mTarget, MessageKind::Probe, 2 * kProbeBytes);
    } else if (const auto* pull = std::get_if<PullDocument>(&aEffect)) {
      Count(aFrom, MessageKind::Pull, kCallBytes);
      Count(pull->mFrom, MessageKind::Pull, kCallBytes);
    } else if (std::holds_alternative<StoreRead>(aEffect)) {
      Count(aFrom, MessageKind::StoreRead, kCallBytes);
    } else if (const auto* write = std::get_if<StoreWrite>(&aEffect)) {
      const size_t size = write->mKey.size() + write->mValue.size();
      Count(
        aFrom, MessageKind::StoreWrite, kCallBytes + static_cast<double>(size));
    }
  }

  void CountStoreList(const Address& aTo, const MembershipEvent& aEvent)
  {
    const auto* list = std::get_if<StoreListEnded>(&aEvent);
    if (!list) {
      return;
    }
    double bytes = kCallBytes;
    // Each object is enclosed in {"key":"","version":1234567,"value":""}.
    constexpr size_t kObjectBytes = 40;
    for (const StoredObject& object : list->mObjects) {
      bytes += static_cast<double>(object.mKey.size() + object.mValue.size() +
                                   kObjectBytes);
    }
    Count(aTo,
          list->mComplete ? MessageKind::StoreList : MessageKind::StoreWatch,
          bytes);
  }

  void CountExchange(const Address& aFrom,
                     const Address& aTo,
                     const ExchangeMessage& aMessage)
  {
    if (!mCountExchanges) {
      return;
    }
    const Duration start = ThreadCpu();
    const std::string text = WriteExchange(aMessage);
    const Duration written = ThreadCpu();
    const auto parsed = ParseExchange(text);
    const Duration read = ThreadCpu();
    RoleOf(aFrom).mCodecCpu += written - start;
    RoleOf(aTo).mCodecCpu += read - written;
    // Message and reply each count as half of a call.
    double bytes = static_cast<double>(text.size()) + kCallBytes / 2;
    if (IsEntry(aFrom) && IsEntry(aTo)) {
      bytes += kConnectionBytes / 2;
    }
    Count(aFrom, MessageKind::Exchange, bytes);
    Count(aTo, MessageKind::Exchange, bytes);
  }

  std::array<RoleMeter, 2> mRoles;
};

/// A fleet of entry instances and agents in two regions, with a store that
/// refuses calls above its rate limits.
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
    SubmitDocument();
  }

  /// Runs in steps of one second under the store's rate limits and records the
  /// highest attempted rates. Returns the elapsed time.
  Duration Run(Duration aLimit, const std::function<bool()>& aDone)
  {
    mPeakReads = 0;
    mPeakWrites = 0;
    Duration elapsed{};
    while (elapsed < aLimit && !aDone()) {
      mFleet.mStore.mReadsLeft = kReadsPerSecond;
      mFleet.mStore.mWritesLeft = kWritesPerSecond;
      const uint64_t reads = mFleet.mStore.mReads;
      const uint64_t writes = mFleet.mStore.mWrites;
      elapsed += mFleet.RunUntil(1s, aDone);
      mPeakReads = std::max(mPeakReads, mFleet.mStore.mReads - reads);
      mPeakWrites = std::max(mPeakWrites, mFleet.mStore.mWrites - writes);
    }
    return elapsed;
  }

  Duration SettleTime() const
  {
    return mEntries < kFullEntries ? kSettleTime : kLargeFleetSettleTime;
  }

  void SubmitDocument()
  {
    auto& store = mFleet.mStore;
    const std::string key = "deployments/test";
    // As fake::ParseDocumentVersion() expects it: generation and submission.
    const std::string text = std::to_string(++mGeneration) + "/s";
    store.mObjects[key] = { key, ObjectVersion(++store.mRevision), text };
  }

  bool ViewsComplete()
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

  size_t InstancesWithDocument(
    const std::function<bool(const Address&)>& aFilter)
  {
    size_t count = 0;
    for (const auto& [address, core] : mFleet.Cores()) {
      const auto generation =
        core->Board().mDocument.mVersion.mGeneration.Value();
      count += generation == mGeneration && aFilter(address) ? 1 : 0;
    }
    return count;
  }

  Fleet mFleet;
  Meter mMeter;
  size_t mEntries;
  size_t mAgents;
  uint64_t mGeneration = 0;
  uint64_t mPeakReads = 0;
  uint64_t mPeakWrites = 0;
};

} // namespace snipepost::bench
