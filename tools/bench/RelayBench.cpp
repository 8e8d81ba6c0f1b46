#include "tools/bench/Modes.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <ctime>
#include <functional>
#include <memory>
#include <thread>
#include <unordered_set>
#include <vector>

#include <asio.hpp>

#include <snipepost/Base/Random.h>
#include <snipepost/Net/DatagramSocket.h>
#include <snipepost/Routing/ProxyHeader.h>
#include <snipepost/Routing/RouteId.h>

#include "src/Daemon/EntryRelay.h"

#include "tools/bench/Timing.h"

namespace snipepost::bench {

namespace {

using namespace std::chrono_literals;

constexpr uint32_t kLoopback = 0x7f000001;
constexpr size_t kSinks = 8;
constexpr size_t kPackets = 8192;
constexpr size_t kServices = 970;
constexpr size_t kEndpoints = 3500;
constexpr int kRepetitions = 9;
constexpr auto kTrialTime = 400ms;
constexpr uint64_t kSeed = 8103;
constexpr uint16_t kServicePort = 443;
constexpr std::array<size_t, 4> kPayloadSizes{ 100, 400, 800, 1200 };

const KeyRing kKeys(SecretKey{ 1, 2, 3, 4, 5, 6, 7, 8 });
const Address kCaller{ kLoopback, 40000 };

using Bytes = std::vector<uint8_t>;

double
ThreadCpuSeconds()
{
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  constexpr double kNs = 1e9;
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) / kNs;
}

/// Sockets in place of agents and callers; they discard what they receive.
class Sinks : private DatagramHandler
{
public:
  Sinks()
  {
    for (size_t i = 0; i < kSinks; ++i) {
      mSockets.push_back(
        std::make_unique<DatagramSocket>(mContext, Address{ kLoopback, 0 }));
      mSockets.back()->Start(*this);
      mAddresses.push_back(mSockets.back()->Local());
    }
    mThread = std::thread([this] { mContext.run(); });
  }
  ~Sinks() override
  {
    mContext.stop();
    mThread.join();
  }
  Sinks(const Sinks&) = delete;
  Sinks& operator=(const Sinks&) = delete;

  const std::vector<Address>& Addresses() const { return mAddresses; }

private:
  void OnDatagram(std::span<const uint8_t>, const Address&) override {}

  asio::io_context mContext;
  std::vector<std::unique_ptr<DatagramSocket>> mSockets;
  std::vector<Address> mAddresses;
  std::thread mThread;
};

/// Sends packets to one address as fast as it can.
class Source
{
public:
  Source()
    : mSocket(mContext, { kLoopback, 0 })
  {
  }

  Address Local() const { return mSocket.Local(); }

  void Run(const std::vector<Bytes>& aPackets,
           const Address& aTo,
           const std::atomic<bool>& aStop)
  {
    for (size_t i = 0; !aStop; ++i) {
      mSocket.Send(aPackets[i % aPackets.size()], aTo);
    }
    mSocket.Flush();
  }

private:
  asio::io_context mContext;
  DatagramSocket mSocket;
};

/// Relays every datagram unchanged.
class BareRelay : public DatagramHandler
{
public:
  BareRelay(DatagramSocket& aSocket, const std::vector<Address>& aTo)
    : mSocket(aSocket)
    , mTo(aTo)
  {
  }

  void OnDatagram(std::span<const uint8_t> aBytes, const Address&) override
  {
    mSocket.Send(aBytes, mTo[mNext++ % kSinks]);
  }

private:
  DatagramSocket& mSocket;
  const std::vector<Address>& mTo;
  size_t mNext = 0;
};

/// Dispatches datagrams like EntryInstance.
class EntryPath : public DatagramHandler
{
public:
  EntryPath(DatagramSocket& aSocket,
            const std::vector<Address>& aSinks,
            const Address& aFabric,
            std::shared_ptr<const RoutingSnapshot> aSnapshot,
            EntryRelay::ServiceAddresses aServices)
    : mFabric{ aFabric }
    , mRelay(kKeys, aSocket, mRegistry, aSinks.front())
  {
    mRelay.SetSnapshot(std::move(aSnapshot), std::move(aServices));
  }

  void OnDatagram(std::span<const uint8_t> aBytes,
                  const Address& aFrom) override
  {
    if (aBytes.size() > 2 && aBytes[0] == 'S' && aBytes[1] == 'P') {
      const auto decoded = DecodePacket(aBytes, kKeys);
      if (const auto* packet = std::get_if<Packet>(&decoded)) {
        mRelay.RelayToFabric(*packet);
      }
      return;
    }
    if (mFabric.contains(aFrom)) {
      mRelay.RelayFromFabric(aBytes, Generation(1));
    }
  }

