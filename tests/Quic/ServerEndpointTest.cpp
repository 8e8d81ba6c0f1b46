#include <boost/test/unit_test.hpp>

#include "tests/Quic/FakeNetwork.h"

using namespace snipepost;
using namespace snipepost::test;
using std::chrono::seconds;

namespace {

bool
AllCompleted(const TestCaller& aCaller, size_t aCount)
{
  size_t completed = 0;
  for (const auto& [stream, outcome] : aCaller.mOutcomes) {
    completed += outcome.mEnded || outcome.mRejected || outcome.mBroken ? 1 : 0;
  }
  return completed == aCount;
}

TestCaller&
Connect(FakeNetwork& aNetwork)
{
  TestCaller& caller = aNetwork.AddCaller();
  BOOST_REQUIRE(
    aNetwork.RunUntil([&] { return caller.mConnected; }, seconds(10)));
  return caller;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerEndpointTest)

// Guards against truncated or mixed-up responses on several streams when
// datagrams are lost, duplicated and reordered.
BOOST_AUTO_TEST_CASE(P5_LossDuplicationReordering_WholeResponses)
{
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      FakeNetwork network(seed);
      network.mFaults = { 0.05, 0.05, 0.1, 0 };
      TestCaller& caller = Connect(network);
      const std::vector<size_t> sizes{ 0, 1, 1200, 65536, 300000, 1000 };
      std::map<StreamId, size_t> expected;
      for (size_t size : sizes) {
        const auto stream = caller.Get("/bytes/" + std::to_string(size));
        BOOST_REQUIRE(stream);
        expected[*stream] = size;
      }
      const auto upload = TestBytes(200000);
      const auto echo = caller.Post("/echo", upload);
      BOOST_REQUIRE(echo);
      expected[*echo] = upload.size();
      BOOST_TEST(network.RunUntil(
        [&] { return AllCompleted(caller, expected.size()); }, seconds(120)));
      for (const auto& [stream, size] : expected) {
        const Outcome& outcome = caller.mOutcomes[stream];
        BOOST_TEST(outcome.mEnded);
        BOOST_TEST(outcome.mStatus == "200");
        BOOST_TEST((outcome.mBody == TestBytes(size)));
      }
      BOOST_TEST(network.mAcceptedConnections == 1);
    }
  }
}

// Guards against a rejected request that the caller reports as broken, and
// against a rejection that affects other streams.
BOOST_AUTO_TEST_CASE(P6_Reject_RequestIsReportedAsNotRun)
{
  FakeNetwork network(1);
  TestCaller& caller = Connect(network);
  const auto rejected = caller.Post("/reject", TestBytes(100000));
  const auto served = caller.Get("/bytes/5000");
  BOOST_REQUIRE(rejected && served);
  BOOST_TEST(
    network.RunUntil([&] { return AllCompleted(caller, 2); }, seconds(10)));
  BOOST_TEST(caller.mOutcomes[*rejected].mRejected);
  BOOST_TEST(!caller.mOutcomes[*rejected].mBroken);
  BOOST_TEST((caller.mOutcomes[*served].mBody == TestBytes(5000)));
}

// Guards against a graceful shutdown that aborts a request in progress.
BOOST_AUTO_TEST_CASE(P9_Goaway_RequestInProgressCompletes)
{
  FakeNetwork network(2);
  network.mFaults = { 0.02, 0.02, 0.05, 0 };
  TestCaller& caller = Connect(network);
  const auto held = caller.Get("/hold");
  BOOST_REQUIRE(held);
  BOOST_REQUIRE(network.RunUntil([&] { return !network.mRequestPaths.empty(); },
                                 seconds(5)));
  network.mServer->SendShutdownNotice();
  BOOST_TEST(
    network.RunUntil([&] { return !caller.mGoaways.empty(); }, seconds(5)));
  BOOST_TEST(!caller.Get("/bytes/1"));
  network.mServer->SendGoaway();
  BOOST_TEST(
    network.RunUntil([&] { return caller.mGoaways.size() == 2; }, seconds(5)));
  BOOST_TEST((caller.mGoaways.back() > *held));
  network.RespondToHeld(150000);
  BOOST_TEST(
    network.RunUntil([&] { return AllCompleted(caller, 1); }, seconds(60)));
  BOOST_TEST((caller.mOutcomes[*held].mBody == TestBytes(150000)));
  BOOST_TEST(caller.mOutcomes[*held].mEnded);
}

