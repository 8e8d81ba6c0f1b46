#include <set>

#include <boost/test/unit_test.hpp>

#include <snipepost/Flow/FlowEntryCore.h>

#include "tests/Flow/Samples.h"

using namespace snipepost;
using namespace snipepost::flow;
using namespace std::chrono_literals;
using cluster::NodeIp;
using cluster::Part;
using cluster::Revision;

namespace {

struct SentPacket
{
  Address mAgent;
  uint32_t mServiceTag = 0;
  TransitMark mMark = TransitMark::Owner;
};

/// An entry instance in domain a, with agents that are emulated by the test.
struct Fixture : EntryOutput
{
  explicit Fixture(size_t aServers = 6)
    : mReplica(&DecodeSampleConfig)
  {
    FillReplica(mReplica, aServers, 3, 4);
    mCore = std::make_unique<FlowEntryCore>(
      EntryOptions{ "a" }, mReplica, *this, mDecisions, mNow);
    mReplica.SetObserver([this](Part aPart, const std::vector<std::string>&) {
      mCore->OnReplicaChanged(aPart, mNow);
    });
  }

  void SendToAgent(std::span<const uint8_t>,
                   const Address& aAgent,
                   uint32_t aServiceTag,
                   TransitMark aMark,
                   bool) override
  {
    mSent.push_back({ aAgent, aServiceTag, aMark });
  }
  void SendReset(const Packet& aPacket) override
  {
    ++mResets;
    mLastReset = aPacket;
  }

  void SendSyn(uint32_t aRetransmission = 0)
  {
    mCore->OnCallerPacket(
      SynPacket(kCaller, 100, aRetransmission), mBytes, mNow);
  }

  void ReplyToOffer(const Address& aAgent,
                    Refusal aRefusal,
                    uint32_t aSequence = 5000,
                    uint16_t aLoad = 1)
  {
    OfferReply reply;
    reply.mFlow = { kCaller, kService };
    reply.mCallerSequence = 100;
    reply.mRefusal = aRefusal;
    reply.mBackendSequence = aSequence;
    reply.mLoad = aLoad;
    mCore->OnOfferReply(NodeIp(aAgent.mIp), reply, mNow);
  }

  void SendData(uint32_t aAck)
  {
    mCore->OnCallerPacket(CallerData(kCaller, aAck, 10), mBytes, mNow);
  }

  void Exclude(const Address& aAgent,
               std::optional<cluster::PartVersion> aRecords = std::nullopt)
  {
    const auto records = aRecords.value_or(mReplica.Version(Part::Backends));
    mCore->OnOwnerExclusion(
      NodeIp(aAgent.mIp), { { kCaller, kService }, records }, mNow);
  }

  void AdvanceTime(Duration aTime)
  {
    const Instant end = mNow + aTime;
    for (; mNow < end; mNow += 1ms) {
      mCore->OnTimer(mNow);
    }
  }

