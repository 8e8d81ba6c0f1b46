#include <snipepost/Routing/RouteId.h>

#include <algorithm>

#include "tests/Routing/Support.h"

using namespace snipepost;
using namespace snipepost::test;

namespace {

RouteId
AnyRoute()
{
  RouteId route;
  route.mService = ServiceId(*rc::gen::arbitrary<uint16_t>());
  route.mDomain = DomainId(*rc::gen::arbitrary<uint8_t>());
  route.mAgent = *AnyAddress();
  route.mIncarnation = *rc::gen::arbitrary<uint16_t>();
  route.mNonce = *rc::gen::inRange<uint32_t>(0, 1U << 24);
  return route;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RouteIdTest)

BOOST_AUTO_TEST_CASE(RoundTripKeepsEveryField)
{
  CheckProperty(11, [] {
    const RouteId route = AnyRoute();
    const auto decoded = DecodeRouteId(EncodeRouteId(route, Keys()), Keys());
    RC_ASSERT(decoded == route);
  });
}

// Guards the wire format (docs/design.md, section 6), which other versions
// of the program rely on.
BOOST_AUTO_TEST_CASE(FieldsAreAtTheirOffsets)
{
  const RouteId route{
    ServiceId(0x0102), DomainId(0x03), { 0x04050607, 0x0809 }, 0x0a0b, 0x0c0d0e
  };
  const auto bytes = EncodeRouteId(route, Keys());
  BOOST_TEST(bytes[0] == 0x10);
  for (uint8_t i = 1; i < 15; ++i) {
    BOOST_TEST(bytes[i] == i);
  }
}

// Guards against accepting IDs that no agent issued.
BOOST_AUTO_TEST_CASE(P2_MutatedOrForgedIdsDoNotDecode)
{
  CheckProperty(12, [] {
    const auto id = EncodeRouteId(AnyRoute(), Keys());
    RC_ASSERT(!DecodeRouteId(Mutate({ id.begin(), id.end() }), Keys()));
    RC_ASSERT(!DecodeRouteId(id, ForeignKeys()));
    RC_ASSERT(!DecodeRouteId(*rc::gen::arbitrary<Bytes>(), Keys()));
  });
}

// Guards against breaking flows that were opened before a key rotation.
BOOST_AUTO_TEST_CASE(P1_IdsStayValidAfterAKeyRotation)
{
  KeyRing ring = Keys();
  const RouteId route{ ServiceId(1), DomainId(2), { 3, 4 }, 5, 6 };
  const auto before = EncodeRouteId(route, ring);
  ring.Install(*ParseSecretKey("ffeeddccbbaa99887766554433221100"), 1);
  ring.Activate(1);
  BOOST_TEST((DecodeRouteId(before, ring) == route));
  const auto after = EncodeRouteId(route, ring);
  BOOST_TEST(after[0] == 0x11);
  BOOST_TEST((DecodeRouteId(after, ring) == route));
}

BOOST_AUTO_TEST_SUITE_END()
