#include <boost/test/unit_test.hpp>

#include <algorithm>

#include <snipepost/Flow/FlowEntryCore.h>

#include "tests/Flow/Samples.h"

using namespace snipepost;
using namespace snipepost::flow;
using namespace std::chrono_literals;
using cluster::NodeIp;
using cluster::Part;
using cluster::Revision;

namespace {

constexpr uint64_t kEqualPriorities = 4;

/// The sample configuration, in which kService has priority 1, and another
/// route to the same service priority 0 unless the version is
/// kEqualPriorities.
std::optional<cluster::RouteConfig>
DecodePriorities(std::string_view aText)
{
  auto config = DecodeSampleConfig(aText);
  cluster::Route urgent = config->mRoutes.at(kService);
  urgent.mAddress = { kService.mIp + 1, kService.mPort };
  config->mRoutes.at(kService).mPriority = 1;
  urgent.mPriority = config->mVersion.Value() == kEqualPriorities ? 1 : 0;
  config->mRoutes[urgent.mAddress] = urgent;
  return config;
}

struct SentSyn
{
  Address mAgent;
  TransitMark mMark = TransitMark::Owner;
  bool mReadsWaits = false;
};

/// An entry instance, with agents that are emulated by the test.
struct Fixture : EntryOutput
{
  Fixture()
    : mReplica(&DecodePriorities)
  {
    FillReplica(mReplica, 6, 3, 4);
    MakeCore(true);
    mReplica.SetObserver([this](Part aPart, const std::vector<std::string>&) {
      mCore->OnReplicaChanged(aPart, mNow);
    });
  }

  void MakeCore(bool aScheduleFlows)
  {
    EntryOptions options;
    options.mDomain = "a";
    options.mScheduleFlows = aScheduleFlows;
    mCore = std::make_unique<FlowEntryCore>(
      options, mReplica, *this, mDecisions, mNow);
  }

  void SendToAgent(std::span<const uint8_t>,
                   const Address& aAgent,
                   uint32_t,
                   TransitMark aMark,
                   bool aReadsWaits) override
  {
    mSent.push_back({ aAgent, aMark, aReadsWaits });
  }
  void SendReset(const Packet&) override { ++mResets; }

  void SendSyn(uint32_t aRetransmission = 0)
  {
    mCore->OnCallerPacket(
      SynPacket(mCaller, 100, aRetransmission), mBytes, mNow);
  }

  void Reply(const Address& aAgent,
             Refusal aRefusal,
             std::vector<ReportedWait> aWaits = {},
             uint16_t aLoad = 1)
  {
    OfferReply reply;
    reply.mFlow = { mCaller, kService };
    reply.mCallerSequence = 100;
    reply.mRefusal = aRefusal;
    reply.mBackendSequence = 5000;
    reply.mLoad = aLoad;
    reply.mWaits = std::move(aWaits);
    reply.mAnnouncesWaits = true;
    mCore->OnOfferReply(NodeIp(aAgent.mIp), reply, mNow);
  }

  /// Sends a SYN that an agent holds. Two others have refused it as busy.
  Address Queue()
  {
    SendSyn();
    Reply(mSent.back().mAgent, Refusal::Busy);
    Reply(mSent.back().mAgent, Refusal::Busy);
    const Address agent = mSent.back().mAgent;
    Reply(agent, Refusal::Queued);
    return agent;
  }

  /// A flow of another caller that every agent refuses as full.
  void SendRefusedFlow()
  {
    ++mCaller.mPort;
    const size_t before = mSent.size();
    SendSyn();
    RefuseOffers(before);
  }

  /// Refuses the offers that were sent after the first aFirst ones, and those
  /// that follow.
  void RefuseOffers(size_t aFirst)
  {
    for (size_t i = aFirst; i < mSent.size(); ++i) {
      const Address agent = mSent[i].mAgent;
      Reply(agent, Refusal::Full);
    }
  }

  size_t Throttled() const
  {
    return static_cast<size_t>(std::ranges::count(
      mDecisions.mDecisions, "overloaded", &Decision::mReason));
  }

  void AdvanceTime(Duration aTime)
  {
    for (const Instant end = mNow + aTime; mNow < end; mNow += 1ms) {
      mCore->OnTimer(mNow);
    }
  }

