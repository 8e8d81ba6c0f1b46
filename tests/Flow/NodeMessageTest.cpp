#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

#include <snipepost/Flow/NodeMessage.h>

#include "tests/Flow/Samples.h"

using namespace snipepost;
using namespace snipepost::flow;
using namespace std::chrono_literals;

namespace {

// Offsets in an encoded OfferReply.
constexpr size_t kTypeOffset = 3;
constexpr size_t kRefusalOffset = 20;
constexpr size_t kLastOffset = 29;

} // namespace

BOOST_AUTO_TEST_SUITE(NodeMessageTest)

BOOST_AUTO_TEST_CASE(DecodingReturnsTheEncodedMessage)
{
  cluster::Digest digest;
  digest.mRole = cluster::NodeRole::Agent;
  digest.mReplyWanted = true;
  digest.mParts[1] = { cluster::Revision(1ULL << 40), 77, true };
  digest.mParts[2] = { cluster::Revision(7), 78, true, cluster::Epoch(0xffff) };
  digest.mWatchers = { { cluster::NodeIp(9), std::chrono::milliseconds(250) } };
  digest.mEntries = { cluster::NodeIp(3), cluster::NodeIp(4) };
  OfferReply reply;
  reply.mFlow = { kCaller, kService };
  reply.mCallerSequence = 5;
  reply.mRefusal = Refusal::Busy;
  reply.mBackendSequence = 6;
  reply.mLoad = 7;
  reply.mSlots = 8;
  reply.mCold = true;
  OfferReply waits = reply;
  waits.mWaits = { { 0, 12ms }, { 3, 65535ms } };
  waits.mServiceTime = 47ms;
  waits.mUtilisation = 950;
  waits.mAnnouncesWaits = true;
  OfferReply queued;
  queued.mRefusal = Refusal::Queued;
  queued.mAnnouncesWaits = true;
  OfferReply announcement;
  announcement.mAnnouncesWaits = true;
  const OwnerNotice notice{ { kCaller, kService }, true };
  const OwnerExclusion exclusion{ { kCaller, kService },
                                  { cluster::Revision(9), 10, true } };
  const std::vector<NodeMessage> messages = { digest,   reply,        waits,
                                              queued,   announcement, notice,
                                              exclusion };
  for (const NodeMessage& message : messages) {
    const auto bytes = EncodeMessage(message);
    BOOST_TEST(bytes.size() <= kMaxNodeMessage);
    BOOST_TEST((DecodeMessage(bytes) == message));
  }
}

// Guards against nodes of the previous build that take content of a later epoch
// for older: they read the epoch as the high bits of the revision.
BOOST_AUTO_TEST_CASE(LaterEpochIsALargerRevisionToThePreviousBuild)
{
  constexpr size_t kRevisionOffset = 17; // Of the records in an exclusion.
  const auto encodedRevision = [](uint64_t aRevision, uint64_t aEpoch) {
    OwnerExclusion exclusion;
    exclusion.mRecords.mRevision = cluster::Revision(aRevision);
    exclusion.mRecords.mEpoch = cluster::Epoch(aEpoch);
    const auto bytes = EncodeMessage(exclusion);
    uint64_t revision = 0;
    for (size_t i = 0; i < sizeof(revision); ++i) {
      revision = (revision << 8) | bytes.at(kRevisionOffset + i);
    }
    return revision;
  };
  BOOST_TEST(encodedRevision(13, 2) > encodedRevision(99, 1));
  BOOST_TEST(encodedRevision(99, 0) == 99U);
}

// Guards against replies that an entry instance of the previous version can't
// decode: without waits and Refusal::Queued, only the last byte may differ from
// what that version writes, and it must not be 1 unless the server is cold.
BOOST_AUTO_TEST_CASE(ReplyWithoutWaitsIsThatOfThePreviousVersion)
{
  for (uint8_t code = 0; code <= 9; ++code) {
    for (const bool cold : { false, true }) {
      OfferReply reply;
      reply.mFlow = { kCaller, kService };
      reply.mRefusal = static_cast<Refusal>(code);
      reply.mCold = cold;
      const auto previous = EncodeMessage(reply);
      BOOST_TEST(previous.size() == kLastOffset + 1);
      BOOST_TEST(previous.at(kTypeOffset) == 2);
      BOOST_TEST(previous.at(kRefusalOffset) == code);
      BOOST_TEST(previous.at(kLastOffset) == (cold ? 1 : 0));
      reply.mAnnouncesWaits = true;
      auto announced = EncodeMessage(reply);
      BOOST_TEST(announced.at(kLastOffset) == (cold ? 1 : 2));
      announced.at(kLastOffset) = previous.at(kLastOffset);
      BOOST_TEST(announced == previous);
    }
  }
}

