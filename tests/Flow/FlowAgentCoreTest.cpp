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
constexpr NodeIp kOtherEntry(0x0a0000f2);

/// Time of day at which the agent started, in milliseconds.
constexpr uint64_t kAgentStartTime = 1'000'000;

/// An agent in domain a whose backend server and entry instances are emulated
/// by the test.
struct Fixture : AgentOutput
{
  Fixture()
    : mReplica(&DecodeSampleConfig)
  {
    FillReplica(mReplica, 3, 3, 4);
    AgentOptions options;
    options.mService = "desk";
    options.mDomain = "a";
    options.mStartTime = kAgentStartTime;
    mCore = std::make_unique<FlowAgentCore>(
      options, mReplica, *this, mDecisions, mNow);
  }

  void SendToBackend(std::span<const uint8_t>) override { ++mToBackend; }
  void SendToCaller(std::span<const uint8_t>, const Address&) override
  {
    ++mToCaller;
  }
  void SendReset(const Packet&) override { ++mResets; }
  void SendToNode(NodeIp aNode, const OfferReply& aReply) override
  {
    mReplies.emplace_back(aNode, aReply);
  }
  void SendToNode(NodeIp aNode, const OwnerNotice& aNotice) override
  {
    mNotices.emplace_back(aNode, aNotice);
  }
  void SendToNode(NodeIp aNode, const OwnerExclusion& aExclusion) override
  {
    mExclusions.emplace_back(aNode, aExclusion);
  }

  HeartbeatOutcome SendHeartbeat(uint64_t aStartTime = 5,
                                 uint64_t aSequence = 1)
  {
    Heartbeat heartbeat;
    heartbeat.mId = "i";
    heartbeat.mService = "desk";
    heartbeat.mSlots = 4;
    heartbeat.mStartTime = aStartTime;
    heartbeat.mSequence = aSequence;
    return mCore->OnHeartbeat(heartbeat, mNow);
  }

  /// Offers the SYN of the flow from the caller's port aPort.
  void SendOffer(uint16_t aPort,
                 TransitMark aMark = TransitMark::OfferIfFree,
                 uint32_t aRetransmission = 0)
  {
    Packet packet = SynPacket({ kCaller.mIp, aPort }, 100, aRetransmission);
    packet.mServiceTag = ServiceTag("desk");
    packet.mMark = aMark;
    packet.mOfferedToCandidate = mOffersToCandidates;
    mCore->OnNodePacket(packet, mBytes, kEntry, mNow);
  }

  void BackendResets(uint16_t aPort)
  {
    Packet packet;
    packet.mSource = kService;
    packet.mDestination = { kCaller.mIp, aPort };
    packet.mReset = true;
    mCore->OnBackendPacket(packet, mBytes, mNow);
  }

  void BackendSends(uint16_t aPort,
                    bool aSyn,
                    uint16_t aLength = 0,
                    bool aFin = false)
  {
    Packet packet;
    packet.mSource = kService;
    packet.mDestination = { kCaller.mIp, aPort };
    packet.mSyn = aSyn;
    packet.mAck = true;
    packet.mSequence = 5000;
    packet.mLength = aLength;
    packet.mFin = aFin;
    mCore->OnBackendPacket(packet, mBytes, mNow);
  }

  void CallerSends(uint16_t aPort,
                   TransitMark aMark = TransitMark::Owner,
                   NodeIp aFrom = kEntry,
                   uint32_t aAck = 5001)
  {
    Packet packet = CallerData({ kCaller.mIp, aPort }, aAck, 10);
    packet.mMark = aMark;
    mCore->OnNodePacket(packet, mBytes, aFrom, mNow);
  }

  void BackendReturns(uint16_t aPort, bool aSyn)
  {
    Packet packet = aSyn ? SynPacket({ kCaller.mIp, aPort }, 100)
                         : CallerData({ kCaller.mIp, aPort }, 5001, 10);
    packet.mReturned = true;
    mCore->OnBackendPacket(packet, mBytes, mNow);
  }

  Refusal LastRefusal() const { return mReplies.back().second.mRefusal; }

  std::vector<uint8_t> mBytes = std::vector<uint8_t>(32);
  cluster::Replica mReplica;
  FakeDecisions mDecisions;
  Instant mNow{ 100s };
  bool mOffersToCandidates = true;
  size_t mToBackend = 0;
  size_t mToCaller = 0;
  size_t mResets = 0;
  std::vector<std::pair<NodeIp, OfferReply>> mReplies;
  std::vector<std::pair<NodeIp, OwnerNotice>> mNotices;
  std::vector<std::pair<NodeIp, OwnerExclusion>> mExclusions;
  std::unique_ptr<FlowAgentCore> mCore;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FlowAgentCoreTest, Fixture)

