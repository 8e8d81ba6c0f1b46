#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

#include <snipepost/Flow/NodeMessage.h>

#include "platform/PacketCodec.h"

using namespace snipepost;

BOOST_AUTO_TEST_SUITE(PacketCodecTest)

// The SYN packet that the platform documents as an example.
const std::vector<uint8_t> kSynPacket = {
  0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0x40, 0x00, 0x00,
  0x00, 0x00, 0x00, 0x01, 0xbb, 0x9c, 0x41, 0x64, 0x40, 0x00, 0x07,
  0xc6, 0x12, 0x00, 0x01, 0x00, 0x00, 0xa1, 0xb2, 0xc3, 0xd5,
};

BOOST_AUTO_TEST_CASE(DecodesDocumentedExample)
{
  const auto packet = platform::DecodePacket(kSynPacket);
  BOOST_REQUIRE(packet.has_value());
  BOOST_TEST(packet->mSequence == 0x11223344U);
  BOOST_TEST(packet->IsSyn());
  BOOST_TEST(!packet->IsSynAck());
  BOOST_TEST(ToString(packet->mSource) == "100.64.0.7:40001");
  BOOST_TEST(ToString(packet->mDestination) == "198.18.0.1:443");
}

BOOST_AUTO_TEST_CASE(ResetMatchesDocumentedExample)
{
  const std::vector<uint8_t> expected = {
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x10, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x9c, 0x41, 0x01, 0xbb, 0xc6, 0x12, 0x00, 0x01,
    0x64, 0x40, 0x00, 0x07, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
  };
  const auto reset = platform::EncodeReset(*platform::DecodePacket(kSynPacket));
  BOOST_CHECK_EQUAL_COLLECTIONS(
    reset.begin(), reset.end(), expected.begin(), expected.end());
}

// A node must not change a field that the sender's checksum covers.
BOOST_AUTO_TEST_CASE(TransitFieldsLeaveOtherFieldsUnchanged)
{
  auto bytes = kSynPacket;
  platform::WriteTransitFields(
    bytes, 0xdeadbeef, flow::TransitMark::OfferFinal);
  const auto packet = platform::DecodePacket(bytes);
  BOOST_REQUIRE(packet.has_value());
  BOOST_TEST(packet->mServiceTag == 0xdeadbeefU);
  BOOST_TEST((packet->mMark == flow::TransitMark::OfferFinal));
  BOOST_TEST(packet->mOfferedToCandidate);
  platform::WriteTransitFields(bytes, 0, flow::TransitMark::Owner);
  BOOST_CHECK_EQUAL_COLLECTIONS(
    bytes.begin(), bytes.end(), kSynPacket.begin(), kSynPacket.end());
}

// Entry instances of the previous version send the mark alone.
BOOST_AUTO_TEST_CASE(OfferOfThePreviousVersionIsNotToACandidate)
{
  auto bytes = kSynPacket;
  bytes[9] = static_cast<uint8_t>(flow::TransitMark::OfferIfFree);
  const auto packet = platform::DecodePacket(bytes);
  BOOST_REQUIRE(packet.has_value());
  BOOST_TEST((packet->mMark == flow::TransitMark::OfferIfFree));
  BOOST_TEST(!packet->mOfferedToCandidate);
}

// Guards against an agent of the previous version that gets a mark it does not
// know: without an announcement the byte is as before, and with one the bit is
// set on offers only.
BOOST_AUTO_TEST_CASE(OnlyOffersToAnnouncedAgentsReadWaits)
{
  using flow::TransitMark;
  for (const TransitMark mark : { TransitMark::Owner,
                                  TransitMark::OwnerLookup,
                                  TransitMark::OfferIfFree,
                                  TransitMark::OfferFinal }) {
    const bool isOffer = mark >= TransitMark::OfferIfFree;
    for (const bool announced : { false, true }) {
      auto bytes = kSynPacket;
      platform::WriteTransitFields(bytes, 7, mark, announced);
      const int flags = (isOffer ? 128 : 0) + (isOffer && announced ? 64 : 0);
      BOOST_TEST(bytes[9] == static_cast<int>(mark) + flags);
      const auto packet = platform::DecodePacket(bytes);
      BOOST_REQUIRE(packet.has_value());
      BOOST_TEST((packet->mMark == mark));
      BOOST_TEST(packet->mReadsWaits == (isOffer && announced));
    }
  }
}

// Guards against a reply that is taken for a packet because it is as long as
// one: both arrive at the same socket of an entry instance.
BOOST_AUTO_TEST_CASE(RepliesWithWaitsAreNotPackets)
{
  for (size_t waits = 0; waits <= flow::OfferReply::kMaxWaits; ++waits) {
    // More slots are encoded as OfferReply::kMaxSlots.
    for (uint16_t value = 0; value < 4096; ++value) {
      flow::OfferReply reply;
      reply.mRefusal = flow::Refusal::Queued;
      reply.mWaits.resize(waits);
      reply.mLoad = value;
      reply.mSlots = value;
      BOOST_TEST(
        !platform::DecodePacket(flow::EncodeMessage(reply)).has_value());
    }
  }
}

BOOST_AUTO_TEST_CASE(RejectsWrongLengths)
{
  auto bytes = kSynPacket;
  bytes.push_back(0);
  BOOST_TEST(!platform::DecodePacket(bytes).has_value());
  bytes.resize(31);
  BOOST_TEST(!platform::DecodePacket(bytes).has_value());
  BOOST_TEST(!platform::DecodePacket({}).has_value());
}

BOOST_AUTO_TEST_CASE(AnyBytesAreDecodedOrRejected)
{
  const bool passed = rc::check([](const std::vector<uint8_t>& aBytes) {
    const auto packet = platform::DecodePacket(aBytes);
    RC_ASSERT(!packet ||
              packet->mLength + platform::kPacketHeaderSize == aBytes.size());
  });
  BOOST_TEST(passed);
}

BOOST_AUTO_TEST_SUITE_END()
