#include <boost/test/unit_test.hpp>

#include <snipepost/Flow/EntryCore.h>

#include "tests/Flow/Samples.h"

using namespace snipepost;
using namespace snipepost::flow;
using namespace std::chrono_literals;
using cluster::NodeIp;
using cluster::Part;
using cluster::Revision;

namespace {

struct Sent
{
  Address mAgent;
  uint32_t mNote = 0;
  TransitMark mMark = TransitMark::Owner;
};

/// An entry instance in domain a, with agents that a test plays.
struct Fixture : EntryOutput
{
  explicit Fixture(size_t aServers = 6)
    : mReplica(&DecodeSampleConfig)
  {
    FillReplica(mReplica, aServers, 3, 4);
    mCore = std::make_unique<EntryCore>("a", mReplica, *this, mDecisions);
    mReplica.Observe([this](Part aPart, const std::vector<std::string>&) {
      mCore->OnReplicaChanged(aPart, mNow);
    });
  }

  void SendToAgent(std::span<const uint8_t>,
                   const Address& aAgent,
                   uint32_t aNote,
                   TransitMark aMark) override
  {
    mSent.push_back({ aAgent, aNote, aMark });
  }
  void SendReset(const Packet&) override { ++mResets; }

  void Open(uint32_t aCopy = 0)
  {
    mCore->OnCallerPacket(Opening(kCaller, 100, aCopy), mBytes, mNow);
  }