BOOST_AUTO_TEST_CASE(AcceptsAFlowAndRepliesToTheEntryInstance)
{
  SendHeartbeat();
  SendOffer(1);
  BOOST_TEST(mToBackend == 1U);
  BOOST_TEST(mReplies.empty());
  BackendSends(1, true);
  BOOST_TEST(mToCaller == 1U);
  BOOST_REQUIRE(mReplies.size() == 1U);
  BOOST_TEST((LastRefusal() == Refusal::None));
  BOOST_TEST(mReplies[0].second.mBackendSequence == 5000U);
  BOOST_TEST(mReplies[0].second.mLoad == 1U);
  CallerSends(1);
  BOOST_TEST(mToBackend == 2U);
  BackendSends(1, false, 200);
  BOOST_TEST(mCore->Load() == 0U);
}

// An agent that has just started does not have the state of its backend server
// and the evacuations yet.
BOOST_AUTO_TEST_CASE(AcceptsNothingBeforeTheFirstHeartbeat)
{
  SendOffer(1);
  BOOST_TEST(mToBackend == 0U);
  BOOST_TEST((LastRefusal() == Refusal::NotReady));
}

BOOST_AUTO_TEST_CASE(AcceptsNothingBeforeTheSharedState)
{
  cluster::Replica empty(&DecodeSampleConfig);
  AgentOptions options;
  options.mService = "desk";
  FlowAgentCore core(options, empty, *this, mDecisions, mNow);
  Heartbeat heartbeat;
  heartbeat.mService = "desk";
  core.OnHeartbeat(heartbeat, mNow);
  Packet packet = SynPacket(kCaller, 1);
  packet.mServiceTag = ServiceTag("desk");
  core.OnNodePacket(packet, mBytes, kEntry, mNow);
  BOOST_TEST((LastRefusal() == Refusal::NotReady));
}

// Guards against warm backend servers that stay idle after a restart of all
// instances until a configuration of thousands of routes has been transferred.
// A cold server has to wait for the configuration, which contains its limit.
BOOST_AUTO_TEST_CASE(WarmServerAcceptsFlowsBeforeTheRoutes)
{
  cluster::Replica replica(&DecodeSampleConfig);
  replica.ApplySnapshot(Part::Evacuations, { Revision(1), {} });
  AgentOptions options;
  options.mService = "desk";
  FlowAgentCore core(options, replica, *this, mDecisions, mNow);
  Heartbeat heartbeat;
  heartbeat.mService = "desk";
  heartbeat.mColdRemaining = 1s;
  core.OnHeartbeat(heartbeat, mNow);
  Packet packet = SynPacket(kCaller, 1);
  packet.mServiceTag = ServiceTag("desk");
  core.OnNodePacket(packet, mBytes, kEntry, mNow);
  BOOST_TEST((LastRefusal() == Refusal::NotReady));
  core.OnNodePacket(packet, mBytes, kEntry, mNow + 2s);
  BOOST_TEST(mToBackend == 1U);
}

BOOST_AUTO_TEST_CASE(DrainingServerGetsOnlyPacketsOfItsFlows)
{
  SendHeartbeat();
  SendOffer(1);
  BackendSends(1, true);
  Heartbeat draining;
  draining.mId = "i";
  draining.mService = "desk";
  draining.mStartTime = 5;
  draining.mSequence = 2;
  draining.mState = cluster::BackendState::Draining;
  mCore->OnHeartbeat(draining, mNow);
  SendOffer(2);
  BOOST_TEST((LastRefusal() == Refusal::Draining));
  const size_t sent = mToBackend;
  CallerSends(1);
  BOOST_TEST(mToBackend == sent + 1);
}

BOOST_AUTO_TEST_CASE(EvacuatedDomainGetsNoNewFlowAndLaterNoPacket)
{
  SendHeartbeat();
  SendOffer(1);
  BackendSends(1, true);
  mReplica.ApplyChanges(
    Part::Evacuations, { { "a", Revision(2), "{}" } }, Revision(2));
  SendOffer(2);
  BOOST_TEST((LastRefusal() == Refusal::Evacuated));
  size_t sent = mToBackend;
  CallerSends(1);
  BOOST_TEST(mToBackend == sent + 1);
  mNow += 3s;
  CallerSends(1);
  BOOST_TEST(mToBackend == sent + 1);
  // A response that is ready is still sent to the caller.
  BackendSends(1, false, 100);
  BOOST_TEST(mToCaller == 2U);
}

