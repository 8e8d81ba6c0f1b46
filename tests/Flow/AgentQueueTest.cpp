#include <boost/test/unit_test.hpp>

#include "tests/Flow/AgentFixture.h"

using namespace snipepost;
using namespace snipepost::flow;
using namespace std::chrono_literals;
using cluster::Part;
using cluster::Revision;

namespace {

struct UnscheduledFixture : AgentFixture
{
  UnscheduledFixture()
    : AgentFixture(false)
  {
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AgentQueueTest, AgentFixture)

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

// Guards against state of the port's earlier flow, whose late FIN arrives while
// the new flow waits: the new flow would count as load for 5 s if its caller
// chose another server.
BOOST_AUTO_TEST_CASE(LateFinDoesNotOpenTheWaitingFlow)
{
  FillServer();
  BOOST_REQUIRE((Offer(20) == Refusal::Queued));
  Packet fin = FromBackend(20, kService);
  fin.mFin = true;
  mCore->OnBackendPacket(fin, mBytes, mNow);
  Respond(1);
  BOOST_REQUIRE(mCore->WaitingFlows() == 0U);
  BOOST_TEST(mCore->Load() == 5U);
  mNow += 61ms;
  mCore->Expire(mNow);
  BOOST_TEST(mCore->Load() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
