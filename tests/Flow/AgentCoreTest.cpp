#include <boost/test/unit_test.hpp>

#include <snipepost/Flow/AgentCore.h>

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

/// An agent in domain a beside a backend server that a test plays.
struct Fixture : AgentOutput
{
  Fixture()
    : mReplica(&DecodeSampleConfig)
  {
    FillReplica(mReplica, 3, 3, 4);
    AgentOptions options;
    options.mService = "desk";
    options.mDomain = "a";
    mCore =
      std::make_unique<AgentCore>(options, mReplica, *this, mDecisions, mNow);
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

  HeartbeatOutcome Beat(uint64_t aBorn = 5, uint64_t aSequence = 1)
  {
    Heartbeat beat;
    beat.mId = "i";
    beat.mService = "desk";
    beat.mSlots = 4;
    beat.mBorn = aBorn;
    beat.mSequence = aSequence;
    return mCore->OnHeartbeat(beat, mNow);
  }

  /// An opening packet of the flow that uses the caller's port aPort.
  void Offer(uint16_t aPort,
             TransitMark aMark = TransitMark::OfferFree,
             uint32_t aCopy = 0)
  {
    Packet packet = Opening({ kCaller.mIp, aPort }, 100, aCopy);
    packet.mNote = ServiceTag("desk");
    packet.mMark = aMark;
    mCore->OnNodePacket(packet, mBytes, kEntry, mNow);
  }

  void Answer(uint16_t aPort, bool aOpening, uint16_t aLength = 0)
  {
    Packet packet;
    packet.mSource = kService;
    packet.mDestination = { kCaller.mIp, aPort };
    packet.mSyn = aOpening;
    packet.mAck = true;
    packet.mSequence = 5000;
    packet.mLength = aLength;
    mCore->OnBackendPacket(packet, mBytes, mNow);
  }

  void Data(uint16_t aPort,
            TransitMark aMark = TransitMark::Owner,
            NodeIp aFrom = kEntry,
            uint32_t aAck = 5001)
  {
    Packet packet = CallerData({ kCaller.mIp, aPort }, aAck, 10);
    packet.mMark = aMark;
    mCore->OnNodePacket(packet, mBytes, aFrom, mNow);
  }

  void Returned(uint16_t aPort, bool aOpening)
  {
    Packet packet = aOpening ? Opening({ kCaller.mIp, aPort }, 100)
                             : CallerData({ kCaller.mIp, aPort }, 5001, 10);
    packet.mReturned = true;
    mCore->OnBackendPacket(packet, mBytes, mNow);
  }

  Refusal LastRefusal() const { return mReplies.back().second.mRefusal; }

  std::vector<uint8_t> mBytes = std::vector<uint8_t>(32);
  cluster::Replica mReplica;
  FakeDecisions mDecisions;
  Instant mNow{ 100s };
  size_t mToBackend = 0;
  size_t mToCaller = 0;
  size_t mResets = 0;
  std::vector<std::pair<NodeIp, OfferReply>> mReplies;
  std::vector<std::pair<NodeIp, OwnerNotice>> mNotices;
  std::unique_ptr<AgentCore> mCore;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AgentCoreTest, Fixture)

BOOST_AUTO_TEST_CASE(TakesAFlowAndTellsTheEntryInstance)
{
  Beat();
  Offer(1);
  BOOST_TEST(mToBackend == 1U);
  BOOST_TEST(mReplies.empty());
  Answer(1, true);
  BOOST_TEST(mToCaller == 1U);
  BOOST_REQUIRE(mReplies.size() == 1U);
  BOOST_TEST((LastRefusal() == Refusal::None));
  BOOST_TEST(mReplies[0].second.mBackendSequence == 5000U);
  BOOST_TEST(mReplies[0].second.mLoad == 1U);
  Data(1);
  BOOST_TEST(mToBackend == 2U);
  Answer(1, false, 200);
  BOOST_TEST(mCore->Load() == 0U);
}

// After its own start an agent knows neither drains nor evacuations.
BOOST_AUTO_TEST_CASE(TakesNothingBeforeTheFirstHeartbeat)
{
  Offer(1);
  BOOST_TEST(mToBackend == 0U);
  BOOST_TEST((LastRefusal() == Refusal::NotReady));
}

BOOST_AUTO_TEST_CASE(TakesNothingBeforeTheStateIsKnown)
{
  cluster::Replica empty(&DecodeSampleConfig);
  AgentOptions options;
  options.mService = "desk";
  AgentCore core(options, empty, *this, mDecisions, mNow);
  Heartbeat beat;
  beat.mService = "desk";
  core.OnHeartbeat(beat, mNow);
  Packet packet = Opening(kCaller, 1);
  packet.mNote = ServiceTag("desk");
  core.OnNodePacket(packet, mBytes, kEntry, mNow);
  BOOST_TEST((LastRefusal() == Refusal::NotReady));
}

// Guards against warm backend servers that stand idle after a restart of all
// instances, while a configuration of thousands of routes is transferred. A
// cold one waits, since the configuration tells how much it bears.
BOOST_AUTO_TEST_CASE(WarmServerTakesFlowsBeforeTheRoutesAreKnown)
{
  cluster::Replica replica(&DecodeSampleConfig);
  replica.ApplySnapshot(Part::Evacuations, { Revision(1), {} });
  AgentOptions options;
  options.mService = "desk";
  AgentCore core(options, replica, *this, mDecisions, mNow);
  Heartbeat beat;
  beat.mService = "desk";
  beat.mColdFor = 1s;
  core.OnHeartbeat(beat, mNow);
  Packet packet = Opening(kCaller, 1);
  packet.mNote = ServiceTag("desk");
  core.OnNodePacket(packet, mBytes, kEntry, mNow);
  BOOST_TEST((LastRefusal() == Refusal::NotReady));
  core.OnNodePacket(packet, mBytes, kEntry, mNow + 2s);
  BOOST_TEST(mToBackend == 1U);
}

BOOST_AUTO_TEST_CASE(DrainingServerGetsNoNewFlowButItsOwnPackets)
{
  Beat();
  Offer(1);
  Answer(1, true);
  Heartbeat draining;
  draining.mId = "i";
  draining.mService = "desk";
  draining.mBorn = 5;
  draining.mSequence = 2;
  draining.mState = cluster::BackendState::Draining;
  mCore->OnHeartbeat(draining, mNow);
  Offer(2);
  BOOST_TEST((LastRefusal() == Refusal::Draining));
  const size_t sent = mToBackend;
  Data(1);
  BOOST_TEST(mToBackend == sent + 1);
}

BOOST_AUTO_TEST_CASE(EvacuatedDomainGetsNoNewFlowAndThenNothing)
{
  Beat();
  Offer(1);
  Answer(1, true);
  mReplica.ApplyChanges(
    Part::Evacuations, { { "a", Revision(2), "{}" } }, Revision(2));
  Offer(2);
  BOOST_TEST((LastRefusal() == Refusal::Evacuated));
  size_t sent = mToBackend;
  Data(1);
  BOOST_TEST(mToBackend == sent + 1);
  mNow += 3s;
  Data(1);
  BOOST_TEST(mToBackend == sent + 1);
  // An answer that is ready still goes to the caller.
  Answer(1, false, 100);
  BOOST_TEST(mToCaller == 2U);
}

// Addresses are used again: a SYN for the earlier service must not run here.
BOOST_AUTO_TEST_CASE(OpeningForAnotherServiceIsRefused)
{
  Beat();
  Packet packet = Opening(kCaller, 1);
  packet.mNote = ServiceTag("library");
  mCore->OnNodePacket(packet, mBytes, kEntry, mNow);
  BOOST_TEST((LastRefusal() == Refusal::WrongService));
  BOOST_TEST(mToBackend == 0U);
}

BOOST_AUTO_TEST_CASE(FullServerReturnsTheOpening)
{
  Beat();
  Offer(1);
  Returned(1, true);
  BOOST_TEST((LastRefusal() == Refusal::Full));
  BOOST_TEST(mCore->Load() == 0U);
}

// A backend server that died without a word: the entry instance is told within
// milliseconds, and further openings are refused but for a trial.
BOOST_AUTO_TEST_CASE(UnansweredOpeningsMakeTheServerSilent)
{
  Beat();
  for (uint16_t port = 1; port <= 3; ++port) {
    Offer(port);
    mNow += 15ms;
    mCore->OnTimer(mNow);
    BOOST_TEST((LastRefusal() == Refusal::Silent));
  }
  BOOST_TEST(mToBackend == 3U);
  Offer(4); // The trial.
  Offer(5);
  Offer(6);
  BOOST_TEST(mToBackend == 4U);
  Answer(4, true);
  Offer(7);
  BOOST_TEST(mToBackend == 5U);
}

// An opening whose caller chose another server holds no slot. Counting it for
// long made agents look full and kept a burst's collapse going.
BOOST_AUTO_TEST_CASE(OpeningsThatNothingFollowsAreNoLoad)
{
  Beat();
  for (uint16_t port = 1; port <= 4; ++port) {
    Offer(port);
    Answer(port, true);
  }
  Offer(5);
  BOOST_TEST((LastRefusal() == Refusal::Busy));
  mNow += 80ms;
  Offer(6);
  BOOST_TEST(mCore->Load() == 1U);
  // The request of a slow caller counts when it comes.
  Data(1);
  BOOST_TEST(mCore->Load() == 2U);
}

BOOST_AUTO_TEST_CASE(CopyGoesToTheServerThatHoldsTheOpening)
{
  Beat();
  Offer(1);
  Answer(1, true);
  for (uint16_t port = 2; port <= 30; ++port) {
    Offer(port, TransitMark::OfferLast);
  }
  const size_t sent = mToBackend;
  Offer(1, TransitMark::OfferLast, 1);
  BOOST_TEST(mToBackend == sent + 1);
  Answer(1, true);
  BOOST_TEST((LastRefusal() == Refusal::None));
}

// The caller took the answer of another server: its packets are not for here.
BOOST_AUTO_TEST_CASE(PacketsOfAnotherServersFlowAreDropped)
{
  Beat();
  Offer(1);
  Answer(1, true);
  const size_t sent = mToBackend;
  Data(1, TransitMark::Locate, kEntry, 5000 + (1U << 30));
  BOOST_TEST(mToBackend == sent);
}

BOOST_AUTO_TEST_CASE(OwnerTellsTheInstanceThatAsks)
{
  Beat();
  Offer(1);
  Answer(1, true);
  Data(1);
  Data(1, TransitMark::Locate, kOtherEntry);
  BOOST_REQUIRE(mNotices.size() == 1U);
  BOOST_TEST((mNotices[0].first == kOtherEntry));
  BOOST_TEST(mNotices[0].second.mOwned);
}

BOOST_AUTO_TEST_CASE(AgentThatSawTheStartDeniesUnknownFlows)
{
  Beat(5, 1);
  Data(9);
  BOOST_TEST(mToBackend == 0U);
  BOOST_REQUIRE(mNotices.size() == 1U);
  BOOST_TEST(!mNotices[0].second.mOwned);
  Data(10, TransitMark::Locate);
  BOOST_TEST(mNotices.size() == 1U);
}

// A restarted agent beside a living server must not break its flows.
BOOST_AUTO_TEST_CASE(RestartedAgentAsksTheServer)
{
  Beat(5, 40);
  Data(9, TransitMark::Locate);
  BOOST_TEST(mToBackend == 1U);
  Answer(9, false, 100);
  BOOST_REQUIRE(mNotices.size() == 1U);
  BOOST_TEST(mNotices[0].second.mOwned);
  Data(10);
  Returned(10, false);
  BOOST_TEST(!mNotices.back().second.mOwned);
  BOOST_TEST(mResets == 0U);
}

// A reset is right only once the server's incarnation is known to be gone.
BOOST_AUTO_TEST_CASE(FlowsOfAnEarlierIncarnationAreReset)
{
  Beat(5, 1);
  Offer(1);
  Answer(1, true);
  Data(1);
  Returned(1, false);
  BOOST_TEST(mResets == 0U);
  BOOST_TEST((Beat(9, 1) == HeartbeatOutcome::Restarted));
  BOOST_TEST(mCore->Load() == 0U);
  Data(1);
  BOOST_TEST(mResets == 1U);
  BOOST_TEST(mDecisions.Count(Verdict::Ended) == 1U);
}

// Guards against the reset of a flow that lives elsewhere: two backend servers
// answered its opening, the caller chose the other one, this one restarted, and
// the entry instance, which lost the other agent's reply, sends it packets.
BOOST_AUTO_TEST_CASE(FlowThatTheCallerOpenedElsewhereIsNotReset)
{
  Beat(5, 1);
  Offer(1);
  Answer(1, true);
  Data(1, TransitMark::Owner, kEntry, 900000001);
  BOOST_TEST(mToBackend == 1U);
  BOOST_REQUIRE(mNotices.size() == 1U);
  BOOST_TEST(!mNotices[0].second.mOwned);
  BOOST_TEST((Beat(9, 1) == HeartbeatOutcome::Restarted));
  Data(1, TransitMark::Owner, kEntry, 900000001);
  Data(1, TransitMark::Locate, kEntry, 900000001);
  BOOST_TEST(mResets == 0U);
  BOOST_TEST(mNotices.size() == 2U);
}

// The same when the other agents were merely asked for the flow, and the
// backend server restarted before it returned the packet.
BOOST_AUTO_TEST_CASE(FlowThatWasOnlyAskedForIsNotReset)
{
  Beat(5, 7);
  Data(1, TransitMark::Locate);
  BOOST_TEST(mToBackend == 1U);
  BOOST_TEST((Beat(9, 1) == HeartbeatOutcome::Restarted));
  Data(1, TransitMark::Locate);
  BOOST_TEST(mResets == 0U);
}

// Guards against a pause counted as service time: after it every request that
// has to wait would be turned away. The load falls below the slots by a restart
// of the server, or by flows that end without an answer.
BOOST_AUTO_TEST_CASE(PauseBetweenTwoFullLoadsIsNoServiceTime)
{
  const auto fill = [this](uint16_t aFirst) {
    for (uint16_t port = aFirst; port < aFirst + 6; ++port) {
      Offer(port, TransitMark::OfferLast);
      Answer(port, true);
      Data(port);
    }
    mNow += 25ms;
    Answer(aFirst, false, 100);
  };
  size_t taken = 0;
  Beat(5, 1);
  fill(1);
  mNow += 20s;
  BOOST_TEST((Beat(9, 1) == HeartbeatOutcome::Restarted));
  fill(11);
  taken = mToBackend;
  Offer(20, TransitMark::OfferLast);
  BOOST_TEST(mToBackend == taken + 1);
  for (uint16_t port = 12; port <= 20; ++port) {
    Returned(port, false);
  }
  mNow += 20s;
  fill(21);
  taken = mToBackend;
  Offer(30, TransitMark::OfferLast);
  BOOST_TEST(mToBackend == taken + 1);
}

BOOST_AUTO_TEST_CASE(LeavingAgentKeepsItsFlows)
{
  Beat();
  Offer(1);
  Answer(1, true);
  mCore->StartLeaving();
  Offer(2);
  BOOST_TEST((LastRefusal() == Refusal::Draining));
  BOOST_TEST(mCore->OpenFlows() == 1U);
  Data(1);
  Answer(1, false, 10);
  Packet fin;
  fin.mSource = kService;
  fin.mDestination = { kCaller.mIp, 1 };
  fin.mFin = true;
  mCore->OnBackendPacket(fin, mBytes, mNow);
  BOOST_TEST(mCore->OpenFlows() == 0U);
}

BOOST_AUTO_TEST_CASE(TablesAreEmptiedInTime)
{
  Beat();
  for (uint16_t port = 1; port <= 4; ++port) {
    Offer(port);
    Answer(port, true);
  }
  mCore->Expire(mNow + 2s);
  BOOST_TEST(mCore->FlowCount() == 0U);
  BOOST_TEST(mCore->Load() == 0U);
  BOOST_TEST(!mCore->NextDeadline().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