// Guards against the reset of an open flow after an evacuation: the packets
// that the agent withheld must count as activity.
BOOST_AUTO_TEST_CASE(FlowOfAnEvacuatedDomainIsNotIdleWhileItsCallerSends)
{
  SendHeartbeat();
  SendOffer(1);
  BackendSends(1, true);
  CallerSends(1);
  mReplica.ApplyChanges(
    Part::Evacuations, { { "a", Revision(2), "{}" } }, Revision(2));
  const size_t sent = mToBackend;
  for (int second = 0; second < 20; ++second) {
    mNow += 1s;
    CallerSends(1);
    mCore->Expire(mNow);
  }
  BOOST_TEST(mToBackend < sent + 5); // Only those of the grace period.
  BOOST_TEST(mNotices.empty());
  mReplica.ApplyChanges(
    Part::Evacuations, { { "a", Revision(3), std::nullopt } }, Revision(3));
  const size_t withheld = mToBackend;
  CallerSends(1);
  BOOST_TEST(mToBackend == withheld + 1);
  BOOST_TEST(mNotices.empty());
}

// Another entry instance must learn the owner during an evacuation, so that it
// does not go on asking every agent.
BOOST_AUTO_TEST_CASE(OwnerInAnEvacuatedDomainRepliesToALookup)
{
  SendHeartbeat();
  SendOffer(1);
  BackendSends(1, true);
  CallerSends(1);
  mReplica.ApplyChanges(
    Part::Evacuations, { { "a", Revision(2), "{}" } }, Revision(2));
  mCore->Expire(mNow); // The agent notices the evacuation.
  mNow += 3s;
  const size_t sent = mToBackend;
  CallerSends(1, TransitMark::OwnerLookup, kOtherEntry);
  BOOST_TEST(mToBackend == sent);
  BOOST_REQUIRE(mNotices.size() == 1U);
  BOOST_TEST(mNotices[0].second.mOwned);
}

// Addresses are reused: a SYN for the earlier service must not be accepted.
BOOST_AUTO_TEST_CASE(SynForAnotherServiceIsRefused)
{
  SendHeartbeat();
  Packet packet = SynPacket(kCaller, 1);
  packet.mServiceTag = ServiceTag("library");
  mCore->OnNodePacket(packet, mBytes, kEntry, mNow);
  BOOST_TEST((LastRefusal() == Refusal::WrongService));
  BOOST_TEST(mToBackend == 0U);
}

BOOST_AUTO_TEST_CASE(SynReturnedByAFullServerIsRefused)
{
  SendHeartbeat();
  SendOffer(1);
  BackendReturns(1, true);
  BOOST_TEST((LastRefusal() == Refusal::Full));
  BOOST_TEST(mCore->Load() == 0U);
}

// A backend server crashed without notice: the entry instance is notified
// within milliseconds, and further SYNs are refused except for single probes.
BOOST_AUTO_TEST_CASE(UnansweredSynsMakeTheServerUnresponsive)
{
  SendHeartbeat();
  for (uint16_t port = 1; port <= 3; ++port) {
    SendOffer(port);
    mNow += 15ms;
    mCore->OnTimer(mNow);
    BOOST_TEST((LastRefusal() == Refusal::Silent));
  }
  BOOST_TEST(mToBackend == 3U);
  SendOffer(4); // The probe.
  SendOffer(5);
  SendOffer(6);
  BOOST_TEST(mToBackend == 4U);
  BackendSends(4, true);
  SendOffer(7);
  BOOST_TEST(mToBackend == 5U);
}

// A half-open flow whose caller chose another server occupies no slot. If it
// counted as load for long, agents would appear full, and a collapse after a
// burst would last longer.
BOOST_AUTO_TEST_CASE(AbandonedHalfOpenFlowsDoNotCountAsLoad)
{
  SendHeartbeat();
  for (uint16_t port = 1; port <= 4; ++port) {
    SendOffer(port);
    BackendSends(port, true);
  }
  SendOffer(5);
  BOOST_TEST((LastRefusal() == Refusal::Busy));
  mNow += 80ms;
  SendOffer(6);
  BOOST_TEST(mCore->Load() == 1U);
  // The request of a slow caller counts when it arrives.
  CallerSends(1);
  BOOST_TEST(mCore->Load() == 2U);
}

BOOST_AUTO_TEST_CASE(SynRetransmissionGoesToTheSameServer)
{
  SendHeartbeat();
  SendOffer(1);
  BackendSends(1, true);
  for (uint16_t port = 2; port <= 30; ++port) {
    SendOffer(port, TransitMark::OfferFinal);
  }
  const size_t sent = mToBackend;
  SendOffer(1, TransitMark::OfferFinal, 1);
  BOOST_TEST(mToBackend == sent + 1);
  BackendSends(1, true);
  BOOST_TEST((LastRefusal() == Refusal::None));
}