  bool Dropped() const
  {
    for (size_t i = 1; i < kDropReasonCount; ++i) {
      if (mRelay.Router().Count(static_cast<DropReason>(i)) > 0) {
        return true;
      }
    }
    return false;
  }

private:
  std::unordered_set<Address> mFabric;
  Registry mRegistry;
  EntryRelay mRelay;
};

/// 3,500 endpoints behind 970 addresses, with a previous table for each
/// service. Endpoints of different services share the sinks; those of one
/// service have distinct sinks.
struct Fleet
{
  std::vector<ServiceView> mServices;
  std::shared_ptr<const RoutingSnapshot> mSnapshot;
  EntryRelay::ServiceAddresses mAddresses;

  explicit Fleet(const std::vector<Address>& aSinks)
  {
    size_t left = kEndpoints;
    for (size_t i = 0; i < kServices; ++i) {
      const auto id = static_cast<uint16_t>(i + 1);
      ServiceView view{ ServiceId(id), { 0x7f010000U + id, kServicePort }, {} };
      const size_t count = (left + kServices - i - 1) / (kServices - i);
      left -= count;
      for (size_t j = 0; j < count; ++j) {
        Backend backend;
        backend.mAgent = aSinks[(i + j) % kSinks];
        view.mEligible.push_back(backend);
      }
      mAddresses.emplace(view.mId, view.mAddress);
      mServices.push_back(std::move(view));
    }
    // The snapshot keeps the previous table of each service whose backends
    // changed, and a new weight is such a change.
    const auto before = Build(nullptr);
    for (ServiceView& view : mServices) {
      view.mEligible.front().mWeight = 2;
    }
    mSnapshot = Build(before.get());
  }

private:
  std::shared_ptr<const RoutingSnapshot> Build(const RoutingSnapshot* aPrevious)
  {
    return RoutingSnapshot::Build(Generation(1), mServices, {}, aPrevious);
  }
};

void
AppendRandom(Bytes& aBytes, size_t aSize, Random& aRandom)
{
  while (aBytes.size() < aSize) {
    aBytes.push_back(static_cast<uint8_t>(aRandom.Below(256)));
  }
}

Bytes
AddProxyHeader(const ServiceView& aService, const Bytes& aPayload)
{
  const auto header = EncodeProxyHeader({ kCaller, aService.mAddress });
  Bytes bytes(header.size() + aPayload.size());
  std::ranges::copy(header, bytes.begin());
  std::ranges::copy(aPayload, bytes.begin() + header.size());
  return bytes;
}

Bytes
MakeEstablished(const ServiceView& aService, size_t aSize, Random& aRandom)
{
  const auto& backend =
    aService.mEligible[aRandom.Below(aService.mEligible.size())];
  const auto id = EncodeRouteId(
    { aService.mId, backend.mDomain, backend.mAgent, 0, 0 }, kKeys);
  Bytes payload{ 0x40 };
  payload.insert(payload.end(), id.begin(), id.end());
  AppendRandom(payload, aSize, aRandom);
  return AddProxyHeader(aService, payload);
}

/// A QUIC Initial with a random connection ID of eight bytes, so that each
/// packet opens a new flow.
Bytes
MakeInitial(const ServiceView& aService, size_t aSize, Random& aRandom)
{
  Bytes payload{ 0xc0, 0, 0, 0, 1, 8 };
  AppendRandom(payload, aSize, aRandom);
  return AddProxyHeader(aService, payload);
}

Bytes
MakeReply(const ServiceView& aService, size_t aSize, Random& aRandom)
{
  Bytes payload;
  AppendRandom(payload, aSize, aRandom);
  PacketHeader header;
  header.mType = PacketType::Reply;
  header.mService = aService.mId;
  header.mCaller = kCaller;
  Bytes bytes(kMaxDatagram);
  bytes.resize(EncodePacket(header, payload, bytes, kKeys));
  return bytes;
}

using MakePacket = Bytes (*)(const ServiceView&, size_t, Random&);

struct Path
{
  const char* mName;
  MakePacket mMake;
  bool mBare;
};

constexpr std::array<Path, 4> kPaths{ {
  { "bare relay", MakeEstablished, true },
  { "established", MakeEstablished, false },
  { "new flows", MakeInitial, false },
  { "replies", MakeReply, false },
} };

struct Trial
{
  double mPacketsPerSecond;
  double mCpuNsPerPacket;
};

class CountingHandler : public DatagramHandler
{
public:
  explicit CountingHandler(DatagramHandler& aNext)
    : mNext(aNext)
  {
  }
  void OnDatagram(std::span<const uint8_t> aBytes,
                  const Address& aFrom) override
  {
    ++mCount;
    mNext.OnDatagram(aBytes, aFrom);
  }
  double mCount = 0;

private:
  DatagramHandler& mNext;
};

Trial
RunTrial(const Path& aPath,
         const std::vector<Bytes>& aPackets,
         const Fleet& aFleet,
         const Sinks& aSinks)
{
  constexpr double kNs = 1e9;
  asio::io_context context;
  Source source;
  DatagramSocket socket(context, { kLoopback, 0 });
  BareRelay bare(socket, aSinks.Addresses());
  EntryPath entry(socket,
                  aSinks.Addresses(),
                  source.Local(),
                  aFleet.mSnapshot,
                  aFleet.mAddresses);
  CountingHandler counting(aPath.mBare ? static_cast<DatagramHandler&>(bare)
                                       : entry);
  socket.Start(counting);
  std::atomic<bool> stop = false;
  std::thread sender(
    [&, to = socket.Local()] { source.Run(aPackets, to, stop); });
  context.run_for(kTrialTime / 4); // Fills caches and socket buffers.
  counting.mCount = 0;
  const double cpuStart = ThreadCpuSeconds();
  const auto start = std::chrono::steady_clock::now();
  context.run_for(kTrialTime);
  const std::chrono::duration<double> elapsed =
    std::chrono::steady_clock::now() - start;
  const double cpuUsed = ThreadCpuSeconds() - cpuStart;
  stop = true;
  sender.join();
  // If packets were dropped, the wrong path would be measured.
  if (entry.Dropped()) {
    std::terminate();
  }
  return { counting.mCount / elapsed.count(), kNs * cpuUsed / counting.mCount };
}

std::vector<Bytes>
MakePackets(const Path& aPath, const Fleet& aFleet, size_t aSize)
{
  Random random(kSeed);
  std::vector<Bytes> packets;
  for (size_t i = 0; i < kPackets; ++i) {
    const auto& service =
      aFleet.mServices[random.Below(aFleet.mServices.size())];
    packets.push_back(aPath.mMake(service, aSize, random));
  }
  return packets;
}

void
AddRow(Report& aReport,
       const Path& aPath,
       size_t aSize,
       const std::vector<Trial>& aTrials,
       const std::vector<Trial>& aBareTrials)
{
  std::vector<double> rates;
  std::vector<double> cpu;
  std::vector<double> ratios;
  std::vector<double> cpuRatios;
  for (size_t i = 0; i < aTrials.size(); ++i) {
    rates.push_back(aTrials[i].mPacketsPerSecond);
    cpu.push_back(aTrials[i].mCpuNsPerPacket);
    ratios.push_back(aTrials[i].mPacketsPerSecond /
                     aBareTrials[i].mPacketsPerSecond);
    cpuRatios.push_back(aBareTrials[i].mCpuNsPerPacket /
                        aTrials[i].mCpuNsPerPacket);
  }
  aReport.AddRow({ aPath.mName,
                   static_cast<double>(aSize),
                   QuantilesOf(rates).mMedian,
                   std::ranges::min(rates),
                   std::ranges::max(rates),
                   QuantilesOf(ratios).mMedian,
                   std::ranges::min(ratios),
                   std::ranges::max(ratios),
                   QuantilesOf(cpu).mMedian,
                   QuantilesOf(cpuRatios).mMedian });
}

} // namespace

void
RunRelay(Report& aReport)
{
  const Sinks sinks;
  const Fleet fleet(sinks.Addresses());
  aReport.StartTable("relay on loopback, 970 services, 3500 endpoints",
                     { "path",
                       "bytes",
                       "packets/s",
                       "min",
                       "max",
                       "of bare relay",
                       "least",
                       "most",
                       "cpu ns/packet",
                       "of bare relay by cpu" });
  for (size_t size : kPayloadSizes) {
    std::array<std::vector<Bytes>, kPaths.size()> packets;
    for (size_t i = 0; i < kPaths.size(); ++i) {
      packets[i] = MakePackets(kPaths[i], fleet, size);
    }
    // The paths alternate, so that other load on the machine affects all of
    // them equally.
    std::array<std::vector<Trial>, kPaths.size()> trials;
    for (int repetition = 0; repetition < kRepetitions; ++repetition) {
      for (size_t i = 0; i < kPaths.size(); ++i) {
        trials[i].push_back(RunTrial(kPaths[i], packets[i], fleet, sinks));
      }
    }
    for (size_t i = 0; i < kPaths.size(); ++i) {
      AddRow(aReport, kPaths[i], size, trials[i], trials[0]);
    }
  }
}

} // namespace snipepost::bench
