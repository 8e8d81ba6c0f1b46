#include <chrono>
#include <optional>

#include <unistd.h>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <snipepost/Http1/Client.h>

#include "src/FlowDaemon/AgentNode.h"
#include "src/FlowDaemon/EntryNode.h"
#include "tests/Http1/SlowServer.h"
#include "tests/platform/soak/FlowSegment.h"
#include "tests/platform/soak/SoakStore.h"

using namespace snipepost;
using namespace std::chrono_literals;

namespace json = boost::json;

namespace {

/// A loopback network for each process, so that the test may run several times
/// on one machine: 127.64.0.0 and up, by the lower 14 bits of the process ID.
const uint32_t kNetwork =
  0x7f400000 + ((static_cast<uint32_t>(getpid()) & 0x3fffU) << 8U);
const uint32_t kEntryIp = kNetwork + 1;
const uint32_t kAgentIp = kNetwork + 2;
const uint32_t kStoreIp = kNetwork + 3;
const uint32_t kBackendIp = kNetwork + 4;
const uint32_t kCallerIp = kNetwork + 5;
const uint32_t kPeerIp = kNetwork + 6;
constexpr uint16_t kPacketPort = 38172;
constexpr uint16_t kReadinessPort = 38167;
constexpr uint16_t kControlPort = 38166;
constexpr uint16_t kOutboundPort = 38162;
constexpr uint16_t kInternalPort = 38720;
constexpr uint16_t kStorePort = 38169;
/// Start time of the backend server.
constexpr uint64_t kStartTime = 1'700'000'000'000;
constexpr uint8_t kSyn = 64;
constexpr uint8_t kAck = 32;

/// Records the datagrams that an address receives.
class DatagramRecorder : public DatagramHandler
{
public:
  DatagramRecorder(asio::io_context& aContext, const Address& aLocal)
    : mSocket(aContext, aLocal)
  {
    mSocket.Start(*this);
  }
  void OnDatagram(std::span<const uint8_t> aBytes, const Address&) override
  {
    mDatagrams.emplace_back(aBytes.begin(), aBytes.end());
  }
  void Send(const std::vector<uint8_t>& aBytes, const Address& aTo)
  {
    mSocket.Send(aBytes, aTo);
    mSocket.Flush();
  }

  std::vector<std::vector<uint8_t>> mDatagrams;

private:
  DatagramSocket mSocket;
};

std::vector<uint8_t>
PacketBytes(const Address& aFrom,
            const Address& aTo,
            uint8_t aFlags,
            uint32_t aSequence,
            uint32_t aAck)
{
  soak::FlowSegment segment;
  segment.mFrom = aFrom;
  segment.mTo = aTo;
  segment.mSequence = aSequence;
  segment.mAck = aAck;
  segment.mSyn = (aFlags & kSyn) != 0;
  segment.mHasAck = (aFlags & kAck) != 0;
  return soak::Encode(segment);
}

NodeSettings
CommonSettings(uint32_t aIp)
{
  NodeSettings settings;
  settings.mName = "n";
  settings.mDomain = "a";
  settings.mPackets = { aIp, kPacketPort };
  settings.mReadiness = { aIp, kReadinessPort };
  settings.mStore = { kStoreIp, kStorePort };
  settings.mInternalPort = kInternalPort;
  settings.mMetricsPort = kInternalPort + 1;
  settings.mEvacuationLimit = 5s;
  settings.mFlowLimit = 60s;
  settings.mLogRate = 0;
  return settings;
}

NodeSettings
AgentSettings()
{
  NodeSettings settings = CommonSettings(kAgentIp);
  settings.mRole = cluster::NodeRole::Agent;
  settings.mControl = Address{ kAgentIp, kControlPort };
  settings.mOutbound = Address{ kAgentIp, kOutboundPort };
  settings.mBackend = Address{ kBackendIp, kPacketPort };
  settings.mService = "desk";
  return settings;
}

constexpr Address kServiceAddress{ 0xc6120001, 443 };
const Address kCaller{ kCallerIp, 40001 };

/// An entry instance and an agent in one process, on loopback addresses.
struct Deployment
{
  explicit Deployment(const NodeSettings& aAgent = AgentSettings())
    : mStore(mContext, { kStoreIp, kStorePort }, 1)
    , mEntryNode(mContext, CommonSettings(kEntryIp))
    , mAgentNode(mContext, aAgent)
    , mEntry(mContext, mEntryNode)
    , mAgent(mContext, mAgentNode)
    , mBackend(mContext, { kBackendIp, kPacketPort })
    , mBackendListener(mContext, ToTcp({ kBackendIp, kPacketPort }))
    , mCallers(mContext, { kCallerIp, kPacketPort })
  {
    mStore.Put(
      "config",
      "main",
      json::parse(R"({"version":2,"routes":[{"name":"r","host":"198.18.0.1",)"
                  R"("path_prefix":"/443/","type":"safe","timeout_ms":1000,)"
                  R"("target_latency_ms":150,"priority":1,"service":"desk"}],)"
                  R"("services":[{"name":"desk","max_connections":100}]})"));
    mEntryNode.Start(mEntry);
    mAgentNode.Start(mAgent);
  }

