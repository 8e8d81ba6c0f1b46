#include <boost/test/unit_test.hpp>

#include <snipepost/Base/Random.h>
#include <snipepost/Membership/Codec.h>

using namespace snipepost;

namespace {

ExchangeMessage
SampleMessage()
{
  ExchangeMessage message;
  message.mFrom = { 0x7f000001, 4000 };
  message.mDocumentVersion = { Generation(~0ULL), SubmissionId("a\"b") };
  message.mDigest = ~0ULL;
  message.mBuckets = { 0, 1, ~0ULL };
  InstanceRecord record;
  record.mRole = InstanceRole::Agent;
  record.mAddress = { 0x7f000002, 4001 };
  record.mService = ServiceId(970);
  record.mSlots = 4;
  record.mState = InstanceState::Draining;
  record.mVersion = { Incarnation(9), 3 };
  message.mRecords = { record };
  message.mVotes = { { { 1, 2 }, { 3, 4 }, true, { Incarnation(5), 6 } } };
  return message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MembershipCodecTest)

BOOST_AUTO_TEST_CASE(MessageSurvivesWritingAndParsing)
{
  const ExchangeMessage sent = SampleMessage();
  const auto received = ParseExchange(WriteExchange(sent));
  BOOST_REQUIRE(received);
  BOOST_TEST((received->mFrom == sent.mFrom));
  BOOST_TEST((received->mDocumentVersion == sent.mDocumentVersion));
  BOOST_TEST(received->mDigest == sent.mDigest);
  BOOST_TEST(received->mBuckets == sent.mBuckets);
  BOOST_TEST((received->mRecords == sent.mRecords));
  BOOST_TEST((received->mVotes == sent.mVotes));
}

// Guards against crashes on malformed input, and against accepting incomplete
// or oversized text.
BOOST_AUTO_TEST_CASE(MutatedText_DoesNotCrash)
{
  Random random(7);
  const std::string text = WriteExchange(SampleMessage());
  for (int round = 0; round < 20000; ++round) {
    std::string mutated = text;
    const uint64_t changes = 1 + random.Below(4);
    for (uint64_t i = 0; i < changes; ++i) {
      mutated[random.Below(mutated.size())] =
        static_cast<char>(random.Below(256));
    }
    mutated.resize(random.Below(mutated.size() + 1));
    ParseExchange(mutated);
    ParseRecord(mutated);
  }
  BOOST_TEST(!ParseExchange("{}"));
  BOOST_TEST(!ParseExchange("[]"));
  BOOST_TEST(!ParseRecord(""));
  BOOST_TEST(!ParseRecord(std::string(5000, ' ')));
}

BOOST_AUTO_TEST_SUITE_END()
