#include <snipepost/Routing/QuicInvariants.h>

#include <initializer_list>

#include "tests/Routing/Support.h"

using namespace snipepost;
using namespace snipepost::test;

namespace {

Bytes
LongHeader(uint8_t aFirst, uint32_t aVersion, size_t aIdSize)
{
  Bytes bytes{ aFirst,
               static_cast<uint8_t>(aVersion >> 24),
               static_cast<uint8_t>(aVersion >> 16),
               static_cast<uint8_t>(aVersion >> 8),
               static_cast<uint8_t>(aVersion),
               static_cast<uint8_t>(aIdSize) };
  bytes.insert(bytes.end(), aIdSize + 30, 0xab);
  return bytes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(QuicInvariantsTest)

// Guards against confusing packets of a first flight with those of established
// flows; version 2 numbers its packet types differently.
BOOST_AUTO_TEST_CASE(ClassifiesLongHeadersOfBothVersions)
{
  using Kind = QuicPacketKind;
  constexpr uint32_t kV1 = 1;
  constexpr uint32_t kV2 = 0x6b3343cf;
  struct Case
  {
    uint8_t mFirst;
    uint32_t mVersion;
    Kind mKind;
    bool mIsInitial;
  };
  for (const Case& c : { Case{ 0xc0, kV1, Kind::First, true },
                         Case{ 0xd0, kV1, Kind::First, false },
                         Case{ 0xe0, kV1, Kind::Handshake, false },
                         Case{ 0xd0, kV2, Kind::First, true },
                         Case{ 0xe0, kV2, Kind::First, false },
                         Case{ 0xf0, kV2, Kind::Handshake, false },
                         Case{ 0xc0, 0x0a1a2a3a, Kind::First, false } }) {
    const Bytes bytes = LongHeader(c.mFirst, c.mVersion, 8);
    const auto packet = ParseQuicInvariants(bytes);
    BOOST_REQUIRE(packet.has_value());
    BOOST_TEST((packet->mKind == c.mKind));
    BOOST_TEST(packet->mIsInitial == c.mIsInitial);
    BOOST_TEST(packet->mDestinationId.size() == 8U);
  }
}

BOOST_AUTO_TEST_CASE(RejectsPacketsThatCallersNeverSend)
{
  for (const Bytes& bytes : { LongHeader(0xf0, 1, 8),
                              LongHeader(0xc0, 0x6b3343cf, 8),
                              LongHeader(0xc0, 0, 8),
                              LongHeader(0xc0, 1, 7),
                              LongHeader(0xc0, 1, 21) }) {
    BOOST_TEST(!ParseQuicInvariants(bytes).has_value());
  }
  BOOST_TEST(ParseQuicInvariants(LongHeader(0xc0, 99, 21)).has_value());
}

// Guards against views outside the datagram.
BOOST_AUTO_TEST_CASE(DestinationIdOfRandomBytesIsInsideTheDatagram)
{
  CheckProperty(41, [] {
    auto bytes = *rc::gen::arbitrary<Bytes>();
    const auto packet = ParseQuicInvariants(bytes);
    if (!packet) {
      return;
    }
    const auto id = packet->mDestinationId;
    RC_ASSERT(id.empty() ||
              (id.data() > bytes.data() &&
               id.data() + id.size() <= bytes.data() + bytes.size()));
  });
}

BOOST_AUTO_TEST_SUITE_END()