  template<typename Condition>
  void RunUntil(Condition aCondition)
  {
    const auto end = std::chrono::steady_clock::now() + 10s;
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      mContext.run_one_for(50ms);
    }
    BOOST_REQUIRE(aCondition());
  }

  http1::Response Fetch(const Address& aServer, http1::Request aRequest)
  {
    http1::Client client(mContext, aServer);
    std::optional<http1::Response> response;
    client.Call(std::move(aRequest),
                5s,
                [&](http1::Result, const http1::Response& aResponse) {
                  response = aResponse;
                });
    RunUntil([&] { return response.has_value(); });
    return *response;
  }

  unsigned Call(const Address& aServer, http1::Request aRequest)
  {
    return Fetch(aServer, std::move(aRequest)).mStatus;
  }

  /// A heartbeat of the backend server that started at aStartTime; without a
  /// start time if that is 0.
  static json::object HeartbeatBody(const std::string& aState,
                                    int aSequence,
                                    uint64_t aStartTime)
  {
    json::object body = { { "service", "desk" },
                          { "address",
                            ToString(Address{ kBackendIp, kPacketPort }) },
                          { "zone", "a" },
                          { "version", "v1" },
                          { "concurrency", 4 },
                          { "state", aState },
                          { "cold_remaining_ms", 0 },
                          { "sequence", aSequence } };
    if (aStartTime != 0) {
      body["born"] = aStartTime;
    }
    return body;
  }

  unsigned SendHeartbeat(const std::string& aState,
                         int aSequence,
                         uint64_t aStartTime = kStartTime,
                         const std::string& aId = "i-1")
  {
    const auto body = HeartbeatBody(aState, aSequence, aStartTime);
    return Call(
      { kAgentIp, kControlPort },
      { "POST", "/-/instances/" + aId + "/heartbeat", json::serialize(body) });
  }

  /// Whether a new flow reaches the backend server.
  bool OpensNewFlow(uint16_t aPort)
  {
    const size_t before = mBackend.mDatagrams.size();
    mCallers.Send(
      PacketBytes({ kCallerIp, aPort }, kServiceAddress, kSyn, 100, 0),
      { kEntryIp, kPacketPort });
    RunFor(300ms);
    return mBackend.mDatagrams.size() > before;
  }

  /// Stores a record of the agent's backend server, as an earlier process of
  /// the agent may have left it.
  void StoreRecord(cluster::BackendState aState)
  {
    cluster::BackendRecord record;
    record.mService = "desk";
    record.mAgent = { kAgentIp, kPacketPort };
    record.mDomain = "a";
    record.mState = aState;
    mStore.Put("backends",
               cluster::RecordName(record.mAgent),
               json::parse(cluster::EncodeRecord(record)));
  }

  void RunFor(Duration aTime)
  {
    const auto end = std::chrono::steady_clock::now() + aTime;
    RunUntil([&] { return std::chrono::steady_clock::now() >= end; });
  }

  /// Opens kCaller's flow; the caller has sent its first data.
  void OpenFlow()
  {
    mCallers.Send(PacketBytes(kCaller, kServiceAddress, kSyn, 100, 0),
                  { kEntryIp, kPacketPort });
    RunUntil([&] { return mBackend.mDatagrams.size() == 1; });
    mBackend.Send(PacketBytes(kServiceAddress, kCaller, kSyn | kAck, 5000, 101),
                  { kAgentIp, kOutboundPort });
    mCallers.Send(PacketBytes(kCaller, kServiceAddress, kAck, 101, 5001),
                  { kEntryIp, kPacketPort });
    RunUntil([&] { return mBackend.mDatagrams.size() == 2; });
  }