// The caller chose the SYN-ACK of another server, which gets its packets.
BOOST_AUTO_TEST_CASE(PacketsOfAnotherServersFlowAreDropped)
{
  SendHeartbeat();
  SendOffer(1);
  BackendSends(1, true);
  const size_t sent = mToBackend;
  CallerSends(1, TransitMark::OwnerLookup, kEntry, 5000 + (1U << 30));
  BOOST_TEST(mToBackend == sent);
}

BOOST_AUTO_TEST_CASE(OwnerNotifiesTheInstanceThatLooksItUp)
{
  SendHeartbeat();
  SendOffer(1);
  BackendSends(1, true);
  CallerSends(1);
  CallerSends(1, TransitMark::OwnerLookup, kOtherEntry);
  BOOST_REQUIRE(mNotices.size() == 1U);
  BOOST_TEST((mNotices[0].first == kOtherEntry));
  BOOST_TEST(mNotices[0].second.mOwned);
}

BOOST_AUTO_TEST_CASE(UnknownFlowIsNotOwnedWhenTheBackendStartedAfterTheAgent)
{
  SendHeartbeat(5, 1);
  CallerSends(9);
  BOOST_TEST(mToBackend == 0U);
  BOOST_REQUIRE(mNotices.size() == 1U);
  BOOST_TEST(!mNotices[0].second.mOwned);
  CallerSends(10, TransitMark::OwnerLookup);
  BOOST_TEST(mNotices.size() == 1U);
}

// A restarted agent of a running server must not break the server's flows.
BOOST_AUTO_TEST_CASE(RestartedAgentForwardsUnknownFlowsToTheServer)
{
  SendHeartbeat(5, 40);
  CallerSends(9, TransitMark::OwnerLookup);
  BOOST_TEST(mToBackend == 1U);
  BackendSends(9, false, 100);
  BOOST_REQUIRE(mNotices.size() == 1U);
  BOOST_TEST(mNotices[0].second.mOwned);
  CallerSends(10);
  BackendReturns(10, false);
  BOOST_TEST(!mNotices.back().second.mOwned);
  BOOST_TEST(mResets == 0U);
}

// A reset is correct only after a heartbeat has shown that the server's
// incarnation has ended.
BOOST_AUTO_TEST_CASE(FlowsOfAnEarlierIncarnationAreReset)
{
  SendHeartbeat(5, 1);
  SendOffer(1);
  BackendSends(1, true);
  CallerSends(1);
  BackendReturns(1, false);
  BOOST_TEST(mResets == 0U);
  BOOST_TEST((SendHeartbeat(9, 1) == HeartbeatOutcome::Restarted));
  BOOST_TEST(mCore->Load() == 0U);
  CallerSends(1);
  BOOST_TEST(mResets == 1U);
  BOOST_TEST(mDecisions.Count(Verdict::Ended) == 1U);
}

// Guards against the reset of open flows when the first heartbeats of a backend
// server are lost: it accepts flows before the agent knows that it restarted.
BOOST_AUTO_TEST_CASE(FlowOpenedBeforeTheFirstHeartbeatIsNotReset)
{
  const auto open = [this](uint16_t aPort) {
    BackendSends(aPort, true);
    CallerSends(aPort);
  };
  SendHeartbeat(kAgentStartTime + 10, 1);
  SendOffer(1);
  open(1);
  mNow += 2900ms;
  // The first SYN arrives between the two incarnations.
  SendOffer(2);
  mNow += 200ms;
  SendOffer(2, TransitMark::OfferIfFree, 1);
  open(2);
  SendOffer(3);
  open(3);
  SendOffer(4);
  mNow += 10ms;
  BOOST_TEST(
    (SendHeartbeat(kAgentStartTime + 3000, 3) == HeartbeatOutcome::Restarted));
  BOOST_TEST(mCore->Load() == 3U);
  const size_t forwarded = mToBackend;
  CallerSends(1);
  BOOST_TEST(mResets == 1U);
  open(4);
  CallerSends(2);
  CallerSends(3);
  BOOST_TEST(mResets == 1U);
  BOOST_TEST(mToBackend == forwarded + 3);
}

// Guards against the reset of a flow that another server owns: two backend
// servers answered its SYN, the caller chose the other one, this one restarted,
// and the entry instance, which did not receive the other agent's reply, sends
// the caller's packets to this agent.
BOOST_AUTO_TEST_CASE(FlowOwnedByAnotherServerIsNotReset)
{
  SendHeartbeat(5, 1);
  SendOffer(1);
  BackendSends(1, true);
  CallerSends(1, TransitMark::Owner, kEntry, 900000001);
  BOOST_TEST(mToBackend == 1U);
  BOOST_REQUIRE(mNotices.size() == 1U);
  BOOST_TEST(!mNotices[0].second.mOwned);
  BOOST_TEST((SendHeartbeat(9, 1) == HeartbeatOutcome::Restarted));
  CallerSends(1, TransitMark::Owner, kEntry, 900000001);
  CallerSends(1, TransitMark::OwnerLookup, kEntry, 900000001);
  BOOST_TEST(mResets == 0U);
  BOOST_TEST(mNotices.size() == 2U);
}

