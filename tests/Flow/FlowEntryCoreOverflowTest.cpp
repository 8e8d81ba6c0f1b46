#include <boost/test/unit_test.hpp>

#include <algorithm>

#include <snipepost/Flow/FlowEntryCore.h>

#include "tests/Flow/Samples.h"

using namespace snipepost;
using namespace snipepost::flow;
using namespace std::chrono_literals;
using cluster::Part;
using cluster::Revision;

namespace {

constexpr size_t kServers = 12;
constexpr size_t kSplitServers = 6;

/// A caller whose flow the weights send to the service library.
constexpr Address kSplitCaller{ 0x64400007, 40003 };

/// The sample configuration; with a text other than a version, the split in
/// which another route with a more urgent priority uses both services.
std::optional<cluster::RouteConfig>
DecodeSplit(std::string_view aText)
{
  if (aText != "priorities") {
    return DecodeSampleConfig(aText);
  }
  auto config = DecodeSampleConfig(std::to_string(kSplitVersion));
  config->mVersion = cluster::ConfigVersion(kSplitVersion + 1);
  cluster::Route urgent = config->mRoutes.at(kService);
  urgent.mAddress.mPort += 1;
  urgent.mServices = { { "library", 1 }, { "desk", 1 } };
  config->mRoutes.at(kService).mPriority = 1;
  config->mRoutes[urgent.mAddress] = urgent;
  return config;
}

/// An entry instance with agents that are emulated by the test. Each refuses
/// its offers as the test says for its service, or accepts them.
struct Fixture : EntryOutput
{
  Fixture()
  {
    FillReplica(mReplica, kServers, 3, 4, kSplitServers);
    mReplica.SetObserver([this](Part aPart, const std::vector<std::string>&) {
      mCore->OnReplicaChanged(aPart, mNow);
    });
    mCore = std::make_unique<FlowEntryCore>(
      EntryOptions{ "a" }, mReplica, *this, mDecisions, mNow);
  }

  static bool IsSplit(const Address& aAgent)
  {
    return aAgent.mIp >= AgentAddress(kServers - kSplitServers).mIp;
  }

  void SendToAgent(std::span<const uint8_t>,
                   const Address& aAgent,
                   uint32_t aServiceTag,
                   TransitMark aMark,
                   bool) override
  {
    // Also a SYN copy must carry the service of the agent that it is sent to.
    if (aMark == TransitMark::OfferIfFree || aMark == TransitMark::OfferFinal) {
      const bool isSplit = IsSplit(aAgent);
      BOOST_TEST(aServiceTag == ServiceTag(isSplit ? "library" : "desk"));
    }
    mSent.push_back(aAgent);
  }
  void SendReset(const Packet&) override { ++mResets; }

  /// Sends a SYN, and answers the offers with the refusals of the services.
  void Place(Refusal aLibrary, Refusal aDesk, uint32_t aRetransmission = 0)
  {
    size_t next = mSent.size();
    mSequence += aRetransmission == 0 ? 1 : 0;
    mCore->OnCallerPacket(
      SynPacket(kSplitCaller, mSequence, aRetransmission), mBytes, mNow);
    for (; next < mSent.size(); ++next) {
      const Address agent = mSent[next];
      OfferReply reply;
      reply.mFlow = { kSplitCaller, kService };
      reply.mCallerSequence = mSequence;
      reply.mRefusal = IsSplit(agent) ? aLibrary : aDesk;
      if (next + 1 == mAcceptedOffer) {
        reply.mRefusal = Refusal::None;
      }
      reply.mBackendSequence = 5000;
      mCore->OnOfferReply(cluster::NodeIp(agent.mIp), reply, mNow);
    }
  }

  /// Removes all servers of the service desk but one.
  void LeaveOneDesk()
  {
    std::vector<cluster::ObjectChange> changes;
    for (size_t i = 1; i < kServers - kSplitServers; ++i) {
      changes.push_back({ cluster::RecordName(AgentAddress(i)),
                          Revision(2),
                          std::nullopt,
                          Revision(2) });
    }
    mReplica.ApplyChanges(Part::Backends, changes, Revision(2));
  }

  ptrdiff_t SentToDesk() const
  {
    return std::ranges::count_if(
      mSent, [](const Address& aAgent) { return !IsSplit(aAgent); });
  }