// Guards against a request that is sent before the final GOAWAY arrives and is
// neither processed nor reported as rejected.
BOOST_AUTO_TEST_CASE(P6_GoawayCrossesRequest_RequestIsReportedAsNotRun)
{
  FakeNetwork network(3);
  TestCaller& caller = Connect(network);
  network.mServer->SendGoaway();
  const auto late = caller.Get("/bytes/10");
  BOOST_REQUIRE(late);
  BOOST_TEST(
    network.RunUntil([&] { return AllCompleted(caller, 1); }, seconds(10)));
  BOOST_TEST(caller.mOutcomes[*late].mRejected);
  BOOST_TEST(network.mRequestPaths.empty());
}

// Guards against retransmitted datagrams of the handshake that create a second
// connection.
BOOST_AUTO_TEST_CASE(HandshakeDatagramsRepeated_OneConnection)
{
  FakeNetwork network(4);
  network.mRecord = true;
  TestCaller& caller = Connect(network);
  const auto first = network.mRecorded;
  for (int round = 0; round < 50; ++round) {
    for (const auto& datagram : first) {
      network.Inject(datagram, caller.mAddress);
    }
    network.Run(std::chrono::milliseconds(100));
  }
  BOOST_TEST(network.mAcceptedConnections == 1);
  BOOST_TEST(network.mServer->ConnectionCount() == 1);
  const auto stream = caller.Get("/bytes/100");
  BOOST_REQUIRE(stream);
  BOOST_TEST(
    network.RunUntil([&] { return AllCompleted(caller, 1); }, seconds(10)));
  BOOST_TEST(caller.mOutcomes[*stream].mEnded);
}

// Guards against callers that wait for the idle timeout of 30 s after a restart
// of the server.
BOOST_AUTO_TEST_CASE(ServerRestarted_StatelessResetEndsTheFlow)
{
  FakeNetwork network(9);
  TestCaller& caller = Connect(network);
  network.Run(seconds(1));
  network.RestartServer();
  BOOST_REQUIRE(caller.Get("/bytes/1000"));
  network.RunUntil([&] { return caller.mCloseReason.has_value(); }, seconds(1));
  BOOST_TEST(caller.mCloseReason.has_value());
  BOOST_TEST(AllCompleted(caller, 1));
}

// Guards against a refused caller that waits for its handshake timeout, and
// against state of a refused connection that stays on the server.
BOOST_AUTO_TEST_CASE(Refuse_CallerIsNotifiedAtOnce)
{
  FakeNetwork network(5);
  network.mRefuseAll = true;
  TestCaller& caller = network.AddCaller();
  BOOST_TEST(network.RunUntil([&] { return caller.mCloseReason.has_value(); },
                              seconds(1)));
  BOOST_TEST((caller.mCloseReason == ClientCloseReason::Refused));
  BOOST_TEST(network.mServer->ConnectionCount() == 0);
}

// Guards against a connection limit that is not enforced.
BOOST_AUTO_TEST_CASE(ConnectionLimit_LaterInitialIsNotAccepted)
{
  QuicLimits limits;
  limits.mConnections = 1;
  FakeNetwork network(6, limits);
  Connect(network);
  TestCaller& second = network.AddCaller();
  network.Run(seconds(2));
  BOOST_TEST(!second.mConnected);
  BOOST_TEST(network.mServer->ConnectionCount() == 1);
}

// Guards against header fields that take unbounded memory on the server.
BOOST_AUTO_TEST_CASE(HeaderLimit_RequestIsRejected)
{
  QuicLimits limits;
  limits.mHeaderBytes = 1000;
  FakeNetwork network(7, limits);
  TestCaller& caller = Connect(network);
  const auto stream = caller.Get("/" + std::string(2000, 'x'));
  BOOST_REQUIRE(stream);
  BOOST_TEST(
    network.RunUntil([&] { return AllCompleted(caller, 1); }, seconds(5)));
  BOOST_TEST(caller.mOutcomes[*stream].mRejected);
  BOOST_TEST(network.mRequestPaths.empty());
}

// Guards against more requests in progress than the limit, and against stream
// credit that is not returned when requests have finished.
BOOST_AUTO_TEST_CASE(StreamLimit_CreditIsReturned)
{
  FakeNetwork network(8);
  TestCaller& caller = Connect(network);
  network.Run(seconds(1));
  size_t submitted = 0;
  for (int round = 0; round < 10; ++round) {
    while (caller.Get("/bytes/10")) {
      ++submitted;
    }
    BOOST_TEST(network.mServer->RequestCount(network.mOpenConnections.at(0)) <=
               16);
    network.Run(seconds(1));
  }
  BOOST_TEST(submitted == 160);
  BOOST_TEST(AllCompleted(caller, submitted));
  BOOST_TEST(network.mDoneRequests == submitted);
}