  std::vector<uint8_t> mBytes = std::vector<uint8_t>(32);
  Address mCaller = kCaller;
  cluster::Replica mReplica;
  FakeDecisions mDecisions;
  std::vector<SentSyn> mSent;
  size_t mResets = 0;
  Instant mNow{ 10s };
  std::unique_ptr<FlowEntryCore> mCore;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(QueuedOfferTest, Fixture)

// Guards against a mark that an agent of the previous version does not know:
// the bit is set only while an announcement is at most 10 s old.
BOOST_AUTO_TEST_CASE(BitIsSetWhileTheAgentAnnouncesSupport)
{
  SendSyn();
  const Address agent = mSent.back().mAgent;
  BOOST_TEST(!mSent.back().mReadsWaits);
  Reply(agent, Refusal::Busy);
  BOOST_TEST(!mSent.back().mReadsWaits);
  Reply(mSent.back().mAgent, Refusal::Busy);
  BOOST_TEST(mSent.back().mReadsWaits);
  mNow += 10001ms;
  SendSyn(1);
  BOOST_TEST(!mSent.back().mReadsWaits);
}

// Guards against changed behaviour of services to which this does not apply,
// and against a switch that has no effect.
BOOST_AUTO_TEST_CASE(OtherServicesAreServedAsBefore)
{
  for (const bool switchedOff : { false, true }) {
    MakeCore(!switchedOff);
    if (!switchedOff) {
      mReplica.ApplyChanges(
        Part::Routes, { { "main", Revision(2), "4" } }, Revision(2));
    } else {
      mReplica.ApplyChanges(
        Part::Routes, { { "main", Revision(3), "6" } }, Revision(3));
    }
    mSent.clear();
    for (int i = 0; i < 20; ++i) {
      SendRefusedFlow();
    }
    ++mCaller.mPort;
    SendSyn();
    // The wait is the opposite of the load, which decides.
    Reply(mSent.back().mAgent, Refusal::Busy, { { 1, 5ms } }, 9);
    const Address leastLoaded = mSent.back().mAgent;
    Reply(leastLoaded, Refusal::Busy, { { 1, 50ms } }, 8);
    BOOST_TEST((mSent.back().mAgent == leastLoaded));
    BOOST_TEST(Throttled() == 0U);
    BOOST_TEST(std::ranges::none_of(mSent, &SentSyn::mReadsWaits));
  }
}

// Guards against offers of a flow that an agent holds, which would take slots
// of several servers, and against its packets being dropped when the second
// reply is lost.
BOOST_AUTO_TEST_CASE(QueuedFlowIsNotOfferedElsewhere)
{
  const Address agent = Queue();
  const size_t offers = mSent.size();
  AdvanceTime(190ms);
  BOOST_TEST(mSent.size() == offers);
  BOOST_TEST(!mCore->NextDeadline().has_value());
  BOOST_TEST(mDecisions.Count(Verdict::Queued) == 1U);
  BOOST_TEST(mDecisions.Count(Verdict::Unanswered) == 0U);
  mCore->OnCallerPacket(CallerData(mCaller, 5001, 10), mBytes, mNow);
  BOOST_REQUIRE(mSent.size() == offers + 1);
  BOOST_TEST((mSent.back().mAgent == agent));
  BOOST_TEST((mSent.back().mMark == TransitMark::OwnerLookup));
}

// Guards against a second reply that is ignored, and against a wait in the
// queue that is taken for the agent's reply time.
BOOST_AUTO_TEST_CASE(SecondReplyPlacesTheFlow)
{
  const Address agent = Queue();
  mNow += 150ms;
  Reply(agent, Refusal::None);
  BOOST_TEST(mDecisions.Count(Verdict::Placed) == 1U);
  mCore->OnCallerPacket(CallerData(mCaller, 5001, 10), mBytes, mNow);
  BOOST_TEST((mSent.back().mMark == TransitMark::Owner));
  // A reply timeout is three times the reply time, and 30 ms at least.
  for (int i = 0; i < 50; ++i) {
    ++mCaller.mPort;
    SendSyn();
    if (mSent.back().mAgent == agent) {
      break;
    }
    Reply(mSent.back().mAgent, Refusal::None);
  }
  BOOST_REQUIRE((mSent.back().mAgent == agent));
  BOOST_TEST((mCore->NextDeadline() <= mNow + 30ms));
}

// Guards against callers that wait for a flow that the agent has given up.
BOOST_AUTO_TEST_CASE(RefusalAfterQueuedMakesTheNextOffer)
{
  const Address agent = Queue();
  const size_t offers = mSent.size();
  mNow += 50ms;
  Reply(agent, Refusal::Evacuated);
  BOOST_REQUIRE(mSent.size() == offers + 1);
  BOOST_TEST((mSent.back().mAgent != agent));
  while (mResets == 0) {
    BOOST_REQUIRE(mSent.size() < 12U);
    Reply(mSent.back().mAgent, Refusal::Draining);
  }
}

// Guards against a flow that stays with an agent that has refused it: the two
// replies of the agent may arrive in reverse order.
BOOST_AUTO_TEST_CASE(RepliesInReverseOrderRefuseTheFlow)
{
  SendSyn();
  const Address agent = mSent.back().mAgent;
  Reply(agent, Refusal::Draining);
  Reply(agent, Refusal::Queued);
  BOOST_TEST(mDecisions.Count(Verdict::Queued) == 0U);
  AdvanceTime(40ms);
  BOOST_TEST(mSent.size() >= 3U);
}

// Guards against a flow that loses its place in the queue, and against one that
// waits for an agent that has ended.
BOOST_AUTO_TEST_CASE(RepeatedSynGoesToTheAgentThatHoldsTheFlow)
{
  const Address agent = Queue();
  for (uint32_t retransmission = 1; retransmission <= 2; ++retransmission) {
    mNow += 200ms;
    SendSyn(retransmission);
    BOOST_TEST((mSent.back().mAgent == agent));
    BOOST_TEST((mSent.back().mMark == TransitMark::OfferFinal));
    BOOST_TEST(mSent.back().mReadsWaits);
    BOOST_TEST(mCore->NextDeadline().has_value());
    if (retransmission == 1) {
      Reply(agent, Refusal::Queued);
      AdvanceTime(100ms);
      BOOST_TEST((mSent.back().mAgent == agent));
    }
  }
  AdvanceTime(35ms);
  BOOST_TEST((mSent.back().mAgent != agent));
}

// Guards against a further offer, made because another one timed out, of a flow
// that an agent holds after a late reply.
BOOST_AUTO_TEST_CASE(LateQueuedReplyEndsTheOffers)
{
  // Fills the budget for offers that follow an unanswered one.
  for (int i = 0; i < 50; ++i) {
    SendSyn();
    Reply(mSent.back().mAgent, Refusal::None);
    ++mCaller.mPort;
  }
  mNow += 1s;
  const size_t before = mSent.size();
  SendSyn();
  const Address late = mSent.back().mAgent;
  AdvanceTime(35ms);
  const size_t offers = mSent.size();
  BOOST_REQUIRE(offers - before >= 2U);
  Reply(late, Refusal::Queued);
  AdvanceTime(100ms);
  BOOST_TEST(mSent.size() == offers);
  BOOST_TEST(mResets == 0U);
}

// Guards against final offers to the agent with the longest queue for this
// priority because fewer requests are at its server, and against old reports.
BOOST_AUTO_TEST_CASE(FinalOfferGoesToTheLeastExpectedWait)
{
  SendSyn();
  const Address shorter = mSent.back().mAgent;
  Reply(shorter, Refusal::Busy, { { 0, 90ms }, { 1, 20ms } }, 9);
  const Address other = mSent.back().mAgent;
  Reply(other, Refusal::Busy, { { 0, 0ms }, { 1, 60ms } }, 8);
  BOOST_TEST((mSent.back().mAgent == shorter));
  BOOST_TEST((mSent.back().mMark == TransitMark::OfferFinal));
  AgentView view;
  OfferReply reply;
  reply.mWaits = { { 1, 60ms } };
  UpdateWaits(view, reply, mNow);
  BOOST_TEST((ExpectedWait(view, 1, mNow + 10ms) == 50ms));
  BOOST_TEST((ExpectedWait(view, 2, mNow + 100ms) == 0ms));
  BOOST_TEST(!ExpectedWait(view, 0, mNow).has_value());
  BOOST_TEST(!ExpectedWait(view, 1, mNow + 501ms).has_value());
}

// Guards against offers without end during overload. A retransmitted SYN may be
// held by an agent or belong to an open flow that another instance placed, so
// it must not be reset.
BOOST_AUTO_TEST_CASE(OverloadedServiceRefusesFirstSynsAtOnce)
{
  for (int i = 0; i < 40; ++i) {
    SendRefusedFlow();
  }
  BOOST_TEST(Throttled() >= 10U);
  BOOST_TEST(mResets == 40U); // Also those that agents refused.
  const size_t throttled = Throttled();
  for (int i = 0; i < 20; ++i) {
    ++mCaller.mPort;
    SendSyn(1);
  }
  BOOST_TEST(Throttled() == throttled);
  mNow += 1001ms;
  ++mCaller.mPort;
  SendSyn();
  BOOST_TEST(Throttled() == throttled);
}

// Guards against flows that are throttled because of another caller: the
// throttle has to be told the caller's IP address.
BOOST_AUTO_TEST_CASE(ACallerIsNotThrottledBecauseOfAnother)
{
  for (int i = 0; i < 15; ++i) {
    ++mCaller.mPort;
    SendSyn();
    Reply(mSent.back().mAgent, Refusal::None);
  }
  for (int i = 0; i < 30; ++i) {
    SendRefusedFlow();
  }
  const size_t throttled = Throttled();
  BOOST_TEST(throttled > 0U);
  ++mCaller.mIp;
  for (int i = 0; i < 10; ++i, ++mCaller.mPort) {
    SendSyn();
  }
  BOOST_TEST(Throttled() == throttled);
}

// Guards against a burst that is throttled before any agent has replied, and
// against queued flows that count as refused or twice.
BOOST_AUTO_TEST_CASE(QueuedAndUnansweredFlowsAreNoSignOfOverload)
{
  for (int i = 0; i < 40; ++i) {
    ++mCaller.mPort;
    SendSyn();
  }
  for (int i = 0; i < 40; ++i) {
    ++mCaller.mPort;
    const Address agent = Queue();
    size_t before = mSent.size();
    Reply(agent, Refusal::Full);
    RefuseOffers(before);
    for (uint32_t retransmission = 1; retransmission <= 2; ++retransmission) {
      before = mSent.size();
      SendSyn(retransmission);
      RefuseOffers(before);
    }
  }
  BOOST_TEST(Throttled() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