  std::vector<uint8_t> mBytes = std::vector<uint8_t>(32);
  cluster::Replica mReplica{ &DecodeSplit };
  FakeDecisions mDecisions;
  std::vector<Address> mSent;
  /// Number of the offer that is accepted in any case, from 1; 0 for none.
  size_t mAcceptedOffer = 0;
  size_t mResets = 0;
  uint32_t mSequence = 100;
  Instant mNow{ 10s };
  std::unique_ptr<FlowEntryCore> mCore;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FlowEntryCoreOverflowTest, Fixture)

// Guards against a copy of the SYN that the new owner refuses because it has
// the tag of the other service.
BOOST_AUTO_TEST_CASE(FullServiceOverflowsToTheOther)
{
  Place(Refusal::Full, Refusal::None);
  BOOST_TEST(mSent.size() == 4U);
  BOOST_TEST(SentToDesk() == 1);
  const Decision& placed = mDecisions.mDecisions.back();
  BOOST_TEST((placed.mVerdict == Verdict::Placed));
  BOOST_TEST(placed.mReason == kOverflowReason);
  BOOST_TEST(placed.mService == "desk");
  Place(Refusal::Full, Refusal::None, 1);
  BOOST_TEST((mSent.size() == 5U && mSent[4] == mSent[3]));
}

// Guards against a copy of the SYN that is offered anew although an agent of
// the other service holds the flow, and that skips the chosen service
// afterwards.
BOOST_AUTO_TEST_CASE(CopyGoesToTheAgentThatHoldsTheFlow)
{
  Place(Refusal::Full, Refusal::Queued);
  BOOST_REQUIRE(mSent.size() == 4U);
  Place(Refusal::Full, Refusal::Full, 1);
  BOOST_TEST((mSent.size() > 5U && mSent[4] == mSent[3] && IsSplit(mSent[5])));
  BOOST_TEST(mResets == 1U);
}

// Guards against callers that wait for a retransmission which no service can
// serve, and against more offers than kMaxOffers.
BOOST_AUTO_TEST_CASE(FlowThatAllServicesRefuseIsResetAtOnce)
{
  Place(Refusal::Full, Refusal::Full);
  BOOST_TEST(mResets == 1U);
  BOOST_TEST(mSent.size() == FlowEntryCore::kMaxOffers);
  BOOST_TEST(SentToDesk() == 2);
}

// Agents that start are no lack of capacity: weights must not be left because
// of them.
BOOST_AUTO_TEST_CASE(StartingServiceDoesNotOverflow)
{
  Place(Refusal::NotReady, Refusal::None);
  BOOST_TEST(SentToDesk() == 0);
  BOOST_TEST(mResets == 0U);
}

// Guards against overflow to servers that may not receive new flows.
BOOST_AUTO_TEST_CASE(EvacuatedServersGetNoOverflow)
{
  cluster::Snapshot evacuated{ Revision(2), {} };
  for (const char* domain : { "b", "c" }) {
    evacuated.mObjects.push_back({ domain, Revision(2), "{}" });
  }
  mReplica.ApplySnapshot(Part::Evacuations, evacuated);
  Place(Refusal::Full, Refusal::Draining);
  BOOST_TEST(SentToDesk() == 2);
  for (const Address& agent : mSent) {
    BOOST_TEST((agent.mIp - AgentAddress(0).mIp) % 3 == 0U);
  }
}

// Guards against flows that the throttle of their service resets although the
// other one has room, and against a throttle that counts flows of the other
// service as accepted and therefore stays open.
BOOST_AUTO_TEST_CASE(ThrottledFlowsOverflow)
{
  mReplica.ApplySnapshot(
    Part::Routes, { Revision(2), { { "main", Revision(2), "priorities" } } });
  constexpr ptrdiff_t kFlows = 40;
  for (ptrdiff_t i = 0; i < kFlows; ++i) {
    // The shares of callers are computed again after 5 ms.
    mNow += 6ms;
    Place(Refusal::Full, Refusal::None);
  }
  BOOST_TEST(mResets == 0U);
  BOOST_TEST(SentToDesk() == kFlows);
  BOOST_TEST(mSent.size() < 2U * kFlows);
}

// Guards against flows that are refused with an offer left, because the other
// service has fewer servers than offers are kept for it.
BOOST_AUTO_TEST_CASE(OffersThatOthersCanNotGetGoToTheChosenService)
{
  LeaveOneDesk();
  Place(Refusal::Full, Refusal::Full);
  BOOST_TEST(mSent.size() == FlowEntryCore::kMaxOffers);
  BOOST_TEST(SentToDesk() == 1);
}

// Guards against a throttle that counts a flow twice as refused when another
// service was asked in between: it would throttle although two of three flows
// are accepted.
BOOST_AUTO_TEST_CASE(ThrottleCountsAFlowOnce)
{
  mReplica.ApplySnapshot(
    Part::Routes, { Revision(2), { { "main", Revision(2), "priorities" } } });
  LeaveOneDesk();
  for (size_t i = 0; i < 60; ++i) {
    mNow += 6ms;
    mSent.clear();
    mAcceptedOffer = i % 3 == 2 ? 0 : FlowEntryCore::kMaxOffers;
    Place(Refusal::Full, Refusal::Full);
    BOOST_TEST(mSent.size() == FlowEntryCore::kMaxOffers);
  }
}

// Guards against a throttle that is asked again for a flow which it has refused
// already, or for one that its service can't be offered any more.
BOOST_AUTO_TEST_CASE(ServicesAreAskedInOneOrder)
{
  cluster::Route route;
  route.mServices = {
    { "library", 10 }, { "desk", 50 }, { "attic", 40 }, { "cellar", 30 }
  };
  Offer offer;
  offer.mServiceTag = ServiceTag("attic");
  const auto names = [&](const std::vector<Offer>& aOffers, size_t aLeft) {
    std::string text;
    for (const auto* other : ServicesToAsk(route, "library", aOffers, aLeft)) {
      text += other->mService + ' ';
    }
    return text;
  };
  BOOST_TEST(names({}, 2) == "desk attic cellar ");
  BOOST_TEST(names({ offer }, 1) == "attic cellar ");
  BOOST_TEST(names({ offer, offer }, 0) == "attic ");
  BOOST_TEST(names({}, 0) == "");
}

BOOST_AUTO_TEST_SUITE_END()