// The same for a packet of an owner lookup, when the backend server restarts
// before it returns the packet.
BOOST_AUTO_TEST_CASE(FlowOfAnOwnerLookupIsNotReset)
{
  SendHeartbeat(5, 7);
  CallerSends(1, TransitMark::OwnerLookup);
  BOOST_TEST(mToBackend == 1U);
  BOOST_TEST((SendHeartbeat(9, 1) == HeartbeatOutcome::Restarted));
  CallerSends(1, TransitMark::OwnerLookup);
  BOOST_TEST(mResets == 0U);
}

// Guards against callers that wait for their request timeout on the flows of a
// server that crashed: it reports nothing, and no other server starts here.
BOOST_AUTO_TEST_CASE(FlowsOfACrashedServerAreReset)
{
  SendHeartbeat(5, 1);
  SendOffer(1);
  BackendSends(1, true);
  CallerSends(1);
  BOOST_TEST(!mCore->MayHaveEnded());
  SendOffer(2);
  mNow += 20ms;
  mCore->OnTimer(mNow);
  BOOST_TEST(mCore->MayHaveEnded());
  CallerSends(1);
  BOOST_TEST(mResets == 0U);
  mCore->OnBackendEnded();
  CallerSends(1);
  BOOST_TEST(mResets == 1U);
  SendOffer(3);
  BOOST_TEST((LastRefusal() == Refusal::Silent));
  SendHeartbeat(9, 1);
  SendOffer(4);
  BackendSends(4, true);
  BOOST_TEST((LastRefusal() == Refusal::None));
}

// Guards against a server that resets every flow and, never busy, attracts more
// of them. Its next incarnation starts without a limit.
BOOST_AUTO_TEST_CASE(ServerThatResetsFlowsIsLimited)
{
  SendHeartbeat(5, 1);
  for (uint16_t port = 1; port <= 3; ++port) {
    SendOffer(port);
    BackendSends(port, true);
    CallerSends(port);
    BackendResets(port);
  }
  SendOffer(4);
  BOOST_TEST((LastRefusal() == Refusal::Failing));
  SendHeartbeat(9, 1);
  SendOffer(5);
  BackendSends(5, true);
  BOOST_TEST((LastRefusal() == Refusal::None));
}

// Guards against orders that are lost at a server which has just reset a flow,
// and against a rejection when that server is the only one.
BOOST_AUTO_TEST_CASE(UnsafeRequestsAvoidAServerThatHasResetAFlow)
{
  mReplica.ApplyChanges(
    Part::Routes,
    { { "main", Revision(2), std::to_string(kUnsafeVersion) } },
    Revision(2));
  SendHeartbeat(5, 1);
  SendOffer(1);
  BackendSends(1, true);
  CallerSends(1);
  BackendResets(1);
  SendOffer(2);
  BOOST_TEST((LastRefusal() == Refusal::Busy));
  SendOffer(2, TransitMark::OfferFinal);
  BackendSends(2, true);
  BOOST_TEST((LastRefusal() == Refusal::None));
}

// Guards against a limit because of callers' late retransmissions: a server
// resets flows that it has closed.
BOOST_AUTO_TEST_CASE(ResetOfAClosedFlowIsNoFailure)
{
  SendHeartbeat(5, 1);
  for (uint16_t port = 1; port <= 3; ++port) {
    SendOffer(port);
    BackendSends(port, true);
    CallerSends(port);
    BackendSends(port, false, 100, true);
    CallerSends(port);
    BackendResets(port);
  }
  SendOffer(4);
  BackendSends(4, true);
  BOOST_TEST((LastRefusal() == Refusal::None));
}

// A server that ended on a machine that runs on returns all packets. Guards
// against an agent that goes on as if it were overloaded.
BOOST_AUTO_TEST_CASE(ReturnedPacketsWithoutLoadMeanThatTheServerMayHaveEnded)
{
  SendHeartbeat(5, 1);
  for (uint16_t port = 1; port <= 4; ++port) {
    SendOffer(port);
    BackendSends(port, true);
    CallerSends(port);
  }
  SendOffer(5, TransitMark::OfferFinal);
  BackendReturns(5, true);
  BOOST_TEST(!mCore->MayHaveEnded());
  CallerSends(1);
  BackendReturns(1, false);
  BOOST_TEST(mCore->MayHaveEnded());
  BackendSends(2, false, 100);
  BOOST_TEST(!mCore->MayHaveEnded());
  SendOffer(6);
  BackendReturns(6, true);
  BOOST_TEST(mCore->MayHaveEnded());
}