  /// Sends SYNs of other callers until the agent notices that the backend
  /// server leaves them unanswered.
  void SendUnansweredSyns()
  {
    for (uint16_t port = 41000; port < 41003; ++port) {
      mCallers.Send(
        PacketBytes({ kCallerIp, port }, kServiceAddress, kSyn, 100, 0),
        { kEntryIp, kPacketPort });
    }
    RunFor(500ms);
  }

  /// Sends the first heartbeat, and waits until the entry instance has the
  /// record, the agent's state is complete, and the agent accepts flows: it
  /// does so 1.5 s after its record was created.
  void AnnounceBackend()
  {
    BOOST_TEST(SendHeartbeat("ready", 1) == 200U);
    RunUntil([&] {
      return mEntryNode.State().Backends().size() == 1 &&
             mAgentNode.State().Complete();
    });
    RunFor(1700ms);
  }

  asio::io_context mContext;
  soak::SoakStore mStore;
  Node mEntryNode;
  Node mAgentNode;
  EntryNode mEntry;
  AgentNode mAgent;
  DatagramRecorder mBackend;
  /// Open while the backend server runs.
  asio::ip::tcp::acceptor mBackendListener;
  DatagramRecorder mCallers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(NodeTest, Deployment)

BOOST_AUTO_TEST_CASE(FlowOpensBetweenCallerAndBackendServer)
{
  AnnounceBackend();
  BOOST_TEST(mStore.Count("backends") == 1U);
  BOOST_TEST(Call({ kEntryIp, kReadinessPort }, { "GET", "/-/ready", "" }) ==
             200U);
  mCallers.Send(PacketBytes(kCaller, kServiceAddress, kSyn, 100, 0),
                { kEntryIp, kPacketPort });
  RunUntil([&] { return mBackend.mDatagrams.size() == 1; });
  mBackend.Send(PacketBytes(kServiceAddress, kCaller, kSyn | kAck, 5000, 101),
                { kAgentIp, kOutboundPort });
  RunUntil([&] { return mCallers.mDatagrams.size() == 1; });
  // The reply arrives byte for byte as the backend server sent it.
  BOOST_TEST(mCallers.mDatagrams[0] ==
             PacketBytes(kServiceAddress, kCaller, kSyn | kAck, 5000, 101));
  mCallers.Send(PacketBytes(kCaller, kServiceAddress, kAck, 101, 5001),
                { kEntryIp, kPacketPort });
  RunUntil([&] { return mBackend.mDatagrams.size() == 2; });
}

BOOST_AUTO_TEST_CASE(FlowToDrainingServerIsRejectedAtOnce)
{
  AnnounceBackend();
  BOOST_TEST(SendHeartbeat("draining", 2) == 200U);
  mCallers.Send(PacketBytes(kCaller, kServiceAddress, kSyn, 100, 0),
                { kEntryIp, kPacketPort });
  RunUntil([&] { return mCallers.mDatagrams.size() == 1; });
  BOOST_TEST(mCallers.mDatagrams[0][8] == 16); // A reset.
  BOOST_TEST(mBackend.mDatagrams.empty());
}

// Guards against requests that reach a leaving server: its agent had taken the
// heartbeat of another program for that of a later incarnation, ignored the
// server's own heartbeats from then on, and acknowledged them.
BOOST_AUTO_TEST_CASE(HeartbeatWithoutAStartTimeDoesNotHideADrain)
{
  AnnounceBackend();
  OpenFlow();
  BOOST_TEST(SendHeartbeat("ready", 1, 0, "i-other") == 409U);
  BOOST_TEST(SendHeartbeat("ready", 900, 0) == 409U);
  mCallers.mDatagrams.clear();
  mCallers.Send(PacketBytes(kCaller, kServiceAddress, kAck, 101, 5001),
                { kEntryIp, kPacketPort });
  RunFor(200ms);
  BOOST_TEST(mCallers.mDatagrams.empty()); // No reset.
  BOOST_TEST(SendHeartbeat("draining", 2) == 200U);
  BOOST_TEST(!OpensNewFlow(42000));
}

// Guards against the same after the time of day stepped back: the start time of
// the next incarnation is earlier than that of the one before.
BOOST_AUTO_TEST_CASE(DrainAfterAClockStepIsNotAcknowledgedWithoutEffect)
{
  AnnounceBackend();
  int sequence = 0;
  const uint64_t earlier = kStartTime - 5000;
  BOOST_TEST(SendHeartbeat("draining", ++sequence, earlier, "i-2") == 409U);
  const auto acknowledged = [&] {
    RunFor(700ms);
    return SendHeartbeat("draining", ++sequence, earlier, "i-2") == 200U;
  };
  BOOST_TEST((acknowledged() || acknowledged() || acknowledged()));
  BOOST_TEST(!OpensNewFlow(42000));
}

// A stopping entry instance fails its readiness probe, but still forwards the
// packets that it receives.
BOOST_AUTO_TEST_CASE(StoppingEntryInstanceForwards)
{
  AnnounceBackend();
  mEntry.StartShutdown();
  BOOST_TEST(Call({ kEntryIp, kReadinessPort }, { "GET", "/-/ready", "" }) ==
             503U);
  mCallers.Send(PacketBytes(kCaller, kServiceAddress, kSyn, 100, 0),
                { kEntryIp, kPacketPort });
  RunUntil([&] { return mBackend.mDatagrams.size() == 1; });
}

// A flow that arrives at an instance without state of it, after its backend
// server restarted: the caller must not wait for its request timeout.
BOOST_AUTO_TEST_CASE(FlowOfAnEndedServerIsReset)
{
  AnnounceBackend();
  mCallers.Send(PacketBytes(kCaller, kServiceAddress, kAck, 101, 5001),
                { kEntryIp, kPacketPort });
  RunUntil([&] { return mCallers.mDatagrams.size() == 1; });
  BOOST_TEST(mCallers.mDatagrams[0][8] == 16); // A reset.
  BOOST_TEST(mBackend.mDatagrams.empty());
}

// A server crashes and its machine runs on: a caller with an open flow must not
// wait for its request timeout.
BOOST_AUTO_TEST_CASE(FlowOfACrashedServerIsReset)
{
  AnnounceBackend();
  OpenFlow();
  mBackendListener.close();
  SendUnansweredSyns();
  mCallers.mDatagrams.clear();
  mCallers.Send(PacketBytes(kCaller, kServiceAddress, kAck, 101, 5001),
                { kEntryIp, kPacketPort });
  RunUntil([&] { return !mCallers.mDatagrams.empty(); });
  BOOST_TEST(mCallers.mDatagrams[0][8] == 16); // A reset.
}

// A server that is stopped or overloaded keeps its flows, so silence alone must
// not reset them.
BOOST_AUTO_TEST_CASE(FlowOfASilentServerIsNotReset)
{
  AnnounceBackend();
  OpenFlow();
  SendUnansweredSyns();
  RunFor(2600ms);
  const size_t forwarded = mBackend.mDatagrams.size();
  mCallers.mDatagrams.clear();
  mCallers.Send(PacketBytes(kCaller, kServiceAddress, kAck, 101, 5001),
                { kEntryIp, kPacketPort });
  RunUntil([&] { return mBackend.mDatagrams.size() > forwarded; });
  RunFor(200ms);
  BOOST_TEST(mCallers.mDatagrams.empty());
}

// The record of a server with open flows must stay while its agent stops:
// without it, entry instances would take the flows for lost.
BOOST_AUTO_TEST_CASE(StoppingAgentKeepsItsRecordWhileAFlowIsOpen)
{
  AnnounceBackend();
  OpenFlow();
  BOOST_TEST(SendHeartbeat("ready", 2) == 200U);
  mAgent.StartShutdown();
  RunFor(1s);
  BOOST_TEST(mStore.Count("backends") == 1U);
  BOOST_TEST(!mAgent.Stopped());
  BOOST_TEST((mEntryNode.State().Backends().begin()->second.mState ==
              cluster::BackendState::Draining));
  BOOST_TEST(Call({ kAgentIp, kControlPort },
                  { "POST", "/-/instances/i-1/deregister", "" }) == 200U);
  RunUntil([&] { return mStore.Count("backends") == 0; });
}

// Guards against a stopping agent that takes silence for the end of its server,
// as after a pause of either: without the record, entry instances would reset
// the server's open flows.
BOOST_AUTO_TEST_CASE(StoppingAgentOfASilentServerKeepsItsRecord)
{
  AnnounceBackend();
  OpenFlow();
  RunFor(2600ms);
  mAgent.StartShutdown();
  RunFor(500ms);
  BOOST_TEST(mStore.Count("backends") == 1U);
  BOOST_TEST(!mAgent.Stopped());
}

// A server deregistered while the store was away, and then its machine lost
// power: the record that was left makes owner lookups wait for an agent that is
// gone. The agent must remove it within the stop delay of 3 s.
BOOST_AUTO_TEST_CASE(StoppingAgentWithoutAServerRemovesALeftRecord)
{
  mBackendListener.close();
  StoreRecord(cluster::BackendState::Draining);
  RunUntil([&] { return mAgentNode.State().Backends().size() == 1; });
  mAgent.StartShutdown();
  RunFor(2900ms);
  BOOST_TEST(mStore.Count("backends") == 0U);
}

// The same for an agent that keeps running: its machine may be removed later
// without a signal.
BOOST_AUTO_TEST_CASE(RestartedAgentRemovesTheRecordOfAServerThatLeft)
{
  mBackendListener.close();
  StoreRecord(cluster::BackendState::Draining);
  RunUntil([&] { return mAgentNode.State().Backends().size() == 1; });
  RunUntil([&] { return mStore.Count("backends") == 0; });
}

// A crashed server is expected back. Without its record it would accept no flow
// for 1.5 s after its restart.
BOOST_AUTO_TEST_CASE(RestartedAgentKeepsTheRecordOfAServerThatCrashed)
{
  mBackendListener.close();
  StoreRecord(cluster::BackendState::Ready);
  RunUntil([&] { return mAgentNode.State().Backends().size() == 1; });
  RunFor(500ms);
  BOOST_TEST(mStore.Count("backends") == 1U);
}

BOOST_AUTO_TEST_CASE(StoppingAgentWithoutFlowsRemovesItsRecord)
{
  AnnounceBackend();
  mAgent.StartShutdown();
  RunUntil([&] { return mStore.Count("backends") == 0; });
  RunUntil([&] { return mAgent.Stopped(); });
}

// The agent restores a record that was removed from the store while its backend
// server is running, and removes it once the backend server deregisters.
BOOST_AUTO_TEST_CASE(RecordIsRestoredUntilDeregistration)
{
  AnnounceBackend();
  mStore.Remove("backends", ToString(Address{ kAgentIp, kPacketPort }));
  RunUntil([&] { return mStore.Count("backends") == 1; });
  BOOST_TEST(Call({ kAgentIp, kControlPort },
                  { "POST", "/-/instances/i-1/deregister", "" }) == 200U);
  RunUntil([&] { return mStore.Count("backends") == 0; });
}

BOOST_AUTO_TEST_CASE(MalformedInputIsCountedAndIgnored)
{
  AnnounceBackend();
  mCallers.Send({ 1, 2, 3 }, { kEntryIp, kPacketPort });
  mCallers.Send(std::vector<uint8_t>(40, 0xff), { kEntryIp, kPacketPort });
  mCallers.Send({ 1, 2, 3 }, { kAgentIp, kInternalPort });
  BOOST_TEST(Call({ kAgentIp, kControlPort },
                  { "POST", "/-/instances/i-1/heartbeat", "garbage" }) == 400U);
  RunUntil([&] {
    return mEntryNode.Metrics().mMalformedPackets.Value() == 1 &&
           mEntryNode.Metrics().mMalformedMessages.Value() == 1 &&
           mAgentNode.Metrics().mMalformedMessages.Value() == 1;
  });
  BOOST_TEST(SendHeartbeat("ready", 3) == 200U);
}

// Guards against nodes that stop following the store, or end, because another
// program wrote one odd record.
BOOST_AUTO_TEST_CASE(OddRecordsDoNotKeepNodesFromFollowingTheStore)
{
  json::value nested = 1;
  for (int level = 0; level < 100; ++level) {
    nested = json::array{ std::move(nested) };
  }
  const json::object odd = { { "service", "desk" },
                             { "agent", "127.0.0.9:99999" },
                             { "domain", "a" },
                             { "state", "ready" },
                             { "slots", 4 } };
  mStore.Put("backends", "127.0.0.9:99999", odd);
  mStore.Put("backends", "nested", nested);
  AnnounceBackend();
  mStore.Put("backends", "nested", json::array{ nested });
  mStore.Put("backends", "number", json::object{ { "slots", 1e300 } });
  StoreRecord(cluster::BackendState::Draining);
  // The agent restores its record, so changes are followed.
  RunUntil([&] {
    const auto& records = mEntryNode.State().Backends();
    return records.size() == 1 &&
           records.begin()->second.mState == cluster::BackendState::Ready;
  });
  BOOST_TEST(OpensNewFlow(42000));
}

// While the store is down, nodes forward packets by their last known state and
// call the store at a low rate.
BOOST_AUTO_TEST_CASE(FlowsAreForwardedDuringStoreOutage)
{
  AnnounceBackend();
  mStore.SetMode(soak::StoreMode::Busy);
  const size_t before = mStore.Calls();
  RunFor(1s);
  BOOST_TEST(mStore.Calls() - before < 60U);
  mCallers.Send(PacketBytes(kCaller, kServiceAddress, kSyn, 100, 0),
                { kEntryIp, kPacketPort });
  RunUntil([&] { return mBackend.mDatagrams.size() == 1; });
}

/// The agent can't connect to the store; the entry instance can.
struct AgentWithoutStoreDeployment : Deployment
{
  AgentWithoutStoreDeployment()
    : Deployment(Settings())
  {
  }

