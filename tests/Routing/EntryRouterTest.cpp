#include <snipepost/Routing/EntryRouter.h>

#include <algorithm>
#include <iterator>

#include <snipepost/Base/Random.h>
#include <snipepost/Routing/PacketHeader.h>

#include "tests/Routing/AllocationCount.h"
#include "tests/Routing/Support.h"

using namespace snipepost;
using namespace snipepost::test;

namespace {

const Address kService{ 0x7f000001, 443 };
const Address kOtherService{ 0x7f000002, 443 };
const Address kCaller{ 0x7f000009, 5000 };
constexpr size_t kRouteCount = 2000;

std::shared_ptr<const RoutingSnapshot>
Build(std::vector<Backend> aBackends,
      const DomainSet& aDomainsOut = {},
      const RoutingSnapshot* aPrevious = nullptr)
{
  return RoutingSnapshot::Build(
    Generation(1),
    { { ServiceId(1), kService, std::move(aBackends) },
      { ServiceId(2), kOtherService, MakeBackends(3) } },
    aDomainsOut,
    aPrevious);
}

Bytes
DatagramWithId(uint8_t aFirst, std::span<const uint8_t> aId)
{
  Bytes bytes;
  bytes.push_back(aFirst);
  if (aFirst >= 0x80) {
    for (size_t byte :
         { size_t{ 0 }, size_t{ 0 }, size_t{ 0 }, size_t{ 1 }, aId.size() }) {
      bytes.push_back(static_cast<uint8_t>(byte));
    }
  }
  std::ranges::copy(aId, std::back_inserter(bytes));
  bytes.resize(bytes.size() + 40);
  return bytes;
}

Bytes
InitialPacket(uint64_t aNumber)
{
  Bytes id(8);
  for (size_t i = 0; i < id.size(); ++i) {
    id[i] = static_cast<uint8_t>(aNumber >> (8 * i));
  }
  return DatagramWithId(0xc0, id);
}

RouteId
IssuedRoute(uint16_t aService, uint8_t aDomain)
{
  return { ServiceId(aService), DomainId(aDomain), { 0x0a0000ff, 7000 }, 1, 2 };
}

Bytes
ShortPacket(const RouteId& aRoute, const KeyRing& aKeys = Keys())
{
  return DatagramWithId(0x40, EncodeRouteId(aRoute, aKeys));
}

} // namespace

BOOST_AUTO_TEST_SUITE(EntryRouterTest)

// Guards against losing the flows of an agent that is draining or not in the
// snapshot.
BOOST_AUTO_TEST_CASE(P1_IssuedIdReachesItsAgentInAnEmptyView)
{
  EntryRouter router(Keys());
  const auto snapshot = Build({});
  const auto id = EncodeRouteId(IssuedRoute(1, 2), Keys());
  for (uint8_t first : { 0x00, 0x40, 0xc0, 0xe0 }) {
    const auto decision =
      router.Route(*snapshot, kService, kCaller, DatagramWithId(first, id));
    BOOST_REQUIRE(decision.IsForward());
    BOOST_TEST(decision.mByIssuedId);
    BOOST_TEST(decision.mCandidates.Size() == 1U);
    BOOST_TEST((decision.mCandidates[0] == IssuedRoute(1, 2).mAgent));
  }
}

BOOST_AUTO_TEST_CASE(P2_ForgedIdAndIdOfAnotherServiceAreDropped)
{
  EntryRouter router(Keys());
  const auto snapshot = Build(MakeBackends(5));
  const auto drop = [&](const Bytes& aDatagram) {
    return router.Route(*snapshot, kService, kCaller, aDatagram).mDrop;
  };
  BOOST_TEST(
    (drop(ShortPacket(IssuedRoute(2, 1))) == DropReason::WrongService));
  BOOST_TEST(
    (drop(DatagramWithId(0xc0, EncodeRouteId(IssuedRoute(2, 1), Keys()))) ==
     DropReason::WrongService));
  BOOST_TEST((drop(ShortPacket(IssuedRoute(1, 1), ForeignKeys())) ==
              DropReason::ForgedId));
  BOOST_TEST((drop(DatagramWithId(
                0xe0, EncodeRouteId(IssuedRoute(1, 1), ForeignKeys()))) ==
              DropReason::ForgedId));
  CheckProperty(71, [&] {
    const auto id = EncodeRouteId(IssuedRoute(1, 1), Keys());
    const Bytes forged = Mutate({ id.begin(), id.end() });
    RC_ASSERT(drop(DatagramWithId(0x40, forged)) == DropReason::ForgedId);
  });
  BOOST_TEST(router.Count(DropReason::WrongService) == 2U);
}

