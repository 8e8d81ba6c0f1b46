#include "tests/Flow/AgentFixture.h"

using namespace snipepost;
using namespace snipepost::flow;
using namespace std::chrono_literals;
using cluster::Part;
using cluster::Revision;

namespace {

using Ids = std::vector<uint8_t>;

constexpr Duration kServiceTime = 2ms;

/// Open flows 1 to 5, whose requests use the two slots and the look-ahead, and
/// idle flows 6, 7 and, of the urgent route, 9.
struct Fixture : AgentFixture
{
  explicit Fixture(bool aScheduleFlows = true)
    : AgentFixture(aScheduleFlows)
  {
    for (const uint8_t port : { 1, 2, 3, 4, 5, 6, 7 }) {
      OpenIdle(port);
    }
    OpenIdle(9, kUrgentService);
    for (const uint8_t port : { 1, 2, 3, 4, 5 }) {
      Send(port, 10);
    }
    BOOST_REQUIRE(mCore->Load() == 5U);
    mIdsToBackend.clear();
  }

  void OpenIdle(uint8_t aPort, const Address& aService = kService)
  {
    Offer(aPort, aService);
    Open(aPort, aService);
    mNow += kServiceTime;
    Respond(aPort, aService);
  }

  Packet Data(uint8_t aPort, uint32_t aSequence) const
  {
    Packet packet = CallerData({ kCaller.mIp, aPort }, 5001, 10);
    packet.mDestination = aPort == 9 ? kUrgentService : kService;
    packet.mSequence = aSequence;
    return packet;
  }
  /// Passes a packet whose bytes end with aId.
  void Pass(const Packet& aPacket, uint8_t aId)
  {
    mCore->OnNodePacket(aPacket, Ids(32, aId), kEntry, mNow);
  }
  /// Sends data; its bytes end with the flow's port + aSequence.
  void Send(uint8_t aPort, uint32_t aSequence)
  {
    Pass(Data(aPort, aSequence), static_cast<uint8_t>(aPort + aSequence));
  }
  /// The new agent does not know the flows that are open at the server.
  void RestartAgent()
  {
    AgentOptions options;
    options.mService = "desk";
    options.mDomain = "a";
    mCore = std::make_unique<FlowAgentCore>(
      options, mReplica, *this, mDecisions, mNow);
  }
  void SetRoutes(std::string_view aVersion)
  {
    mReplica.ApplyChanges(Part::Routes,
                          { { "main", Revision(2), std::string(aVersion) } },
                          Revision(2));
  }
};

struct UnscheduledFixture : Fixture
{
  UnscheduledFixture()
    : Fixture(false)
  {
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AgentRequestsTest, Fixture)

// Guards against urgent requests that wait behind others in the server's queue,
// and against packets that are reordered, repeated or lost while they wait.
BOOST_AUTO_TEST_CASE(PacketsOfWaitingRequestsLeaveInOrder)
{
  Send(6, 10);
  Send(6, 20);
  Send(6, 10);
  Packet fin = Data(6, 30);
  fin.mLength = 0;
  fin.mFin = true;
  Pass(fin, 36);
  Send(9, 10);
  Packet ack = Data(7, 10);
  ack.mLength = 0;
  Pass(ack, 99);
  BOOST_TEST(mIdsToBackend == Ids{ 99 });
  BOOST_TEST(mCore->WaitingRequests() == 2U);
  BOOST_TEST(mCore->Load() == 5U);
  BOOST_TEST(mCore->OpenFlows() == 8U);
  Respond(1);
  BOOST_TEST((mIdsToBackend == Ids{ 99, 19 }));
  Respond(2);
  BOOST_TEST((mIdsToBackend == Ids{ 99, 19, 16, 26, 36 }));
  BOOST_TEST(mCore->Load() == 5U);
}

// Guards against load that counts a retransmission which crossed the response.
BOOST_AUTO_TEST_CASE(RetransmissionAfterTheResponseIsNoRequest)
{
  Respond(1);
  Send(6, 10);
  Send(1, 10);
  BOOST_TEST((mIdsToBackend == Ids{ 16, 11 }));
  Respond(2);
  BOOST_TEST(mCore->Load() == 4U);
}

// Guards against new flows that take the slots which open flows wait for, and
// against urgent new flows that wait behind them.
BOOST_AUTO_TEST_CASE(NewFlowsAndRequestsShareOneOrder)
{
  Send(6, 10);
  mNow += 1ms;
  BOOST_TEST((Offer(20) == Refusal::Queued));
  BOOST_TEST((mReplies.back().mWaits[1].mWait >= kServiceTime));
  BOOST_TEST(mReplies.back().mLoad == 5U);
  BOOST_TEST((Offer(21, kUrgentService) == Refusal::Queued));
  Respond(1);
  Respond(2);
  Respond(3);
  BOOST_TEST((mIdsToBackend == Ids{ 21, 16, 20 }));
}

// Guards against service times that include the wait at the agent.
BOOST_AUTO_TEST_CASE(WaitIsNoServiceTime)
{
  Send(9, 10);
  mNow += 100ms;
  for (const uint8_t port : { 1, 2, 3, 4, 5 }) {
    Respond(port);
  }
  mNow += kServiceTime;
  Respond(9, kUrgentService);
  BOOST_TEST((mCore->Scheduler().Capacity().ServiceTime(kUrgentService) ==
              kServiceTime));
}

// Guards against an open flow that is blocked for longer than half of its
// route's timeout, 1.25 s, or that expires while its request waits.
BOOST_AUTO_TEST_CASE(RequestIsForwardedAfterItsBound)
{
  Send(6, 10);
  BOOST_TEST(mCore->NextDeadline().has_value());
  mNow += 1249ms;
  mCore->OnTimer(mNow);
  BOOST_TEST(mIdsToBackend.empty());
  mNow += 1ms;
  mCore->OnTimer(mNow);
  BOOST_TEST(mIdsToBackend == Ids{ 16 });
}

BOOST_AUTO_TEST_CASE(FlowDoesNotExpireWhileItsRequestWaits)
{
  SetRoutes(kPatientVersion);
  Send(6, 10);
  mNow += 20s;
  mCore->Expire(mNow);
  mCore->OnTimer(mNow);
  BOOST_TEST(mIdsToBackend == Ids{ 16 });
}

// Guards against a flow that expires while the server processes a request that
// has waited for longer than a flow may be idle: later packets of the flow
// would be taken for those of a flow that the server does not own.
BOOST_AUTO_TEST_CASE(FlowDoesNotExpireAfterItsRequestWaited)
{
  SetRoutes(kPatientVersion);
  Send(6, 10);
  mNow += 31s;
  mCore->OnTimer(mNow);
  mCore->Expire(mNow);
  BOOST_TEST(mCore->Load() == 1U);
  BOOST_TEST(mCore->OpenFlows() == 1U);
}

// Guards against a request that waits until the next timer although the load
// consists of half-open flows whose callers have chosen other servers.
BOOST_AUTO_TEST_CASE(AbandonedHalfOpenFlowsHoldNoRequest)
{
  for (const uint8_t port : { 1, 2, 3, 4, 5 }) {
    Respond(port);
  }
  for (const uint8_t port : { 20, 21, 22, 23, 24 }) {
    BOOST_REQUIRE((Offer(port) == Refusal::None));
  }
  BOOST_REQUIRE(mCore->Load() == 5U);
  mIdsToBackend.clear();
  mNow += 61ms;
  Send(6, 10);
  BOOST_TEST(mIdsToBackend == Ids{ 16 });
  BOOST_TEST(mCore->Load() == 1U);
}

// Guards against a server that seems fast to entry instances because it rejects
// requests.
BOOST_AUTO_TEST_CASE(ResetsAreNoServiceTimes)
{
  const auto before = mCore->Scheduler().Capacity().MeasuredServiceTime();
  BOOST_REQUIRE(before.has_value());
  for (const uint8_t port : { 1, 2, 3, 4, 5 }) {
    Packet reset = FromBackend(port, kService);
    reset.mReset = true;
    mCore->OnBackendPacket(reset, mBytes, mNow);
  }
  BOOST_TEST(mCore->Load() == 0U);
  BOOST_TEST((mCore->Scheduler().Capacity().MeasuredServiceTime() == before));
}

// Guards against load that counts a retransmission which crossed the response,
// on a flow that was opened before the agent started.
BOOST_AUTO_TEST_CASE(RetransmissionOnAnEarlierFlowIsNoRequest)
{
  RestartAgent();
  SendHeartbeat();
  BOOST_REQUIRE((Offer(20) == Refusal::None));
  Send(6, 10);
  Respond(6);
  Send(6, 10);
  BOOST_TEST(mCore->Load() == 1U);
  Send(6, 20);
  BOOST_TEST(mCore->Load() == 2U);
}

// Guards against requests that wait for slots which the server has: before the
// first heartbeat the agent does not know their number and assumes one.
BOOST_AUTO_TEST_CASE(RequestsDoNotWaitBeforeTheFirstHeartbeat)
{
  RestartAgent();
  for (const uint8_t port : { 1, 2, 3, 4 }) {
    Respond(port);
    Send(port, 10);
  }
  BOOST_TEST((mIdsToBackend == Ids{ 11, 12, 13, 14 }));
}

// Guards against requests that are kept back from a server that drains or
// fails, or after a configuration has switched scheduling off.
BOOST_AUTO_TEST_CASE(RequestsDoNotWaitForADrainingServer)
{
  Send(6, 10);
  mCore->RefuseNewFlows();
  mCore->OnTimer(mNow);
  Send(7, 10);
  BOOST_TEST((mIdsToBackend == Ids{ 16, 17 }));
}

BOOST_AUTO_TEST_CASE(RequestsDoNotWaitForAFailingServer)
{
  Send(6, 10);
  Send(7, 10);
  Packet reset = FromBackend(1, kService);
  reset.mReset = true;
  mCore->OnBackendPacket(reset, mBytes, mNow);
  BOOST_TEST((mIdsToBackend == Ids{ 16, 17 }));
}

BOOST_AUTO_TEST_CASE(RequestsDoNotWaitWithEqualPriorities)
{
  Send(6, 10);
  SetRoutes(kEqualVersion);
  mCore->OnTimer(mNow);
  Send(7, 10);
  BOOST_TEST((mIdsToBackend == Ids{ 16, 17 }));
}

BOOST_FIXTURE_TEST_CASE(SettingSwitchesTheQueueOff, UnscheduledFixture)
{
  Send(6, 10);
  BOOST_TEST(mIdsToBackend == Ids{ 16 });
}

// Guards against packets that are lost when the server no longer holds the
// flow, or when its port is used again: nothing shows that they were not
// needed.
BOOST_AUTO_TEST_CASE(EndedFlowForwardsItsRequestFirst)
{
  Send(6, 10);
  Packet returned = Data(6, 10);
  returned.mReturned = true;
  mCore->OnBackendPacket(returned, mBytes, mNow);
  BOOST_TEST(mIdsToBackend == Ids{ 16 });
  BOOST_TEST(mCore->Load() == 5U);
  Send(7, 10);
  Packet fin = FromBackend(7, kService);
  fin.mFin = true;
  mCore->OnBackendPacket(fin, mBytes, mNow);
  BOOST_TEST((mIdsToBackend == Ids{ 16, 17 }));
  Send(9, 10);
  Packet syn = SynPacket({ kCaller.mIp, 9 }, 777);
  syn.mDestination = kUrgentService;
  Pass(syn, 50);
  BOOST_TEST(mIdsToBackend.at(2) == 19);
  BOOST_TEST(mCore->WaitingRequests() == 0U);
}

// Guards against a request that runs although its caller has given up.
BOOST_AUTO_TEST_CASE(ResetIsForwardedAlone)
{
  Send(6, 10);
  Packet reset = Data(6, 20);
  reset.mLength = 0;
  reset.mReset = true;
  Pass(reset, 26);
  BOOST_TEST(mCore->WaitingRequests() == 0U);
  Respond(1);
  BOOST_TEST(mIdsToBackend == Ids{ 26 });
  BOOST_TEST(mCore->OpenFlows() == 7U);
}

// Guards against callers that wait for an ended server, and against requests
// that its next incarnation gets.
BOOST_AUTO_TEST_CASE(EndedServerResetsTheWaitingFlows)
{
  Send(6, 10);
  mCore->OnBackendEnded();
  BOOST_TEST(mResets == 1U);
  BOOST_TEST(mCore->WaitingRequests() == 0U);
  SendHeartbeat();
  mCore->OnTimer(mNow);
  Send(6, 10);
  BOOST_TEST(mResets == 2U);
  BOOST_TEST(mIdsToBackend.empty());
}

// Guards against requests that reach an evacuated server after the grace, and
// against ones that are refused or forgotten before.
BOOST_AUTO_TEST_CASE(EvacuationGraceAppliesToWaitingRequests)
{
  SetRoutes(kPatientVersion);
  Send(6, 10);
  Send(7, 10);
  mReplica.ApplyChanges(
    Part::Evacuations, { { "a", Revision(3), "{}" } }, Revision(3));
  mCore->OnTimer(mNow);
  Respond(1);
  BOOST_TEST(mIdsToBackend == Ids{ 16 });
  mNow += 2500ms;
  Respond(2);
  BOOST_TEST(mIdsToBackend == Ids{ 16 });
  BOOST_TEST(mCore->WaitingRequests() == 0U);
  BOOST_TEST(mResets == 0U);
  // The caller's retransmission is forwarded when the evacuation has ended.
  mReplica.ApplySnapshot(Part::Evacuations, { Revision(4), {} });
  Send(7, 10);
  BOOST_TEST((mIdsToBackend == Ids{ 16, 17 }));
}

// Guards against open flows that the limit of a cold server holds back.
BOOST_AUTO_TEST_CASE(ColdServerLimitsOnlyNewFlows)
{
  SendHeartbeat(5s);
  Send(6, 10);
  Respond(1);
  BOOST_TEST(mIdsToBackend == Ids{ 16 });
}

BOOST_AUTO_TEST_SUITE_END()