// Guards against an agent of the previous version that is taken to announce
// support, and against a code of type 5 in a message of type 2.
BOOST_AUTO_TEST_CASE(ReplyOfThePreviousVersionIsDecodedAsBefore)
{
  auto bytes = EncodeMessage(OfferReply());
  for (const int last : { 0, 1, 3, 255 }) {
    bytes.at(kLastOffset) = static_cast<uint8_t>(last);
    const auto message = DecodeMessage(bytes);
    BOOST_REQUIRE(message.has_value());
    const auto& reply = std::get<OfferReply>(*message);
    BOOST_TEST(reply.mCold == (last == 1));
    BOOST_TEST(!reply.mAnnouncesWaits);
  }
  bytes.at(kRefusalOffset) = static_cast<uint8_t>(Refusal::Queued);
  BOOST_TEST(!DecodeMessage(bytes).has_value());
}

// Guards against a reply that an entry instance rejects as malformed because it
// has more waits than the limit.
BOOST_AUTO_TEST_CASE(WaitsAreLimited)
{
  OfferReply reply;
  reply.mWaits.assign(OfferReply::kMaxWaits + 1, { 1, 70s });
  auto bytes = EncodeMessage(reply);
  BOOST_TEST(bytes.at(kTypeOffset) == 5);
  const auto message = DecodeMessage(bytes);
  BOOST_REQUIRE(message.has_value());
  const auto& waits = std::get<OfferReply>(*message).mWaits;
  BOOST_TEST(waits.size() == OfferReply::kMaxWaits);
  BOOST_TEST((waits.back() == ReportedWait{ 1, 65535ms }));
  bytes.at(kLastOffset + 1) = OfferReply::kMaxWaits + 1;
  BOOST_TEST(!DecodeMessage(bytes).has_value());
}

// Guards against an entry instance of the previous version that takes the
// service time for a wait, and against waits that give way to it. That version
// takes the last entry whose priority is not above the flow's as its wait.
BOOST_AUTO_TEST_CASE(CapacityIsNoWaitForThePreviousVersion)
{
  const std::vector<ReportedWait> waits = {
    { 1, 10ms }, { 2, 20ms }, { 3, 30ms }, { 255, 40ms }
  };
  for (size_t count = 1; count <= waits.size(); ++count) {
    OfferReply reply;
    reply.mWaits = waits;
    reply.mWaits.resize(count);
    reply.mServiceTime = 100us;
    reply.mUtilisation = 2000;
    const auto bytes = EncodeMessage(reply);
    constexpr size_t kEntries = kLastOffset + 2;
    BOOST_TEST(bytes.at(kEntries - 1) <= OfferReply::kMaxWaits);
    for (const uint8_t priority : { 1, 2, 3, 253 }) {
      int previous = -1;
      for (size_t at = kEntries; at < bytes.size(); at += 3) {
        if (bytes.at(at) <= priority) {
          previous = bytes.at(at + 1) * 256 + bytes.at(at + 2);
        }
      }
      const size_t level = priority == 253 ? count : priority;
      BOOST_TEST(previous == static_cast<int>(10 * std::min(level, count)));
    }
    const auto decoded = std::get<OfferReply>(DecodeMessage(bytes).value());
    BOOST_TEST(decoded.mWaits.size() == count);
    BOOST_TEST(decoded.mServiceTime.has_value() == (count < 4));
    BOOST_TEST(decoded.mUtilisation.has_value() == (count < 3));
    BOOST_TEST((decoded.mServiceTime.value_or(1ms) == 1ms));
    BOOST_TEST(decoded.mUtilisation.value_or(1000) == 1000U);
  }
  // Without reserved entries, as the previous version writes the message.
  OfferReply previous;
  previous.mWaits = { { 1, 10ms } };
  previous.mAnnouncesWaits = true;
  BOOST_TEST((DecodeMessage(EncodeMessage(previous)) == NodeMessage(previous)));
}

// Messages of agents share a socket with packets, which have 32 bytes or more.
// Replies with waits are longer
// (PacketCodecTest/RepliesWithWaitsAreNotPackets).
BOOST_AUTO_TEST_CASE(MessagesOfAgentsAreShorterThanPackets)
{
  BOOST_TEST(EncodeMessage(OfferReply()).size() < 32U);
  BOOST_TEST(EncodeMessage(OwnerNotice()).size() < 32U);
  BOOST_TEST(EncodeMessage(OwnerExclusion()).size() < 32U);
}

BOOST_AUTO_TEST_CASE(AnyBytesAreDecodedOrRejected)
{
  const bool random = rc::check(
    [](const std::vector<uint8_t>& aBytes) { (void)DecodeMessage(aBytes); });
  BOOST_TEST(random);
  const bool cut = rc::check([] {
    auto bytes = EncodeMessage(OfferReply());
    bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size()));
    RC_ASSERT(!DecodeMessage(bytes).has_value());
  });
  BOOST_TEST(cut);
}

BOOST_AUTO_TEST_SUITE_END()