// Guards against forwarding arbitrary datagrams to an agent of another service.
BOOST_AUTO_TEST_CASE(P2_RandomDatagramsOnlyReachTheServicesBackends)
{
  EntryRouter router(Keys());
  const auto backends = MakeBackends(9);
  const auto snapshot = Build(backends);
  CheckProperty(72, [&] {
    const auto datagram = *rc::gen::arbitrary<Bytes>();
    const auto decision =
      router.Route(*snapshot, kService, *AnyAddress(), datagram);
    RC_ASSERT(decision.IsForward() != decision.mCandidates.IsEmpty());
    for (const Address& agent : decision.mCandidates.View()) {
      RC_ASSERT(std::ranges::count(backends, agent, &Backend::mAgent) == 1);
    }
  });
}

BOOST_AUTO_TEST_CASE(P4_DomainOut_PacketsAreDroppedAndItsAgentsNotCandidates)
{
  EntryRouter router(Keys());
  const auto before = Build(MakeBackends(9));
  const auto after = Build(MakeBackends(9), DomainSet().set(2), before.get());
  const auto packet = ShortPacket(IssuedRoute(1, 2));
  const auto decision = router.Route(*after, kService, kCaller, packet);
  BOOST_TEST((decision.mDrop == DropReason::DomainOut));
  BOOST_TEST(router.Route(*before, kService, kCaller, packet).IsForward());
  for (uint64_t i = 0; i < kRouteCount; ++i) {
    const auto first =
      router.Route(*after, kService, kCaller, InitialPacket(i));
    BOOST_REQUIRE(first.mCandidates.Size() >= 2);
    for (const Address& agent : first.mCandidates.View()) {
      BOOST_REQUIRE((agent.mIp - 0x0a000001) % 3 != 1);
    }
  }
}

// Guards against a split first flight: its earlier packets were routed by the
// previous table, to an agent that is not among the new candidates.
BOOST_AUTO_TEST_CASE(P1_NoPreviousCandidateIsLostAcrossASnapshotChange)
{
  EntryRouter router(Keys());
  CheckProperty(
    73,
    [&] {
      const auto from = *rc::gen::inRange<size_t>(0, 50);
      const auto to = *rc::gen::inRange<size_t>(1, 50);
      const auto before = Build(MakeBackends(from));
      const auto after = Build(MakeBackends(to), {}, before.get());
      const auto later = Build(MakeBackends(to), {}, after.get());
      const Bytes packet = InitialPacket(*rc::gen::arbitrary<uint64_t>());
      const auto old = router.Route(*before, kService, kCaller, packet);
      const auto now = router.Route(*later, kService, kCaller, packet);
      const auto fresh =
        router.Route(*Build(MakeBackends(to)), kService, kCaller, packet);
      for (size_t i = 0; i < fresh.mCandidates.Size(); ++i) {
        RC_ASSERT(now.mCandidates[i] == fresh.mCandidates[i]);
      }
      for (const Address& agent : old.mCandidates.View()) {
        RC_ASSERT(now.mCandidates.Contains(agent));
      }
    },
    100);
}