// Guards against a whole response being buffered in memory because its caller
// reads slowly or not at all.
BOOST_AUTO_TEST_CASE(SlowCaller_SendBufferBounded)
{
  FakeNetwork network(13);
  TestCaller& caller = Connect(network);
  const auto stream = caller.Get("/bytes/1000000");
  BOOST_REQUIRE(stream);
  BOOST_REQUIRE(network.RunUntil([&] { return network.mMaxBytesAccepted > 0; },
                                 seconds(5)));
  network.mFaults.mLoss = 1;
  network.Run(seconds(5));
  BOOST_TEST(network.mMaxBytesAccepted <= QuicLimits{}.mSendBuffer);
  network.mFaults.mLoss = 0;
  BOOST_TEST(
    network.RunUntil([&] { return AllCompleted(caller, 1); }, seconds(60)));
  BOOST_TEST(network.mMaxBytesAccepted <= QuicLimits{}.mSendBuffer);
  BOOST_TEST((caller.mOutcomes[*stream].mBody == TestBytes(1000000)));
}

// Guards against the server buffering more of a request's body than the flow
// control window while its backend server doesn't accept it.
BOOST_AUTO_TEST_CASE(SlowBackend_RequestBodyBounded)
{
  FakeNetwork network(14);
  network.mConsume = false;
  TestCaller& caller = Connect(network);
  BOOST_REQUIRE(caller.Post("/hold", TestBytes(500000)));
  network.Run(seconds(5));
  BOOST_TEST(network.mRequestBodyBytes > 0);
  BOOST_TEST(network.mRequestBodyBytes <= QuicLimits{}.mStreamWindow);
}

// Guards against a server that continues a request after the caller cancelled
// it.
BOOST_AUTO_TEST_CASE(Cancel_ServerIsNotified)
{
  FakeNetwork network(9);
  TestCaller& caller = Connect(network);
  const auto stream = caller.Get("/hold");
  BOOST_REQUIRE(stream);
  network.Run(seconds(1));
  caller.mConnection->Cancel(*stream);
  BOOST_TEST(network.RunUntil([&] { return network.mCancelledRequests == 1; },
                              seconds(2)));
}

// Guards against idle connections that time out although the caller is
// reachable, and against connections of unreachable callers that are never
// removed.
BOOST_AUTO_TEST_CASE(IdleTimeout_OnlyUnreachableCallers)
{
  FakeNetwork network(10);
  Connect(network);
  network.Run(seconds(300));
  BOOST_TEST(network.mServer->ConnectionCount() == 1);
  network.mFaults.mLoss = 1;
  network.Run(seconds(60));
  BOOST_TEST(network.mServer->ConnectionCount() == 0);
  BOOST_TEST((network.mCloseReasons.at(0) == FlowCloseReason::TimedOut));
}

// Guards against a caller that detects a close only by its idle timeout when
// the CONNECTION_CLOSE is lost, and against connection IDs that are never
// released.
BOOST_AUTO_TEST_CASE(Close_PacketIsRetransmittedAndStateReleased)
{
  FakeNetwork network(11);
  network.mRecord = true;
  TestCaller& caller = Connect(network);
  network.Run(seconds(1));
  const auto stream = caller.Get("/hold");
  BOOST_REQUIRE(stream);
  network.Run(seconds(1));
  network.mFaults.mLoss = 1;
  network.mServer->CloseAll(Http3Error::NoError);
  network.Run(std::chrono::microseconds(10));
  network.mFaults.mLoss = 0;
  caller.Get("/bytes/1");
  BOOST_TEST(network.RunUntil([&] { return caller.mCloseReason.has_value(); },
                              seconds(1)));
  BOOST_TEST((caller.mCloseReason == ClientCloseReason::ClosedByServer));
  BOOST_TEST(caller.mOutcomes[*stream].mBroken);
  BOOST_TEST(network.mCancelledRequests == 1);
  network.Run(seconds(5));
  for (const auto& datagram : network.mRecorded) {
    BOOST_TEST(!network.mServer->HasConnectionFor(datagram));
  }
}

// Guards against the loss of a connection when the caller's address changes
// (NAT rebinding).
BOOST_AUTO_TEST_CASE(P1_CallerAddressChanges_FlowContinues)
{
  FakeNetwork network(12);
  TestCaller& caller = Connect(network);
  network.Run(seconds(1));
  caller.mAddress.mPort = 9999;
  const auto stream = caller.Get("/bytes/100000");
  BOOST_REQUIRE(stream);
  BOOST_TEST(
    network.RunUntil([&] { return AllCompleted(caller, 1); }, seconds(20)));
  BOOST_TEST((caller.mOutcomes[*stream].mBody == TestBytes(100000)));
}

BOOST_AUTO_TEST_SUITE_END()
