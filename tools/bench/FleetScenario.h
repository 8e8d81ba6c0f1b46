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
// The proportion of the two-year size.
constexpr size_t kFullEntries = 510;
constexpr size_t kFullAgents = 3500;
constexpr std::array<size_t, 4> kSizes{ 10, 50, 200, kFullEntries };
constexpr std::array<size_t, 5> kFleetSizes{ 10, 25, 50, 100, 200 };
constexpr std::array<size_t, 3> kSmallFleetSizes{ 10, 25, 50 };
constexpr std::array<size_t, 2> kSettledFleetSizes{ 100, 200 };
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

/// Half of the fleet, as regions.
inline uint8_t
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

} // namespace snipepost::bench