  void Reply(const Address& aAgent,
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

  void Data(uint32_t aAck)
  {
    mCore->OnCallerPacket(CallerData(kCaller, aAck, 10), mBytes, mNow);
  }

  void Pass(Duration aTime)
  {
    const Instant end = mNow + aTime;
    for (; mNow < end; mNow += 1ms) {
      mCore->OnTimer(mNow);
    }
  }

  std::vector<uint8_t> mBytes = std::vector<uint8_t>(32);
  cluster::Replica mReplica;
  FakeDecisions mDecisions;
  std::vector<Sent> mSent;
  size_t mResets = 0;
  Instant mNow{ 10s };
  std::unique_ptr<EntryCore> mCore;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EntryCoreTest, Fixture)

BOOST_AUTO_TEST_CASE(PacketsFollowTheAgentThatTookTheFlow)
{
  Open();
  BOOST_REQUIRE(mSent.size() == 1U);
  BOOST_TEST((mSent[0].mMark == TransitMark::OfferFree));
  BOOST_TEST(mSent[0].mNote == ServiceTag("desk"));
  const Address agent = mSent[0].mAgent;
  Reply(agent, Refusal::None);
  Data(5001);
  BOOST_TEST((mSent.back().mAgent == agent));
  BOOST_TEST((mSent.back().mMark == TransitMark::Owner));
}

// A SYN without a sign of life must not wait for the caller's copy at 200 ms.
BOOST_AUTO_TEST_CASE(SilentAgentIsPassedOverWithinMilliseconds)
{
  Open();
  Pass(35ms);
  BOOST_TEST(mSent.size() >= 2U);
  BOOST_TEST((mSent[0].mAgent != mSent[1].mAgent));
  BOOST_TEST(mDecisions.Count(Verdict::Unanswered) >= 1U);
}

// After everything was killed, the callers' packets are there before the state
// is: dropping them would cost each caller the 200 ms until its next copy.
BOOST_AUTO_TEST_CASE(OpeningsWaitForTheStateOfAStartingInstance)
{
  cluster::Replica empty(&DecodeSampleConfig);
  EntryCore core("a", empty, *this, mDecisions);
  empty.Observe([&](Part aPart, const std::vector<std::string>&) {
    core.OnReplicaChanged(aPart, mNow);
  });
  core.OnCallerPacket(Opening(kCaller, 100), mBytes, mNow);
  BOOST_TEST(mSent.empty());
  mNow += 20ms;
  FillReplica(empty, 6, 3, 4);
  BOOST_REQUIRE(mSent.size() == 1U);
  BOOST_TEST((mSent[0].mMark == TransitMark::OfferFree));
  BOOST_TEST(mResets == 0U);
}

BOOST_AUTO_TEST_CASE(RefusedOffersGoOn)
{
  Open();
  Reply(mSent[0].mAgent, Refusal::Draining);
  BOOST_REQUIRE(mSent.size() == 2U);
  BOOST_TEST((mSent[0].mAgent != mSent[1].mAgent));
}

// With every agent busy, the least loaded is asked to queue after two tries,
// because each further try costs processor time when it is scarcest.
BOOST_AUTO_TEST_CASE(LeastLoadedAgentQueuesWhenAllAreBusy)
{
  Open();
  Reply(mSent[0].mAgent, Refusal::Busy, 0, 6);
  Reply(mSent[1].mAgent, Refusal::Busy, 0, 5);
  BOOST_REQUIRE(mSent.size() == 3U);
  BOOST_TEST((mSent[2].mAgent == mSent[1].mAgent));
  BOOST_TEST((mSent[2].mMark == TransitMark::OfferLast));
}

// What can't be served is rejected at once, and so is each copy of it.
BOOST_AUTO_TEST_CASE(LeavingAgentsLeadToAReset)
{
  Open();
  while (mResets == 0) {
    BOOST_REQUIRE(mSent.size() < 10U);
    Reply(mSent.back().mAgent, Refusal::Draining);
  }
  BOOST_TEST(mDecisions.Count(Verdict::Rejected) == 1U);
  Open(1);
  BOOST_TEST(mResets == 2U);
}

// After the last copy nothing follows that might find room.
BOOST_AUTO_TEST_CASE(FullAgentsRejectTheLastCopy)
{
  for (uint32_t copy = 0; copy <= 2; ++copy) {
    BOOST_TEST(mResets == 0U);
    const size_t before = mSent.size();
    Open(copy);
    for (size_t i = before; i < mSent.size(); ++i) {
      const Address agent = mSent[i].mAgent;
      Reply(agent, Refusal::Full);
    }
  }
  BOOST_TEST(mResets == 1U);
}

// A starting agent may take the copy 200 ms later: silence, not a reset.
BOOST_AUTO_TEST_CASE(StartingAgentsLeadToSilence)
{
  Open();
  for (size_t i = 0; i < mSent.size(); ++i) {
    const Address agent = mSent[i].mAgent;
    Reply(agent, Refusal::NotReady);
  }
  BOOST_TEST(mResets == 0U);
  const size_t sent = mSent.size();
  Open(1);
  BOOST_TEST(mSent.size() == sent + 1);
}

BOOST_AUTO_TEST_CASE(NoServerAtAllIsRejectedAtOnce)
{
  mReplica.ApplySnapshot(Part::Backends, { Revision(9), {} });
  Open();
  BOOST_TEST(mResets == 1U);
}

// The caller's first packet tells which of two answers it took.
BOOST_AUTO_TEST_CASE(CallerChoosesAmongTwoAgents)
{
  Open();
  Pass(35ms);
  BOOST_REQUIRE(mSent.size() >= 2U);
  const Address first = mSent[0].mAgent;
  const Address second = mSent[1].mAgent;
  Reply(second, Refusal::None, 90000000);
  Reply(first, Refusal::None, 5000);
  Data(5001);
  BOOST_TEST((mSent.back().mAgent == first));
}

// After any instance joined or left, flows come to one that has not seen them.
BOOST_AUTO_TEST_CASE(UnknownFlowIsLocated)
{
  Data(1);
  BOOST_TEST(mSent.size() == 6U);
  for (const Sent& sent : mSent) {
    BOOST_TEST((sent.mMark == TransitMark::Locate));
  }
  const Address owner = mSent[3].mAgent;
  mCore->OnOwnerNotice(
    NodeIp(owner.mIp), { { kCaller, kService }, true }, mNow);
  mSent.clear();
  Data(1);
  BOOST_REQUIRE(mSent.size() == 1U);
  BOOST_TEST((mSent[0].mAgent == owner));
  BOOST_TEST((mSent[0].mMark == TransitMark::Owner));
}

// The reply to an offer is lost, and the caller's next packet shows the owner:
// a second offer would open the flow at a second server.
BOOST_AUTO_TEST_CASE(OwnerNoticeStandsInForALostReply)
{
  Open();
  const Address agent = mSent[0].mAgent;
  Data(5001);
  BOOST_TEST((mSent.back().mMark == TransitMark::Locate));
  mCore->OnOwnerNotice(
    NodeIp(agent.mIp), { { kCaller, kService }, true }, mNow);
  const size_t sent = mSent.size();
  Pass(100ms);
  BOOST_TEST(mSent.size() == sent);
  BOOST_TEST(mDecisions.Count(Verdict::Unanswered) == 0U);
}

BOOST_AUTO_TEST_CASE(DeniedOwnershipLocatesAgain)
{
  Open();
  const Address agent = mSent[0].mAgent;
  Reply(agent, Refusal::None);
  mCore->OnOwnerNotice(
    NodeIp(agent.mIp), { { kCaller, kService }, false }, mNow);
  mSent.clear();
  Data(5001);
  BOOST_TEST(mSent.size() == 6U);
}

BOOST_AUTO_TEST_CASE(DrainingAndEvacuatedServersGetNoOffer)
{
  mReplica.ApplyChanges(
    Part::Evacuations, { { "a", Revision(2), "{}" } }, Revision(2));
  for (uint32_t i = 0; i < 50; ++i) {
    const Address caller{ kCaller.mIp, static_cast<uint16_t>(1000 + i) };
    mCore->OnCallerPacket(Opening(caller, i), mBytes, mNow);
  }
  for (const Sent& sent : mSent) {
    const auto& record =
      mReplica.Backends().at(cluster::RecordName(sent.mAgent));
    BOOST_TEST(record.mDomain != "a");
  }
}

// A route that is not known may be new: silence lets the copy find it.
BOOST_AUTO_TEST_CASE(UnknownRouteIsSilentAndRemovedRouteReset)
{
  Packet packet = Opening(kCaller, 1);
  packet.mDestination = { 0xc6120009, 443 };
  mCore->OnCallerPacket(packet, mBytes, mNow);
  BOOST_TEST(mResets == 0U);
  BOOST_TEST(mSent.empty());
  mReplica.ApplyChanges(
    Part::Routes, { { "main", Revision(5), "3" } }, Revision(5));
  Open();
  BOOST_TEST(mResets == 1U);
  mReplica.ApplyChanges(
    Part::Routes, { { "main", Revision(6), "4" } }, Revision(6));
  Open();
  BOOST_TEST(mSent.size() == 1U);
}

// Late replies of slow processors must not double the offers.
BOOST_AUTO_TEST_CASE(RepeatedOffersHaveABudget)
{
  constexpr uint32_t kFlows = 1000;
  for (uint32_t i = 0; i < kFlows; ++i) {
    const Address caller{ kCaller.mIp + i, 1000 };
    mCore->OnCallerPacket(Opening(caller, i), mBytes, mNow);
    Pass(2ms);
  }
  Pass(200ms);
  BOOST_TEST(mSent.size() <= kFlows + kFlows / 10 + 41);
}

// A burst above capacity right after an outage: the copies of the opening
// packet may find room; a longer overload is answered at once.
BOOST_AUTO_TEST_CASE(ShortWavesAwaitCopiesAndLongOverloadIsRejected)
{
  const auto refuseAll = [this](uint16_t aPort) {
    const Address caller{ kCaller.mIp, aPort };
    const size_t before = mSent.size();
    mCore->OnCallerPacket(Opening(caller, 100), mBytes, mNow);
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

// Records of crashed instances would delay openings for ever.
BOOST_AUTO_TEST_CASE(SilentAgentsAreTakenForGoneAfterLong)
{
  const Address silent = AgentAddress(0);
  uint16_t port = 1000;
  for (const Instant end = mNow + 30s; mNow < end; mNow += 100ms) {
    const Address caller{ kCaller.mIp, port++ };
    const size_t before = mSent.size();
    mCore->OnCallerPacket(Opening(caller, 100), mBytes, mNow);
    for (size_t i = before; i < mSent.size(); ++i) {
      if (mSent[i].mAgent != silent) {
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
  BOOST_TEST(dead[0] == cluster::RecordName(silent));
}

// A frozen instance wakes with offers that are overdue and flows that have
// expired: the deadline of a forgotten flow must not touch its successor.
BOOST_AUTO_TEST_CASE(OverdueOfferOfAForgottenFlowIsIgnored)
{
  Open();
  mNow += 5s;
  mCore->Expire(mNow);
  Data(1);
  mCore->OnTimer(mNow);
  BOOST_TEST(mDecisions.Count(Verdict::Unanswered) == 0U);
}

BOOST_AUTO_TEST_CASE(EndedFlowsAreForgotten)
{
  Open();
  Reply(mSent[0].mAgent, Refusal::None);
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