// Guards against lookups that never end: the server ended while its agent did
// not run, so the agent has no heartbeat and no flow of it.
BOOST_AUTO_TEST_CASE(RestartedAgentOfAnEndedServerExcludesItself)
{
  CallerSends(9, TransitMark::OwnerLookup);
  BOOST_TEST(mToBackend == 1U);
  BOOST_TEST(mExclusions.empty());
  mCore->OnBackendEnded();
  CallerSends(9, TransitMark::OwnerLookup);
  BOOST_TEST(mExclusions.size() == 1U);
  // The next incarnation has no earlier flows either, also when the agent
  // misses its first heartbeats.
  SendHeartbeat(5, 3);
  CallerSends(10, TransitMark::OwnerLookup);
  BOOST_TEST(mExclusions.size() == 2U);
  BOOST_TEST(mToBackend == 1U);
}

// Guards against a pause that is counted as service time: afterwards every
// request that has to wait would be refused. The load falls below the slots by
// a restart of the server, or by flows that end without a response.
BOOST_AUTO_TEST_CASE(PauseBetweenFullLoadsIsNotServiceTime)
{
  const auto fill = [this](uint16_t aFirst) {
    for (uint16_t port = aFirst; port < aFirst + 6; ++port) {
      SendOffer(port, TransitMark::OfferFinal);
      BackendSends(port, true);
      CallerSends(port);
    }
    mNow += 25ms;
    BackendSends(aFirst, false, 100);
  };
  size_t forwarded = 0;
  SendHeartbeat(5, 1);
  fill(1);
  mNow += 20s;
  BOOST_TEST((SendHeartbeat(9, 1) == HeartbeatOutcome::Restarted));
  fill(11);
  forwarded = mToBackend;
  SendOffer(20, TransitMark::OfferFinal);
  BOOST_TEST(mToBackend == forwarded + 1);
  for (uint16_t port = 12; port <= 20; ++port) {
    BackendReturns(port, false);
  }
  mNow += 20s;
  fill(21);
  forwarded = mToBackend;
  SendOffer(30, TransitMark::OfferFinal);
  BOOST_TEST(mToBackend == forwarded + 1);
}

BOOST_AUTO_TEST_CASE(StoppingAgentKeepsItsFlows)
{
  SendHeartbeat();
  SendOffer(1);
  BackendSends(1, true);
  mCore->RefuseNewFlows();
  SendOffer(2);
  BOOST_TEST((LastRefusal() == Refusal::Draining));
  BOOST_TEST(mCore->OpenFlows() == 1U);
  CallerSends(1);
  BackendSends(1, false, 10);
  Packet fin;
  fin.mSource = kService;
  fin.mDestination = { kCaller.mIp, 1 };
  fin.mFin = true;
  mCore->OnBackendPacket(fin, mBytes, mNow);
  BOOST_TEST(mCore->OpenFlows() == 0U);
}

BOOST_AUTO_TEST_CASE(HalfOpenFlowsExpire)
{
  SendHeartbeat();
  for (uint16_t port = 1; port <= 4; ++port) {
    SendOffer(port);
    BackendSends(port, true);
  }
  mCore->Expire(mNow + 2s);
  BOOST_TEST(mCore->FlowCount() == 0U);
  BOOST_TEST(mCore->Load() == 0U);
  BOOST_TEST(!mCore->NextDeadline().has_value());
}

// An entry instance that looks up the owner resets the flow when every possible
// owner has excluded itself, so an agent must reply.
BOOST_AUTO_TEST_CASE(AgentThatTracksAllFlowsExcludesItself)
{
  SendHeartbeat(5, 1);
  CallerSends(9, TransitMark::OwnerLookup, kOtherEntry);
  BOOST_REQUIRE(mExclusions.size() == 1U);
  BOOST_TEST((mExclusions[0].first == kOtherEntry));
  BOOST_TEST((mExclusions[0].second.mFlow.mCaller.mPort == 9));
  BOOST_TEST(
    (mExclusions[0].second.mRecords == mReplica.Version(Part::Backends)));
  BOOST_TEST(mToBackend == 0U);
}