// Guards against a busy agent that forwards first packets to a candidate that
// is only in the previous table, such as a failed agent of the service.
BOOST_AUTO_TEST_CASE(P1_AgentDies_OnlyOneCandidateIsFromTheCurrentTable)
{
  EntryRouter router(Keys());
  const auto before = Build(MakeBackends(2));
  const auto after = Build(MakeBackends(1), {}, before.get());
  for (uint64_t flow = 0; flow < kRouteCount; ++flow) {
    const auto decision =
      router.Route(*after, kService, kCaller, InitialPacket(flow));
    BOOST_REQUIRE(decision.mCandidates.Size() == 2U);
    BOOST_REQUIRE(decision.mFromCurrentTable == 1U);
    PacketHeader header;
    header.mCandidates = decision.mCandidates;
    BOOST_REQUIRE(CandidatesFromCurrentTable(header) == 2U);
    header.mLoad.mFromCurrentTable = decision.mFromCurrentTable;
    BOOST_REQUIRE(CandidatesFromCurrentTable(header) == 1U);
  }
}

// Guards against entry instances that send the datagrams of one first flight to
// different agents.
BOOST_AUTO_TEST_CASE(EqualSnapshotsGiveEqualCandidates)
{
  EntryRouter left(Keys());
  EntryRouter right(Keys());
  auto backends = MakeBackends(20);
  const auto snapshot = Build(backends);
  std::ranges::reverse(backends);
  const auto same = Build(backends);
  for (uint64_t i = 0; i < kRouteCount; ++i) {
    Bytes zeroRtt = InitialPacket(i);
    zeroRtt[0] = 0xd0;
    const Address moved{ kCaller.mIp, static_cast<uint16_t>(i) };
    const auto one = left.Route(*snapshot, kService, kCaller, InitialPacket(i));
    const auto two = right.Route(*same, kService, moved, zeroRtt);
    BOOST_REQUIRE(one.mCandidates.Size() == 2U);
    BOOST_REQUIRE((one.mCandidates == two.mCandidates));
  }
}

BOOST_AUTO_TEST_CASE(OtherUdpIsKeyedByCaller)
{
  EntryRouter router(Keys());
  const auto snapshot = Build(MakeBackends(50));
  const auto route = [&](const Address& aCaller, const Bytes& aDatagram) {
    return router.Route(*snapshot, kService, aCaller, aDatagram).mCandidates;
  };
  BOOST_TEST((route(kCaller, { 1 }) == route(kCaller, Bytes(100, 2))));
  size_t same = 0;
  for (uint16_t port = 1; port <= 100; ++port) {
    same += route({ kCaller.mIp, port }, { 1 }) == route(kCaller, { 1 });
  }
  BOOST_TEST(same < 20U);
}

BOOST_AUTO_TEST_CASE(CountsDropsByReason)
{
  EntryRouter router(Keys());
  const auto snapshot = Build({});
  router.Route(*snapshot, { 1, 1 }, kCaller, InitialPacket(1));
  router.Route(*snapshot, kService, kCaller, {});
  router.Route(*snapshot, kService, kCaller, Bytes{ 0xc0, 0, 0 });
  router.Route(*snapshot, kService, kCaller, InitialPacket(1));
  router.Route(*snapshot, kOtherService, kCaller, InitialPacket(1));
  BOOST_TEST(router.Count(DropReason::UnknownService) == 1U);
  BOOST_TEST(router.Count(DropReason::Malformed) == 2U);
  BOOST_TEST(router.Count(DropReason::NoBackend) == 1U);
  BOOST_TEST(router.Count(DropReason::None) == 1U);
}

// Guards against allocations on the packet path, whose cost varies with load.
BOOST_AUTO_TEST_CASE(RoutingAllocatesNothing)
{
  EntryRouter router(Keys());
  const auto before = Build(MakeBackends(20));
  const auto snapshot = Build(MakeBackends(25), {}, before.get());
  const std::array<Bytes, 4> datagrams{ InitialPacket(1),
                                        ShortPacket(IssuedRoute(1, 1)),
                                        ShortPacket(IssuedRoute(2, 1)),
                                        Bytes{ 1 } };
  const size_t start = AllocationCount();
  for (const Bytes& datagram : datagrams) {
    router.Route(*snapshot, kService, kCaller, datagram);
  }
  BOOST_TEST(AllocationCount() == start);
}

BOOST_AUTO_TEST_SUITE_END()
