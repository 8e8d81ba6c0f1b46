#include <boost/test/unit_test.hpp>

#include <snipepost/Flow/FlowAgentCore.h>

#include "tests/Flow/Samples.h"

using namespace snipepost;
using namespace snipepost::flow;
using namespace std::chrono_literals;
using cluster::NodeIp;
using cluster::Part;
using cluster::Revision;

namespace {

constexpr NodeIp kEntry(0x0a0000f1);

/// The more urgent of the two routes to the service desk.
constexpr Address kUrgentService{ 0xc6120002, 443 };

/// The sample configuration with an urgent route whose requests are not
/// idempotent.
std::optional<cluster::RouteConfig>
DecodeConfig(std::string_view aText)
{
  auto config = DecodeSampleConfig(aText);
  cluster::Route& route = config->mRoutes[kService];
  route.mPriority = 2;
  cluster::Route urgent = route;
  urgent.mPriority = 1;
  urgent.mKind = cluster::RequestKind::Unsafe;
  config->mRoutes[kUrgentService] = urgent;
  return config;
}

/// An agent of a backend server with two slots; the server, the entry instance
/// and the callers are emulated by the test.
struct Fixture : AgentOutput
{
  explicit Fixture(bool aScheduleFlows = true)
    : mReplica(&DecodeConfig)
  {
    FillReplica(mReplica, 3, 3, 2);
    AgentOptions options;
    options.mService = "desk";
    options.mDomain = "a";
    options.mScheduleFlows = aScheduleFlows;
    mCore = std::make_unique<FlowAgentCore>(
      options, mReplica, *this, mDecisions, mNow);
    SendHeartbeat();
  }

  void SendToBackend(std::span<const uint8_t> aBytes) override
  {
    mToBackend.push_back(aBytes.front());
  }
  void SendToCaller(std::span<const uint8_t>, const Address&) override {}
  void SendReset(const Packet&) override { ++mResets; }
  void SendToNode(NodeIp, const OfferReply& aReply) override
  {
    mReplies.push_back(aReply);
  }
  void SendToNode(NodeIp, const OwnerNotice&) override {}
  void SendToNode(NodeIp, const OwnerExclusion&) override {}

  void SendHeartbeat(Duration aColdRemaining = {})
  {
    Heartbeat heartbeat;
    heartbeat.mId = "i";
    heartbeat.mService = "desk";
    heartbeat.mSlots = 2;
    heartbeat.mStartTime = 5;
    heartbeat.mSequence = ++mSequence;
    heartbeat.mColdRemaining = aColdRemaining;
    mCore->OnHeartbeat(heartbeat, mNow);
  }

  /// Makes the final offer of a flow; aPort is also the packet's first byte.
  Refusal Offer(uint8_t aPort,
                const Address& aService = kService,
                uint32_t aRetransmission = 0,
                bool aReadsWaits = true)
  {
    Packet syn = SynPacket({ kCaller.mIp, aPort }, 100, aRetransmission);
    syn.mDestination = aService;
    syn.mServiceTag = ServiceTag("desk");
    syn.mMark = TransitMark::OfferFinal;
    syn.mOfferedToCandidate = true;
    syn.mReadsWaits = aReadsWaits;
    const std::vector<uint8_t> bytes(32, aPort);
    const size_t replies = mReplies.size();
    mCore->OnNodePacket(syn, bytes, kEntry, mNow);
    return mReplies.size() > replies ? mReplies.back().mRefusal : Refusal::None;
  }

  /// Opens a flow that was forwarded, and sends its request.
  void Open(uint8_t aPort, const Address& aService = kService)
  {
    Packet synAck = FromBackend(aPort, aService);
    synAck.mSyn = true;
    synAck.mSequence = 5000;
    mCore->OnBackendPacket(synAck, mBytes, mNow);
    Packet data = CallerData({ kCaller.mIp, aPort }, 5001, 10);
    data.mDestination = aService;
    mCore->OnNodePacket(data, mBytes, kEntry, mNow);
  }

  void Respond(uint8_t aPort, const Address& aService = kService)
  {
    Packet response = FromBackend(aPort, aService);
    response.mLength = 100;
    mCore->OnBackendPacket(response, mBytes, mNow);
  }

  static Packet FromBackend(uint8_t aPort, const Address& aService)
  {
    Packet packet;
    packet.mSource = aService;
    packet.mDestination = { kCaller.mIp, aPort };
    packet.mAck = true;
    return packet;
  }

  /// Occupies the two slots and the look-ahead with the flows 1 to 5.
  void FillServer()
  {
    for (const uint8_t port : { 1, 2, 3, 4, 5 }) {
      BOOST_REQUIRE((Offer(port) == Refusal::None));
      Open(port);
    }
    mToBackend.clear();
  }