// A restarted agent does not know the flows of its running backend server; only
// the server can tell.
BOOST_AUTO_TEST_CASE(
  RestartedAgentExcludesItselfOnlyAfterTheServerReturnedThePacket)
{
  SendHeartbeat(5, 40);
  CallerSends(9, TransitMark::OwnerLookup);
  BOOST_TEST(mExclusions.empty());
  BOOST_TEST(mToBackend == 1U);
  BackendReturns(9, false);
  BOOST_REQUIRE(mExclusions.size() == 1U);
  BOOST_TEST(mNotices.empty());
}

// The owner, also of a flow that the caller has not continued yet, must never
// exclude itself.
BOOST_AUTO_TEST_CASE(OwnerDoesNotExcludeItself)
{
  SendHeartbeat(5, 1);
  SendOffer(1);
  BackendSends(1, true);
  CallerSends(1, TransitMark::OwnerLookup);
  BOOST_TEST(mExclusions.empty());
  BOOST_REQUIRE(mNotices.size() == 1U);
  BOOST_TEST(mNotices[0].second.mOwned);
}

// An entry instance of the previous version may have offered a flow to a server
// that lookups do not ask, so exclusions would prove nothing.
BOOST_AUTO_TEST_CASE(OffersOutsideTheCandidatesPreventExclusions)
{
  SendHeartbeat(5, 1);
  mOffersToCandidates = false;
  SendOffer(1);
  CallerSends(9, TransitMark::OwnerLookup);
  BOOST_TEST(mExclusions.empty());
  mNow += 61s;
  CallerSends(9, TransitMark::OwnerLookup);
  BOOST_TEST(mExclusions.size() == 1U);
}

// A flow that is opened before other entry instances know the record would be
// taken for lost by them.
BOOST_AUTO_TEST_CASE(NewRecordIsAnnouncedBeforeFlowsAreAccepted)
{
  SendHeartbeat();
  mCore->SetRecordStored(false, mNow);
  SendOffer(1);
  BOOST_TEST((LastRefusal() == Refusal::NotReady));
  mCore->SetRecordStored(true, mNow);
  mNow += 1s;
  SendOffer(1);
  BOOST_TEST((LastRefusal() == Refusal::NotReady));
  BOOST_TEST(mToBackend == 0U);
  mNow += 501ms;
  mCore->SetRecordStored(true, mNow);
  SendOffer(1);
  BOOST_TEST(mToBackend == 1U);
}

// An agent that restarts finds its record stored: the recovery from a power
// loss is not delayed.
BOOST_AUTO_TEST_CASE(AgentWithAStoredRecordAcceptsFlowsAtOnce)
{
  SendHeartbeat();
  mCore->SetRecordStored(true, mNow);
  SendOffer(1);
  BOOST_TEST(mToBackend == 1U);
}

// After everything restarted during an evacuation, lookups arrive before the
// first heartbeat. An agent that never excludes itself afterwards makes every
// caller wait for its request timeout.
BOOST_AUTO_TEST_CASE(LookupBeforeTheFirstHeartbeatDoesNotPreventExclusions)
{
  CallerSends(9, TransitMark::OwnerLookup);
  SendHeartbeat(5, 1);
  mReplica.ApplyChanges(
    Part::Evacuations, { { "a", Revision(2), "{}" } }, Revision(2));
  CallerSends(10, TransitMark::OwnerLookup);
  BOOST_TEST(mExclusions.size() == 1U);
  mNow += 3s;
  CallerSends(11, TransitMark::OwnerLookup);
  BOOST_TEST(mExclusions.size() == 2U);
}

// Guards against callers that wait for their time limit after a power failure:
// a server started 30 ms before its agent, which missed the first heartbeat.
// The failure domain is evacuated, so the agent can't ask its server.
BOOST_AUTO_TEST_CASE(ServerStartedJustBeforeTheAgentHasNoEarlierFlow)
{
  mReplica.ApplyChanges(
    Part::Evacuations, { { "a", Revision(2), "{}" } }, Revision(2));
  mCore->Expire(mNow); // The agent notices the evacuation.
  mNow += 3s;
  SendHeartbeat(kAgentStartTime - 30, 2);
  CallerSends(9, TransitMark::OwnerLookup);
  BOOST_TEST(mExclusions.size() == 1U);
  BOOST_TEST(mToBackend == 0U);
}

// An earlier agent may have opened flows for each of these servers, which an
// exclusion would break.
BOOST_AUTO_TEST_CASE(ServerThatMayHaveEarlierFlowsPreventsExclusions)
{
  struct Case
  {
    uint64_t mStartTime;
    uint64_t mSequence;
  };
  constexpr Case kCases[] = {
    { kAgentStartTime - 500, 2 }, // An agent may have run and ended since.
    { kAgentStartTime - 30, 40 }, // The time of day has stepped back.
    { kAgentStartTime + 30, 40 }, // The time of day has stepped back further.
    { 0, 2 },                     // The server reports no start time.
  };
  for (const Case& each : kCases) {
    Fixture agent;
    agent.SendHeartbeat(each.mStartTime, each.mSequence);
    agent.CallerSends(9, TransitMark::OwnerLookup);
    BOOST_TEST(agent.mExclusions.empty());
  }
}

