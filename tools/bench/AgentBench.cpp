#include "tools/bench/Modes.h"

#include <array>
#include <malloc.h>
#include <vector>

#include <snipepost/Admission/AgentCore.h>

#include "tests/Quic/FakeNetwork.h"

#include "tools/bench/Timing.h"

namespace snipepost::bench {

namespace {

using namespace std::chrono_literals;

constexpr uint64_t kSeed = 8105;
constexpr std::array<size_t, 5> kConnectionCounts{ 100, 500, 1000, 2000, 2700 };
constexpr std::array<size_t, 5> kInFlightCounts{ 4, 10, 100, 1000, 10000 };
const KeyRing kKeys(SecretKey{ 1 });
const Address kAgent{ 0x7f000001, 4433 };

/// Measures the heap memory that the server uses for idle connections after one
/// request on each, and the time of a handshake and of a request. The times
/// include the work of the callers.
void
MeasureConnections(Report& aReport, size_t aCount)
{
  constexpr double kNsPerUs = 1e3;
  QuicLimits limits;
  limits.mConnections = aCount;
  limits.mIdleTimeout = 10min;
  test::FakeNetwork network(kSeed, limits);
  std::vector<test::TestCaller*> callers;
  const double handshakesNs = TimeNs([&] {
    for (size_t i = 0; i < aCount; ++i) {
      callers.push_back(&network.AddCaller());
      // Handshakes start in groups of 50, so that the endpoint doesn't receive
      // all of them at once.
      if (i % 50 == 49) {
        network.Run(200ms);
      }
    }
    network.RunUntil([&] { return network.mOpenConnections.size() == aCount; },
                     10s);
  });
  const double requestsNs = TimeNs([&] {
    for (size_t i = 0; i < aCount; ++i) {
      callers[i]->Get("/bytes/1000");
      if (i % 50 == 49) {
        network.Run(50ms);
      }
    }
    network.Run(2s);
  });
  network.Run(5s);
  const double done = static_cast<double>(network.mDoneRequests);
  const auto open = static_cast<double>(network.mServer->ConnectionCount());
  const size_t withServer = mallinfo2().uordblks + mallinfo2().hblkhd;
  network.mServer.reset();
  const size_t withoutServer = mallinfo2().uordblks + mallinfo2().hblkhd;
  const auto bytes = static_cast<double>(withServer - withoutServer);
  constexpr double kMib = 1 << 20;
  const auto count = static_cast<double>(aCount);
  aReport.AddRow({ count,
                   open,
                   bytes / open,
                   bytes / kMib,
                   handshakesNs / count / kNsPerUs,
                   done,
                   requestsNs / done / kNsPerUs });
}

/// Measures the time of one request through AgentCore while the other
/// aInFlight - 1 requests are in flight.
void
MeasureCore(Report& aReport, size_t aInFlight)
{
  Instant now(100s);
  AgentOptions options;
  options.mAddress = kAgent;
  options.mIncarnation = Incarnation(5);
  options.mQueuePerSlot = 1;
  AgentConfig config;
  config.mSlots = static_cast<uint32_t>(aInFlight);
  AgentCore core(options, config, kKeys, now);
  core.OnLease({ now + 24h }, now);
  BackendState state;
  state.mReachable = true;
  state.mBoot = "one";
  core.OnBackendState(state, now);
  now += 1min; // After the cold ramp, so that all slots are used.
  uint64_t lastRequest = 0;
  const auto arrive = [&] {
    RequestArrived request;
    request.mRequest = RequestId(++lastRequest);
    request.mFlow = FlowId(1);
    request.mDeadline = now + 1h;
    core.OnRequest(request, now);
  };
  while (core.Load(now).mInFlight + 1 < aInFlight) {
    arrive();
    // Prevents an endless loop when the core rejects requests.
    if (lastRequest > 2 * aInFlight) {
      break;
    }
  }
  const auto request = TimeBatches(200, 10, [&](size_t) {
    arrive();
    BackendResult result;
    result.mRequest = RequestId(lastRequest);
    core.OnBackendResult(result, now);
  });
  const auto tick = TimeBatches(200, 10, [&](size_t) { core.OnTick({}, now); });
  ReceivedPacket packet;
  const auto firstPacket =
    TimeBatches(200, 10, [&](size_t) { core.OnReceivedPacket(packet, now); });
  aReport.AddRow({ static_cast<double>(aInFlight),
                   static_cast<double>(core.Load(now).mInFlight),
                   request.mMedian,
                   request.mP99,
                   tick.mMedian,
                   firstPacket.mMedian });
}

} // namespace

void
RunAgent(Report& aReport)
{
  aReport.StartTable("QUIC endpoint, idle connections",
                     { "connections",
                       "open",
                       "heap bytes each",
                       "heap MB",
                       "handshake us, both ends",
                       "requests",
                       "request us, both ends" });
  for (size_t count : kConnectionCounts) {
    MeasureConnections(aReport, count);
  }
  aReport.StartTable("AgentCore",
                     { "held",
                       "in flight",
                       "request and result ns",
                       "p99 ns",
                       "tick ns",
                       "first packet ns" });
  for (size_t inFlight : kInFlightCounts) {
    MeasureCore(aReport, inFlight);
  }
}

} // namespace snipepost::bench
