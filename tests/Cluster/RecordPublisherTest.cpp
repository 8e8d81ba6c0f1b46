#include <boost/test/unit_test.hpp>

#include <snipepost/Cluster/RecordPublisher.h>

using namespace snipepost;
using namespace snipepost::cluster;
using namespace std::chrono_literals;

namespace {

constexpr Instant kStart{ 1s };

StoredRecord
Stored(uint64_t aRevision, std::string aText)
{
  return { Revision(aRevision), std::move(aText) };
}

} // namespace

BOOST_AUTO_TEST_SUITE(RecordPublisherTest)

BOOST_AUTO_TEST_CASE(WritesOnlyDifferences)
{
  RecordPublisher publisher("n", 1);
  BOOST_TEST(!publisher.Next(kStart).has_value());
  publisher.Observe(Revision(5), std::nullopt);
  publisher.Want("one");
  const auto create = publisher.Next(kStart);
  BOOST_REQUIRE(create.has_value());
  BOOST_TEST((create->mAction == RecordWrite::Action::Create));
  BOOST_TEST(!publisher.Next(kStart).has_value()); // One at a time.
  publisher.OnOutcome(WriteOutcome::Done, Stored(6, "one"), kStart);
  BOOST_TEST(publisher.Settled());
  BOOST_TEST(!publisher.Next(kStart).has_value());
  publisher.Want("two");
  const auto replace = publisher.Next(kStart);
  BOOST_TEST((replace->mAction == RecordWrite::Action::Replace));
  BOOST_TEST(replace->mExpected.Value() == 6U);
}

// A record that was cleared while its agent lives must come back by itself.
BOOST_AUTO_TEST_CASE(RemovedRecordComesBack)
{
  RecordPublisher publisher("n", 1);
  publisher.Observe(Revision(5), Stored(4, "one"));
  publisher.Want("one");
  BOOST_TEST(!publisher.Next(kStart).has_value());
  publisher.Observe(Revision(9), std::nullopt);
  const auto write = publisher.Next(kStart);
  BOOST_REQUIRE(write.has_value());
  BOOST_TEST((write->mAction == RecordWrite::Action::Create));
}

// The replica lags behind an own write; it must not be written again.
BOOST_AUTO_TEST_CASE(OlderViewAfterAnOwnWriteIsIgnored)
{
  RecordPublisher publisher("n", 1);
  publisher.Observe(Revision(5), std::nullopt);
  publisher.Want("one");
  (void)publisher.Next(kStart);
  publisher.OnOutcome(WriteOutcome::Done, Stored(8, "one"), kStart);
  publisher.Observe(Revision(7), std::nullopt);
  BOOST_TEST(publisher.Settled());
}

// A lost answer may hide a write that took effect: the conflict tells.
BOOST_AUTO_TEST_CASE(LostAnswerIsSettledByTheNextWrite)
{
  RecordPublisher publisher("n", 1);
  publisher.Observe(Revision(5), std::nullopt);
  publisher.Want("one");
  (void)publisher.Next(kStart);
  publisher.OnOutcome(WriteOutcome::Unknown, std::nullopt, kStart);
  const auto again = publisher.Next(kStart + 2s);
  BOOST_REQUIRE(again.has_value());
  publisher.OnOutcome(WriteOutcome::Conflict, Stored(6, "one"), kStart + 2s);
  BOOST_TEST(publisher.Settled());
}

BOOST_AUTO_TEST_CASE(FailuresArePaced)
{
  RecordPublisher publisher("n", 1);
  publisher.Observe(Revision(5), std::nullopt);
  publisher.Want("one");
  int writes = 0;
  for (Instant now = kStart; now < kStart + 10s; now += 10ms) {
    if (publisher.Next(now)) {
      ++writes;
      publisher.OnOutcome(WriteOutcome::Refused, std::nullopt, now);
    }
  }
  BOOST_TEST(writes >= 10);
  BOOST_TEST(writes <= 60);
}

BOOST_AUTO_TEST_CASE(RemovalIsConditional)
{
  RecordPublisher publisher("n", 1);
  publisher.Observe(Revision(5), Stored(4, "one"));
  publisher.Want(std::nullopt);
  const auto write = publisher.Next(kStart);
  BOOST_REQUIRE(write.has_value());
  BOOST_TEST((write->mAction == RecordWrite::Action::Remove));
  BOOST_TEST(write->mExpected.Value() == 4U);
  publisher.OnOutcome(WriteOutcome::Conflict, std::nullopt, kStart);
  BOOST_TEST(publisher.Settled());
}

BOOST_AUTO_TEST_CASE(RelayedWritesSurviveEncodingAndRejectOthers)
{
  RelayedWrite relayed{ "n", {} };
  relayed.mWrite.mAction = RecordWrite::Action::Replace;
  relayed.mWrite.mExpected = Revision(7);
  relayed.mWrite.mText = "{}";
  const auto decoded = DecodeRelayed(EncodeRelayed(relayed));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->mName == "n");
  BOOST_TEST((decoded->mWrite.mAction == RecordWrite::Action::Replace));
  BOOST_TEST(decoded->mWrite.mExpected.Value() == 7U);
  BOOST_TEST(decoded->mWrite.mText == "{}");
  for (const char* text :
       { "",
         "{}",
         R"({"name":"","action":"create","expected":0,"text":""})",
         R"({"name":"n","action":"burn","expected":0,"text":""})" }) {
    BOOST_TEST(!DecodeRelayed(text).has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()