  static NodeSettings Settings()
  {
    NodeSettings settings = AgentSettings();
    settings.mStore = { kStoreIp, kStorePort + 1 }; // No listener.
    settings.mSeeds = { { kEntryIp, 1 } };
    return settings;
  }
};

// An agent that can't reach the store must read and publish through a peer.
BOOST_FIXTURE_TEST_CASE(AgentWithoutStoreIsServedByAPeer,
                        AgentWithoutStoreDeployment)
{
  AnnounceBackend();
  BOOST_TEST(mStore.Count("backends") == 1U);
  mCallers.Send(PacketBytes(kCaller, kServiceAddress, kSyn, 100, 0),
                { kEntryIp, kPacketPort });
  RunUntil([&] { return mBackend.mDatagrams.size() == 1; });
}

// Guards against a configuration that never reaches nodes on slow links: one of
// 3,000 routes takes about a second on a link of 10 Mbit/s, and a node that
// does not watch the store has no other source than its peers.
BOOST_AUTO_TEST_CASE(LargeConfigurationIsFetchedOnASlowLink)
{
  AnnounceBackend();
  cluster::Replica peer(
    [](std::string_view) { return std::optional<cluster::RouteConfig>(); });
  std::string config = R"({"version":9,"routes":[],"filler":")";
  config += std::string(100'000, 'x') + "\"}";
  const cluster::Revision revision(1'000'000);
  peer.ApplySnapshot(cluster::Part::Routes,
                     { revision,
                       { { "main", revision, config } },
                       mAgentNode.State().LatestEpoch() });
  const Address address{ kPeerIp, kInternalPort };
  SlowServer server(mContext,
                    address,
                    peer.EncodeSnapshot(cluster::Part::Routes),
                    10'000,
                    100ms);
  DatagramRecorder socket(mContext, address);
  cluster::GossipCore gossip(
    cluster::NodeIp(kPeerIp), cluster::NodeRole::Entry, {}, Instant(), 1);
  socket.Send(flow::EncodeMessage(gossip.MakeDigest(peer, Instant(), false)),
              { kAgentIp, kInternalPort });
  RunUntil([&] {
    return mAgentNode.State().Routes()->mVersion == cluster::ConfigVersion(9);
  });
}

BOOST_AUTO_TEST_CASE(MetricsAndStatusAreServed)
{
  AnnounceBackend();
  BOOST_TEST(Call({ kEntryIp, kInternalPort + 1 }, { "GET", "/metrics", "" }) ==
             200U);
  BOOST_TEST(Call({ kEntryIp, kInternalPort }, { "GET", "/status", "" }) ==
             200U);
  BOOST_TEST(Call({ kEntryIp, kInternalPort }, { "GET", "/nothing", "" }) ==
             404U);
}

// Guards against a status without the values that snipepost-flowctl overload
// reads.
BOOST_AUTO_TEST_CASE(StatusHasCapacityAndRefusals)
{
  AnnounceBackend();
  BOOST_TEST(SendHeartbeat("draining", 2) == 200U);
  BOOST_TEST(!OpensNewFlow(42000));
  const auto status = [this](uint32_t aIp) {
    return json::parse(
      Fetch({ aIp, kInternalPort }, { "GET", "/status", "" }).mBody);
  };
  const json::value agent = status(kAgentIp);
  BOOST_TEST(agent.at("service") == "desk");
  BOOST_TEST(agent.at("capacity").at("slots") == 4);
  BOOST_TEST(agent.at("capacity").at("waiting") == 0);
  BOOST_TEST(!agent.at("capacity").as_object().contains("serviceMs"));
  BOOST_TEST(
    status(kEntryIp).at("refused") ==
    json::parse(
      R"({"198.18.0.1:443":{"services":["desk"],"reasons":{"draining":1}}})"));
}

BOOST_AUTO_TEST_SUITE_END()