  std::vector<uint8_t> mBytes = std::vector<uint8_t>(32);
  cluster::Replica mReplica;
  FakeDecisions mDecisions;
  std::vector<uint8_t> mToBackend;
  std::vector<OfferReply> mReplies;
  size_t mResets = 0;
  uint64_t mSequence = 0;
  Instant mNow{ 10s };
  std::unique_ptr<FlowAgentCore> mCore;
};

struct UnscheduledFixture : Fixture
{
  UnscheduledFixture()
    : Fixture(false)
  {
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AgentQueueTest, Fixture)

// Guards against urgent requests that wait behind others in the server's queue.
BOOST_AUTO_TEST_CASE(UrgentFlowLeavesTheQueueFirst)
{
  FillServer();
  BOOST_TEST((Offer(10) == Refusal::Queued));
  BOOST_TEST((Offer(11, kUrgentService) == Refusal::Queued));
  BOOST_TEST(mToBackend.empty());
  Respond(1);
  BOOST_TEST(mToBackend == std::vector<uint8_t>{ 11 });
  Open(11, kUrgentService);
  mToBackend.clear();
  Respond(2);
  BOOST_TEST(mToBackend == std::vector<uint8_t>{ 10 });
}

// Guards against callers that wait although their response would be late, and
// against refusals without the expected waits of other priorities.
BOOST_AUTO_TEST_CASE(FlowThatWouldBeLateIsRefusedAtOnce)
{
  FillServer();
  uint8_t port = 10;
  while (Offer(port) == Refusal::Queued) {
    ++port;
  }
  BOOST_TEST(port > 11); // Some wait.
  BOOST_TEST((mReplies.back().mRefusal == Refusal::Full));
  BOOST_REQUIRE(mReplies.back().mWaits.size() == 2U);
  BOOST_TEST(mReplies.back().mWaits[0].mPriority == 1);
  BOOST_TEST(
    (mReplies.back().mWaits[0].mWait < mReplies.back().mWaits[1].mWait));
  // There is room for an urgent flow.
  BOOST_TEST((Offer(200, kUrgentService) == Refusal::Queued));
}

// Guards against a second flow at the server for one caller, and against a
// caller that waits for an agent which it takes for dead.
BOOST_AUTO_TEST_CASE(RetransmissionOfAWaitingSynIsAnswered)
{
  FillServer();
  Offer(10);
  mNow += 20ms;
  BOOST_TEST((Offer(10, kService, 1) == Refusal::Queued));
  BOOST_TEST(mCore->WaitingFlows() == 1U);
}

// A waiting flow must not be kept by a server that gets no new work.
BOOST_AUTO_TEST_CASE(EvacuationRefusesTheWaitingFlows)
{
  FillServer();
  Offer(10);
  mReplica.ApplyChanges(
    Part::Evacuations, { { "a", Revision(2), "{}" } }, Revision(2));
  mCore->OnTimer(mNow);
  BOOST_TEST((mReplies.back().mRefusal == Refusal::Evacuated));
  Respond(1);
  BOOST_TEST(mToBackend.empty());
  BOOST_TEST(mResets == 0U);
}

// Guards against silence: a flow that became late while no packet arrived.
BOOST_AUTO_TEST_CASE(LateFlowGivesWayOnTime)
{
  FillServer();
  Offer(10);
  mNow += 190ms;
  Offer(11);
  mNow += 20ms;
  BOOST_REQUIRE(mCore->NextDeadline().has_value());
  BOOST_TEST((*mCore->NextDeadline() <= mNow));
  mCore->OnTimer(mNow);
  BOOST_TEST((mReplies.back().mRefusal == Refusal::Full));
  BOOST_TEST(mReplies.back().mFlow.mCaller.mPort == 10);
  BOOST_TEST(mCore->WaitingFlows() == 1U);
}

// An entry instance of the previous version can't decode that a flow waits.
BOOST_AUTO_TEST_CASE(FlowOfAPreviousEntryInstanceDoesNotWait)
{
  FillServer();
  BOOST_TEST((Offer(10, kService, 0, false) == Refusal::None));
  BOOST_TEST(mToBackend.size() == 1U);
  BOOST_TEST(mCore->WaitingFlows() == 0U);
}

BOOST_FIXTURE_TEST_CASE(SettingSwitchesTheQueueOff, UnscheduledFixture)
{
  FillServer();
  BOOST_TEST((Offer(10) == Refusal::None));
  BOOST_TEST(mCore->WaitingFlows() == 0U);
  BOOST_TEST(!mReplies.back().mAnnouncesWaits);
}

BOOST_AUTO_TEST_SUITE_END()