  std::vector<uint8_t> mBytes = std::vector<uint8_t>(32);
  cluster::Replica mReplica;
  FakeDecisions mDecisions;
  std::vector<SentPacket> mSent;
  size_t mResets = 0;
  Packet mLastReset;
  Instant mNow{ 10s };
  std::unique_ptr<FlowEntryCore> mCore;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FlowEntryCoreTest, Fixture)

BOOST_AUTO_TEST_CASE(PacketsGoToTheAgentThatAcceptedTheFlow)
{
  SendSyn();
  BOOST_REQUIRE(mSent.size() == 1U);
  BOOST_TEST((mSent[0].mMark == TransitMark::OfferIfFree));
  BOOST_TEST(mSent[0].mServiceTag == ServiceTag("desk"));
  const Address agent = mSent[0].mAgent;
  ReplyToOffer(agent, Refusal::None);
  SendData(5001);
  BOOST_TEST((mSent.back().mAgent == agent));
  BOOST_TEST((mSent.back().mMark == TransitMark::Owner));
}

// When an agent does not reply, the flow must not wait for the caller's SYN
// retransmission after 200 ms.
BOOST_AUTO_TEST_CASE(UnresponsiveAgentIsSkippedWithinMilliseconds)
{
  SendSyn();
  AdvanceTime(35ms);
  BOOST_TEST(mSent.size() >= 2U);
  BOOST_TEST((mSent[0].mAgent != mSent[1].mAgent));
  BOOST_TEST(mDecisions.Count(Verdict::Unanswered) >= 1U);
}

// After all instances were killed, the callers' packets arrive before the
// shared state. Dropping them would delay each caller by the 200 ms until its
// next retransmission.
BOOST_AUTO_TEST_CASE(StartingInstanceDefersSynsUntilTheSharedState)
{
  cluster::Replica empty(&DecodeSampleConfig);
  FlowEntryCore core({ "a" }, empty, *this, mDecisions, mNow);
  empty.SetObserver([&](Part aPart, const std::vector<std::string>&) {
    core.OnReplicaChanged(aPart, mNow);
  });
  core.OnCallerPacket(SynPacket(kCaller, 100), mBytes, mNow);
  BOOST_TEST(mSent.empty());
  mNow += 20ms;
  FillReplica(empty, 6, 3, 4);
  BOOST_REQUIRE(mSent.size() == 1U);
  BOOST_TEST((mSent[0].mMark == TransitMark::OfferIfFree));
  BOOST_TEST(mResets == 0U);
}

BOOST_AUTO_TEST_CASE(RefusedOfferIsMadeToTheNextAgent)
{
  SendSyn();
  ReplyToOffer(mSent[0].mAgent, Refusal::Draining);
  BOOST_REQUIRE(mSent.size() == 2U);
  BOOST_TEST((mSent[0].mAgent != mSent[1].mAgent));
}

// With every agent busy, the least loaded one gets the final offer after two
// attempts, because further attempts cost processor time during overload.
BOOST_AUTO_TEST_CASE(LeastLoadedAgentGetsTheFinalOfferWhenAllAreBusy)
{
  SendSyn();
  ReplyToOffer(mSent[0].mAgent, Refusal::Busy, 0, 6);
  ReplyToOffer(mSent[1].mAgent, Refusal::Busy, 0, 5);
  BOOST_REQUIRE(mSent.size() == 3U);
  BOOST_TEST((mSent[2].mAgent == mSent[1].mAgent));
  BOOST_TEST((mSent[2].mMark == TransitMark::OfferFinal));
}

// A flow that can't be served is rejected at once, and so is each SYN
// retransmission of it.
BOOST_AUTO_TEST_CASE(DrainingAgentsLeadToAReset)
{
  SendSyn();
  while (mResets == 0) {
    BOOST_REQUIRE(mSent.size() < 10U);
    ReplyToOffer(mSent.back().mAgent, Refusal::Draining);
  }
  BOOST_TEST(mDecisions.Count(Verdict::Rejected) == 1U);
  SendSyn(1);
  BOOST_TEST(mResets == 2U);
}

// After its last retransmission a caller sends no further SYN that might be
// accepted.
BOOST_AUTO_TEST_CASE(FullAgentsRejectTheLastRetransmission)
{
  for (uint32_t retransmission = 0; retransmission <= 2; ++retransmission) {
    BOOST_TEST(mResets == 0U);
    const size_t before = mSent.size();
    SendSyn(retransmission);
    for (size_t i = before; i < mSent.size(); ++i) {
      const Address agent = mSent[i].mAgent;
      ReplyToOffer(agent, Refusal::Full);
    }
  }
  BOOST_TEST(mResets == 1U);
}

// Guards against callers that wait although every server is known to fail.
BOOST_AUTO_TEST_CASE(FailingServersLeadToAResetAtOnce)
{
  SendSyn();
  for (size_t i = 0; i < mSent.size(); ++i) {
    const Address agent = mSent[i].mAgent;
    ReplyToOffer(agent, Refusal::Failing);
  }
  BOOST_TEST(mResets == 1U);
}

// A starting agent may accept the retransmission 200 ms later: the SYN is
// dropped without a reset.
BOOST_AUTO_TEST_CASE(StartingAgentsLeadToNoReset)
{
  SendSyn();
  for (size_t i = 0; i < mSent.size(); ++i) {
    const Address agent = mSent[i].mAgent;
    ReplyToOffer(agent, Refusal::NotReady);
  }
  BOOST_TEST(mResets == 0U);
  const size_t sent = mSent.size();
  SendSyn(1);
  BOOST_TEST(mSent.size() == sent + 1);
}

BOOST_AUTO_TEST_CASE(FlowWithoutAnyServerIsRejectedAtOnce)
{
  mReplica.ApplySnapshot(Part::Backends, { Revision(9), {} });
  SendSyn();
  BOOST_TEST(mResets == 1U);
}

// The caller's first acknowledgement shows which of two SYN-ACKs it accepted.
BOOST_AUTO_TEST_CASE(CallerChoosesBetweenTwoAgents)
{
  SendSyn();
  AdvanceTime(35ms);
  BOOST_REQUIRE(mSent.size() >= 2U);
  const Address first = mSent[0].mAgent;
  const Address second = mSent[1].mAgent;
  ReplyToOffer(second, Refusal::None, 90000000);
  ReplyToOffer(first, Refusal::None, 5000);
  SendData(5001);
  BOOST_TEST((mSent.back().mAgent == first));
}

// When an entry instance is added or removed, flows arrive at instances that
// have no state of them.
BOOST_AUTO_TEST_CASE(OwnerOfAnUnknownFlowIsLookedUp)
{
  SendData(1);
  BOOST_TEST(mSent.size() == 6U);
  for (const SentPacket& sent : mSent) {
    BOOST_TEST((sent.mMark == TransitMark::OwnerLookup));
  }
  const Address owner = mSent[3].mAgent;
  mCore->OnOwnerNotice(
    NodeIp(owner.mIp), { { kCaller, kService }, true }, mNow);
  mSent.clear();
  SendData(1);
  BOOST_REQUIRE(mSent.size() == 1U);
  BOOST_TEST((mSent[0].mAgent == owner));
  BOOST_TEST((mSent[0].mMark == TransitMark::Owner));
}

// The reply to an offer is lost, and the agent identifies itself as the owner
// after the caller's next packet. A second offer would open the flow at a
// second server.
BOOST_AUTO_TEST_CASE(OwnerNoticeReplacesALostReply)
{
  SendSyn();
  const Address agent = mSent[0].mAgent;
  SendData(5001);
  BOOST_TEST((mSent.back().mMark == TransitMark::OwnerLookup));
  mCore->OnOwnerNotice(
    NodeIp(agent.mIp), { { kCaller, kService }, true }, mNow);
  const size_t sent = mSent.size();
  AdvanceTime(100ms);
  BOOST_TEST(mSent.size() == sent);
  BOOST_TEST(mDecisions.Count(Verdict::Unanswered) == 0U);
}

BOOST_AUTO_TEST_CASE(DeniedOwnershipStartsAnotherLookup)
{
  SendSyn();
  const Address agent = mSent[0].mAgent;
  ReplyToOffer(agent, Refusal::None);
  mCore->OnOwnerNotice(
    NodeIp(agent.mIp), { { kCaller, kService }, false }, mNow);
  mSent.clear();
  SendData(5001);
  BOOST_TEST(mSent.size() == 6U);
}

// An upload has up to 16 packets in flight. When its flow moves to another
// entry instance, a lookup with a copy of each of them for every possible owner
// would fill the link of a small instance.
BOOST_AUTO_TEST_CASE(PacketsWaitForTheLookupOfTheirFlow)
{
  for (uint32_t i = 0; i < 16; ++i) {
    SendData(1 + i);
  }
  BOOST_TEST(mSent.size() == 6U);
  const Address owner = mSent[2].mAgent;
  mCore->OnOwnerNotice(
    NodeIp(owner.mIp), { { kCaller, kService }, true }, mNow);
  BOOST_REQUIRE(mSent.size() == 6U + 15U);
  for (size_t i = 6; i < mSent.size(); ++i) {
    BOOST_TEST((mSent[i].mAgent == owner));
    BOOST_TEST((mSent[i].mMark == TransitMark::Owner));
  }
}

struct LargeFixture : Fixture
{
  LargeFixture()
    : Fixture(60)
  {
  }
};

// A flow with many possible owners is looked up in two attempts. The second one
// must not wait for the caller's retransmission, 200 ms later.
BOOST_FIXTURE_TEST_CASE(SecondAttemptFollowsWhenAllAskedAgentsAreExcluded,
                        LargeFixture)
{
  SendData(1);
  const size_t asked = mSent.size();
  BOOST_REQUIRE(asked == 8U);
  for (size_t i = 0; i < asked; ++i) {
    BOOST_TEST(mSent.size() == asked);
    Exclude(AgentAddress(mSent[i].mAgent.mIp - AgentAddress(0).mIp));
  }
  BOOST_TEST(mSent.size() > asked);
  for (size_t i = asked; i < mSent.size(); ++i) {
    BOOST_TEST(mResets == 0U);
    Exclude(AgentAddress(mSent[i].mAgent.mIp - AgentAddress(0).mIp));
  }
  BOOST_TEST(mResets == 1U);
  BOOST_TEST(mCore->WaitingPackets() == 0U);
}

// The reply to a lookup may be lost: a later packet starts another attempt.
BOOST_AUTO_TEST_CASE(LookupIsRepeatedByALaterPacket)
{
  SendData(1);
  mNow += 200ms;
  SendData(1);
  BOOST_TEST(mSent.size() == 12U);
}

// Guards against the loss of packets that arrive while the instance starts.
BOOST_AUTO_TEST_CASE(StartingInstanceLooksUpOwnersAfterTheSharedState)
{
  cluster::Replica replica(&DecodeSampleConfig);
  mCore = std::make_unique<FlowEntryCore>(
    EntryOptions{ "a" }, replica, *this, mDecisions, mNow);
  SendData(1);
  BOOST_TEST(mSent.empty());
  FillReplica(replica, 6, 3, 4);
  for (const Part part : cluster::kParts) {
    mCore->OnReplicaChanged(part, mNow);
  }
  AdvanceTime(100ms);
  BOOST_TEST(mSent.size() == 6U);
  mCore.reset();
}

// Guards against the reset of an open flow: another entry instance has placed
// an earlier copy of the SYN that this instance rejects.
BOOST_AUTO_TEST_CASE(RejectedSynDoesNotResetAnOpenFlow)
{
  mReplica.ApplyChanges(Part::Evacuations,
                        { { "a", Revision(2), "{}" },
                          { "b", Revision(2), "{}" },
                          { "c", Revision(2), "{}" } },
                        Revision(2));
  SendSyn(1);
  BOOST_TEST(mResets == 1U);
  SendData(5001);
  BOOST_TEST(mResets == 1U);
  BOOST_TEST(mSent.size() == 6U);
  mCore->OnOwnerNotice(
    NodeIp(mSent[3].mAgent.mIp), { { kCaller, kService }, true }, mNow);
  SendData(5002);
  BOOST_TEST((mSent.back().mMark == TransitMark::Owner));
}

// Guards against requests that are never answered: agents have refused a copy
// of the SYN, but another entry instance has placed the flow.
BOOST_AUTO_TEST_CASE(FlowWhoseOffersWereRefusedIsLookedUp)
{
  SendSyn();
  for (size_t i = 0; i < mSent.size(); ++i) {
    const Address agent = mSent[i].mAgent;
    ReplyToOffer(agent, Refusal::NotReady);
  }
  mSent.clear();
  SendData(5001);
  BOOST_TEST(mSent.size() == 6U);
}

// Packets that wait must not take more memory than a few of the smallest
// instances can spare.
BOOST_AUTO_TEST_CASE(WaitingPacketsAreBounded)
{
  for (uint32_t flow = 0; flow < 1000; ++flow) {
    for (int i = 0; i < 3; ++i) {
      mCore->OnCallerPacket(
        CallerData({ kCaller.mIp + flow, 1000 }, 1, 10), mBytes, mNow);
    }
  }
  BOOST_TEST(mCore->WaitingPackets() == FlowEntryCore::kMaxWaitingPackets);
  mCore->Expire(mNow + 5s);
  BOOST_TEST(mCore->WaitingPackets() == 0U);
  BOOST_TEST(mCore->FlowCount() == 0U);
}

// After all servers restarted, the caller of an open flow would wait for its
// request timeout.
BOOST_AUTO_TEST_CASE(FlowWithoutAnyOwnerIsReset)
{
  SendData(777);
  for (size_t i = 0; i < 6; ++i) {
    BOOST_TEST(mResets == 0U);
    Exclude(mSent[i].mAgent);
  }
  BOOST_TEST(mResets == 1U);
  BOOST_TEST(mLastReset.mAcknowledgement == 777U);
  BOOST_TEST(mDecisions.mDecisions.back().mReason == "owner-ended");
  // Packets that the caller sent before the reset arrived.
  SendData(778);
  BOOST_TEST(mResets == 2U);
}

// A silent agent may be frozen or cut off while its server owns the flow.
BOOST_AUTO_TEST_CASE(FlowIsNotResetWhileOnePossibleOwnerIsSilent)
{
  SendData(1);
  for (size_t i = 1; i < 6; ++i) {
    Exclude(mSent[i].mAgent);
    Exclude(mSent[i].mAgent);
  }
  const Address silent = mSent[0].mAgent;
  mSent.clear();
  mNow += 200ms; // The caller's retransmission.
  SendData(1);
  BOOST_TEST(mResets == 0U);
  BOOST_REQUIRE(mSent.size() == 1U);
  BOOST_TEST((mSent[0].mAgent == silent));
}

// The owner may have been added by a change that this instance does not know.
BOOST_AUTO_TEST_CASE(ExclusionByAnAgentWithNewerRecordsIsIgnored)
{
  SendData(1);
  auto newer = mReplica.Version(Part::Backends);
  newer.mRevision = Revision(newer.mRevision.Value() + 1);
  newer.mContentHash += 1;
  Exclude(mSent[0].mAgent, newer);
  for (size_t i = 1; i < 6; ++i) {
    Exclude(mSent[i].mAgent);
  }
  BOOST_TEST(mResets == 0U);
  Exclude(mSent[0].mAgent);
  BOOST_TEST(mResets == 1U);
}

// Guards against the reset of an open flow whose owner's record arrives between
// a lookup and its replies: the lookup did not ask the owner.
BOOST_AUTO_TEST_CASE(ExclusionFromBeforeNewRecordsDoesNotCount)
{
  SendData(1);
  BOOST_REQUIRE(mSent.size() == 6U);
  cluster::BackendRecord owner;
  owner.mService = "desk";
  owner.mAgent = AgentAddress(6);
  owner.mDomain = "a";
  mReplica.ApplyChanges(Part::Backends,
                        { { cluster::RecordName(owner.mAgent),
                            Revision(2),
                            cluster::EncodeRecord(owner) } },
                        Revision(2));
  for (size_t i = 0; i < 6; ++i) {
    Exclude(AgentAddress(i));
  }
  BOOST_TEST(mResets == 0U);
  AdvanceTime(50ms);
  mSent.clear();
  SendData(1);
  BOOST_TEST(mSent.size() == 7U);
  for (size_t i = 0; i < 6; ++i) {
    Exclude(AgentAddress(i));
  }
  BOOST_TEST(mResets == 0U);
  Exclude(owner.mAgent);
  BOOST_TEST(mResets == 1U);
}

// Exclusions hold for one flow, not for a later one with the same addresses.
BOOST_AUTO_TEST_CASE(ExclusionsOfAnEarlierFlowAreDiscarded)
{
  SendData(1);
  for (size_t i = 0; i < 5; ++i) {
    Exclude(mSent[i].mAgent);
  }
  const Address last = mSent[5].mAgent;
  SendData(1U << 30);
  Exclude(last);
  BOOST_TEST(mResets == 0U);
}

BOOST_AUTO_TEST_CASE(OwnerThatRepliesLateKeepsItsFlow)
{
  SendData(1);
  for (size_t i = 0; i < 5; ++i) {
    Exclude(mSent[i].mAgent);
  }
  const Address owner = mSent[5].mAgent;
  mCore->OnOwnerNotice(
    NodeIp(owner.mIp), { { kCaller, kService }, true }, mNow);
  SendData(1);
  BOOST_TEST(mResets == 0U);
  BOOST_TEST((mSent.back().mAgent == owner));
}

/// Six servers of the route's service, and three of another one.
struct TwoServicesFixture : Fixture
{
  TwoServicesFixture()
  {
    for (size_t i = 6; i < 9; ++i) {
      cluster::BackendRecord record;
      record.mService = "library";
      record.mAgent = AgentAddress(i);
      record.mDomain = "a";
      mReplica.ApplyChanges(Part::Backends,
                            { { cluster::RecordName(record.mAgent),
                                Revision(2),
                                cluster::EncodeRecord(record) } },
                            Revision(2));
    }
  }
};

// Guards against the reset of an open flow whose route goes to another service
// now: an instance that has started since does not know the earlier service.
BOOST_FIXTURE_TEST_CASE(FlowOfAnEarlierServiceIsNotReset, TwoServicesFixture)
{
  SendData(5001);
  BOOST_REQUIRE(mSent.size() == 6U);
  for (size_t i = 0; i < 6; ++i) {
    Exclude(mSent[i].mAgent);
  }
  BOOST_TEST(mResets == 0U);
  BOOST_REQUIRE(mSent.size() == 9U);
  const Address owner = mSent[8].mAgent;
  mCore->OnOwnerNotice(
    NodeIp(owner.mIp), { { kCaller, kService }, true }, mNow);
  SendData(5001);
  BOOST_TEST((mSent.back().mAgent == owner));
  BOOST_TEST(mResets == 0U);
}

// A silent agent of the route's present service must not keep the owner from
// being asked.
BOOST_FIXTURE_TEST_CASE(OtherServicesAreAskedInTheSecondAttempt,
                        TwoServicesFixture)
{
  SendData(5001);
  for (size_t i = 1; i < 6; ++i) {
    Exclude(mSent[i].mAgent);
  }
  mNow += 200ms; // The caller's retransmission.
  SendData(5001);
  BOOST_REQUIRE(mSent.size() == 10U);
  BOOST_TEST((mSent[6].mAgent == mSent[0].mAgent));
}

BOOST_FIXTURE_TEST_CASE(FlowWithoutAnOwnerInAnyServiceIsReset,
                        TwoServicesFixture)
{
  SendData(5001);
  for (size_t i = 0; i < 9; ++i) {
    BOOST_TEST(mResets == 0U);
    Exclude(mSent.at(i).mAgent);
  }
  BOOST_TEST(mResets == 1U);
  BOOST_TEST(mCore->WaitingPackets() == 0U);
}

// A packet that follows its SYN to another entry instance may arrive before the
// agent's reply: the agents that were offered the flow are asked first.
BOOST_AUTO_TEST_CASE(ExclusionDuringPlacementDoesNotResetTheFlow)
{
  SendSyn();
  SendData(5001);
  for (size_t i = 0; i < 6; ++i) {
    Exclude(AgentAddress(i));
  }
  BOOST_TEST(mResets == 0U);
}

// Guards against callers that are refused more often because the failure domain
// of their entry instance is evacuated: it must choose from as many servers as
// others, although none is local.
BOOST_AUTO_TEST_CASE(EvacuatedDomainHasAsManyCandidates)
{
  for (const char* domain : { "a", "b" }) {
    Fixture test(24);
    test.mReplica.ApplyChanges(
      Part::Evacuations, { { domain, Revision(2), "{}" } }, Revision(2));
    // Each offer raises the load estimate of its agent, so that another one is
    // next.
    std::set<Address> agents;
    for (uint32_t sequence = 0; sequence < 100; ++sequence) {
      test.mCore->OnCallerPacket(
        SynPacket(kCaller, sequence), test.mBytes, test.mNow);
      agents.insert(test.mSent.back().mAgent);
    }
    BOOST_TEST(agents.size() == 8U);
  }
}

BOOST_AUTO_TEST_CASE(EvacuatedServersGetNoOffer)
{
  mReplica.ApplyChanges(
    Part::Evacuations, { { "a", Revision(2), "{}" } }, Revision(2));
  for (uint32_t i = 0; i < 50; ++i) {
    const Address caller{ kCaller.mIp, static_cast<uint16_t>(1000 + i) };
    mCore->OnCallerPacket(SynPacket(caller, i), mBytes, mNow);
  }
  for (const SentPacket& sent : mSent) {
    const auto& record =
      mReplica.Backends().at(cluster::RecordName(sent.mAgent));
    BOOST_TEST(record.mDomain != "a");
  }
}

// An unknown route may just have been added: without a reset, the caller
// retransmits the SYN, and the entry instance may then have the route.
BOOST_AUTO_TEST_CASE(SynToUnknownRouteIsDroppedAndToRemovedRouteRejected)
{
  Packet packet = SynPacket(kCaller, 1);
  packet.mDestination = { 0xc6120009, 443 };
  mCore->OnCallerPacket(packet, mBytes, mNow);
  BOOST_TEST(mResets == 0U);
  BOOST_TEST(mSent.empty());
  mReplica.ApplyChanges(
    Part::Routes, { { "main", Revision(5), "3" } }, Revision(5));
  SendSyn();
  BOOST_TEST(mResets == 1U);
  mReplica.ApplyChanges(
    Part::Routes, { { "main", Revision(6), "4" } }, Revision(6));
  SendSyn();
  BOOST_TEST(mSent.size() == 1U);
}

// Late replies during processor overload must not double the offers.
BOOST_AUTO_TEST_CASE(RepeatedOffersAreLimitedByABudget)
{
  constexpr uint32_t kFlows = 1000;
  for (uint32_t i = 0; i < kFlows; ++i) {
    const Address caller{ kCaller.mIp + i, 1000 };
    mCore->OnCallerPacket(SynPacket(caller, i), mBytes, mNow);
    AdvanceTime(2ms);
  }
  AdvanceTime(200ms);
  BOOST_TEST(mSent.size() <= kFlows + kFlows / 10 + 41);
}

// In a burst above capacity right after an outage, SYN retransmissions may be
// accepted; in a longer overload flows are rejected at once.
BOOST_AUTO_TEST_CASE(ShortOverloadDropsSynsAndLongOverloadRejectsThem)
{
  const auto refuseAll = [this](uint16_t aPort) {
    const Address caller{ kCaller.mIp, aPort };
    const size_t before = mSent.size();
    mCore->OnCallerPacket(SynPacket(caller, 100), mBytes, mNow);
    for (size_t i = before; i < mSent.size(); ++i) {
      OfferReply reply;
      reply.mFlow = { caller, kService };
      reply.mCallerSequence = 100;
      reply.mRefusal = Refusal::Full;
      mCore->OnOfferReply(NodeIp(mSent[i].mAgent.mIp), reply, mNow);
    }
  };
  uint16_t port = 1000;
  for (const Instant end = mNow + 1400ms; mNow < end; mNow += 50ms) {
    refuseAll(port++);
  }
  BOOST_TEST(mResets == 0U);
  mNow += 200ms;
  refuseAll(port);
  BOOST_TEST(mResets == 1U);
}

// Records of crashed agents would otherwise delay new flows forever.
BOOST_AUTO_TEST_CASE(RecordOfALongUnresponsiveAgentIsDead)
{
  const Address crashed = AgentAddress(0);
  uint16_t port = 1000;
  for (const Instant end = mNow + 30s; mNow < end; mNow += 100ms) {
    const Address caller{ kCaller.mIp, port++ };
    const size_t before = mSent.size();
    mCore->OnCallerPacket(SynPacket(caller, 100), mBytes, mNow);
    for (size_t i = before; i < mSent.size(); ++i) {
      if (mSent[i].mAgent != crashed) {
        OfferReply reply;
        reply.mFlow = { caller, kService };
        reply.mCallerSequence = 100;
        mCore->OnOfferReply(NodeIp(mSent[i].mAgent.mIp), reply, mNow);
      }
    }
    mCore->OnTimer(mNow + 90ms);
    if (mNow < end - 10s) {
      BOOST_TEST(mCore->DeadRecords(mNow).empty());
    }
  }
  const auto dead = mCore->DeadRecords(mNow);
  BOOST_REQUIRE(dead.size() == 1U);
  BOOST_TEST(dead[0] == cluster::RecordName(crashed));
}

// A draining server gets no offers; when its agent is gone for good, only
// lookups show it.
BOOST_AUTO_TEST_CASE(RecordOfAnAgentThatIgnoresLookupsIsDead)
{
  const Address crashed = AgentAddress(0);
  uint32_t caller = kCaller.mIp;
  for (const Instant end = mNow + 30s; mNow < end; mNow += 1s) {
    BOOST_TEST(mCore->DeadRecords(mNow).empty() == (mNow < end - 4s));
    ++caller;
    for (int i = 0; i < 2; ++i) {
      const size_t before = mSent.size();
      mCore->OnCallerPacket(
        CallerData({ caller, 1000 }, 1, 10), mBytes, mNow + i * 200ms);
      for (size_t sent = before; sent < mSent.size(); ++sent) {
        const Address agent = mSent[sent].mAgent;
        if (agent != crashed) {
          mCore->OnOwnerExclusion(NodeIp(agent.mIp),
                                  { { { caller, 1000 }, kService },
                                    mReplica.Version(Part::Backends) },
                                  mNow + i * 200ms);
        }
      }
    }
  }
  const auto dead = mCore->DeadRecords(mNow);
  BOOST_REQUIRE(dead.size() == 1U);
  BOOST_TEST(dead[0] == cluster::RecordName(crashed));
}

// When a frozen instance continues, offers are overdue and flows have expired:
// the deadline of an expired flow must not affect a new flow with the same
// addresses.
BOOST_AUTO_TEST_CASE(OverdueOfferOfAnExpiredFlowIsIgnored)
{
  SendSyn();
  mNow += 5s;
  mCore->Expire(mNow);
  SendData(1);
  mCore->OnTimer(mNow);
  BOOST_TEST(mDecisions.Count(Verdict::Unanswered) == 0U);
}

BOOST_AUTO_TEST_CASE(ClosedFlowsExpire)
{
  SendSyn();
  ReplyToOffer(mSent[0].mAgent, Refusal::None);
  Packet fin = CallerData(kCaller, 5001);
  fin.mFin = true;
  mCore->OnCallerPacket(fin, mBytes, mNow);
  mCore->Expire(mNow + 1s);
  BOOST_TEST(mCore->FlowCount() == 1U);
  mCore->Expire(mNow + 3s);
  BOOST_TEST(mCore->FlowCount() == 0U);
  BOOST_TEST(!mCore->NextDeadline().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
