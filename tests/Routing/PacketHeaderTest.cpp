#include <snipepost/Routing/PacketHeader.h>

#include <algorithm>

#include "tests/Routing/Support.h"

using namespace snipepost;
using namespace snipepost::test;

namespace {

PacketHeader
AnyHeader()
{
  PacketHeader header;
  header.mType = static_cast<PacketType>(*rc::gen::inRange(0, 6));
  header.mHopCount = *rc::gen::arbitrary<uint8_t>();
  header.mService = ServiceId(*rc::gen::arbitrary<uint16_t>());
  header.mGeneration = Generation(*rc::gen::arbitrary<uint64_t>());
  header.mCaller = *AnyAddress();
  header.mLoad = { *rc::gen::arbitrary<uint8_t>(),
                   *rc::gen::arbitrary<uint8_t>(),
                   static_cast<AgentState>(*rc::gen::inRange(0, 4)),
                   *rc::gen::arbitrary<uint8_t>() };
  const auto count = *rc::gen::inRange<size_t>(0, 5);
  for (size_t i = 0; i < count; ++i) {
    header.mCandidates.Add(*AnyAddress());
  }
  return header;
}

Bytes
Encode(const PacketHeader& aHeader, const Bytes& aPayload)
{
  Bytes out(kMaxPacketHeaderSize + aPayload.size());
  out.resize(EncodePacket(aHeader, aPayload, out, Keys()));
  return out;
}

bool
Decodes(const Bytes& aBytes, const KeyRing& aKeys = Keys())
{
  return std::holds_alternative<Packet>(DecodePacket(aBytes, aKeys));
}

} // namespace

BOOST_AUTO_TEST_SUITE(PacketHeaderTest)

BOOST_AUTO_TEST_CASE(RoundTripKeepsHeaderAndPayload)
{
  CheckProperty(21, [] {
    const PacketHeader header = AnyHeader();
    const auto payload = *rc::gen::arbitrary<Bytes>();
    const Bytes bytes = Encode(header, payload);
    RC_ASSERT(bytes.size() == kMinPacketHeaderSize +
                                6 * header.mCandidates.Size() + payload.size());
    const auto decoded = DecodePacket(bytes, Keys());
    RC_ASSERT(std::holds_alternative<Packet>(decoded));
    RC_ASSERT(std::get<Packet>(decoded).mHeader == header);
    RC_ASSERT(std::ranges::equal(std::get<Packet>(decoded).mPayload, payload));
  });
}

// Guards against accepting a header that no peer wrote.
BOOST_AUTO_TEST_CASE(MutatedTruncatedAndForeignPacketsDoNotDecode)
{
  CheckProperty(22, [] {
    const auto size = *rc::gen::inRange<size_t>(0, kTaggedPayloadSize + 1);
    const auto payload =
      *rc::gen::container<Bytes>(size, rc::gen::arbitrary<uint8_t>());
    Bytes bytes = Encode(AnyHeader(), payload);
    RC_ASSERT(!Decodes(Mutate(bytes)));
    RC_ASSERT(!Decodes(bytes, ForeignKeys()));
    bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size()));
    RC_ASSERT(!Decodes(bytes));
    RC_ASSERT(!Decodes(*rc::gen::arbitrary<Bytes>()));
  });
}

// Guards against sending a partial packet when the buffer is too short.
BOOST_AUTO_TEST_CASE(EncodingIntoAShortBufferWritesNoPacket)
{
  const Bytes payload(100);
  Bytes out(kMinPacketHeaderSize + payload.size());
  for (size_t size = 0; size < out.size(); ++size) {
    const auto buffer = std::span(out).first(size);
    BOOST_TEST(EncodePacket({}, payload, buffer, Keys()) == 0U);
  }
  BOOST_TEST(EncodePacket({}, payload, out, Keys()) == out.size());
  BOOST_TEST(EncodePacket({}, Bytes(65536), out, Keys()) == 0U);
}

// Guards the field order of docs/design.md, sections 6 and 11.
BOOST_AUTO_TEST_CASE(FieldsAreAtTheirOffsets)
{
  PacketHeader header;
  header.mType = PacketType::Reply;
  header.mHopCount = 7;
  header.mService = ServiceId(0x0102);
  header.mCaller = { 0x01020304, 0x0506 };
  header.mCandidates.Add({ 0x0a0b0c0d, 0x0e0f });
  const Bytes bytes = Encode(header, { 0xee });
  const Bytes start{ 'S', 'P', 1, 2, 0, 7, 1, 2 };
  BOOST_TEST(std::ranges::equal(std::span(bytes).first(8), start));
  BOOST_TEST(bytes[16] == 1);
  BOOST_TEST(bytes[26] == 1);
  BOOST_TEST(bytes[27] == 0x0a);
  BOOST_TEST(bytes[34] == 1);
  BOOST_TEST(bytes[43] == 0xee);
}

BOOST_AUTO_TEST_SUITE_END()