// A lookup from before the first heartbeat must not silence the agent once its
// failure domain is evacuated.
BOOST_AUTO_TEST_CASE(LookupFromBeforeTheFirstHeartbeatIsAnsweredLater)
{
  CallerSends(9, TransitMark::OwnerLookup);
  SendHeartbeat(5, 1);
  mReplica.ApplyChanges(
    Part::Evacuations, { { "a", Revision(2), "{}" } }, Revision(2));
  mCore->Expire(mNow);
  mNow += 1s;
  CallerSends(9, TransitMark::OwnerLookup);
  BOOST_TEST(mExclusions.size() == 1U);
}

// The first heartbeat that a restarted agent receives is not the first one of a
// server that has already sent packets of a flow.
BOOST_AUTO_TEST_CASE(FlowSeenBeforeTheFirstHeartbeatPreventsExclusions)
{
  BackendSends(8, false, 100);
  SendHeartbeat(5, 1);
  CallerSends(9, TransitMark::OwnerLookup);
  BOOST_TEST(mExclusions.empty());
}

// Guards against requests that are never answered: two servers answered one
// SYN, the caller chose the other one, and this server repeats its SYN-ACK.
BOOST_AUTO_TEST_CASE(RepeatedSynAckDoesNotMakeTheServerAnOwner)
{
  SendHeartbeat();
  SendOffer(1);
  BackendSends(1, true);
  mNow += 10s;
  mCore->Expire(mNow);
  BOOST_TEST(mCore->FlowCount() == 0U);
  BackendSends(1, true);
  const size_t before = mToBackend;
  CallerSends(1, TransitMark::Owner, kOtherEntry, 0x70000000);
  BOOST_REQUIRE(mNotices.size() == 1U);
  BOOST_TEST(!mNotices[0].second.mOwned);
  CallerSends(1, TransitMark::OwnerLookup, kOtherEntry, 0x70000000);
  BOOST_TEST(mExclusions.size() == 1U);
  BOOST_TEST(mToBackend == before);
}

// The same for an agent that restarted and was asked for the owner before the
// SYN-ACK was repeated.
BOOST_AUTO_TEST_CASE(RepeatedSynAckAfterALookupDoesNotMakeTheServerAnOwner)
{
  SendHeartbeat(5, 9);
  CallerSends(1, TransitMark::OwnerLookup, kEntry, 0x70000000);
  BackendSends(1, true);
  const size_t before = mToBackend;
  CallerSends(1, TransitMark::OwnerLookup, kEntry, 0x70000000);
  BOOST_TEST(mExclusions.size() == 1U);
  BOOST_TEST(mToBackend == before);
}

// A caller that chose this server must reach it, although the agent restarted
// during the handshake.
BOOST_AUTO_TEST_CASE(RestartedAgentKeepsAFlowOfARepeatedSynAck)
{
  SendHeartbeat(5, 9);
  BackendSends(1, true);
  BOOST_TEST(mReplies.empty());
  CallerSends(1, TransitMark::OwnerLookup);
  BOOST_REQUIRE(mNotices.size() == 1U);
  BOOST_TEST(mNotices[0].second.mOwned);
  BOOST_TEST(mToBackend == 1U);
}

// The interval between two SYN-ACKs is up to 1.6 s; the flow must stay known
// for that long, so that the caller's choice can be checked.
BOOST_AUTO_TEST_CASE(HalfOpenFlowOutlivesTheIntervalBetweenSynAcks)
{
  SendHeartbeat();
  SendOffer(1);
  BackendSends(1, true);
  mNow += 1600ms;
  mCore->Expire(mNow);
  BOOST_TEST(mCore->FlowCount() == 1U);
}

// A wrong owner must not stay one: the entry instance is told to look up the
// owner, and the agent no longer takes the flow for its own.
BOOST_AUTO_TEST_CASE(ReturnedPacketEndsTheOwnershipOfItsFlow)
{
  SendHeartbeat();
  SendOffer(1);
  BackendSends(1, true);
  CallerSends(1);
  BackendReturns(1, false);
  BOOST_REQUIRE(mNotices.size() == 1U);
  BOOST_TEST(!mNotices[0].second.mOwned);
  CallerSends(1, TransitMark::OwnerLookup);
  BOOST_TEST(mNotices.size() == 1U);
  BOOST_TEST(mExclusions.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
