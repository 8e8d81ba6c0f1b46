#include <boost/test/unit_test.hpp>

#include <snipepost/Admission/IdempotencyTable.h>

using namespace snipepost;
using namespace std::chrono_literals;

namespace {

constexpr Instant kStart{ 100s };
using State = IdempotencyTable::State;

ResponseBytes
Response(size_t aSize)
{
  return std::make_shared<const std::string>(aSize, 'x');
}

} // namespace

BOOST_AUTO_TEST_SUITE(IdempotencyTableTest)

// Guards against eviction of a record, after which a request with its key would
// run again.
BOOST_AUTO_TEST_CASE(P7_TableFull_NewKeysAreRefused)
{
  IdempotencyTable table(IdempotencyOptions{ .mMaxEntries = 2 });
  BOOST_TEST(table.Begin("a", kStart));
  BOOST_TEST(table.Begin("b", kStart + 1s));
  BOOST_TEST(!table.Begin("c", kStart + 2s));
  table.SetUnknown("a");
  table.Expire(kStart + 10min - 1s);
  BOOST_TEST(!table.Begin("c", kStart + 10min - 1s));
  table.Expire(kStart + 10min);
  BOOST_TEST(table.Begin("c", kStart + 10min));
  // "b" is in progress and is kept past the lifetime of a record.
  table.Expire(kStart + 15min);
  BOOST_TEST((table.Find("b")->mState == State::InProgress));
}

BOOST_AUTO_TEST_CASE(ResponsesBeyondTheBoundsAreNotStored)
{
  IdempotencyTable table(
    IdempotencyOptions{ .mMaxResponseBytes = 10, .mMaxTotalBytes = 15 });
  for (const char* key : { "a", "b", "c", "d" }) {
    table.Begin(key, kStart);
  }
  table.Complete("a", Response(11));
  table.Complete("b", Response(10));
  table.Complete("c", Response(6));
  table.Complete("d", nullptr);
  BOOST_TEST((table.Find("a")->mState == State::Unknown));
  BOOST_TEST((table.Find("b")->mState == State::Completed));
  BOOST_TEST((table.Find("c")->mState == State::Unknown));
  BOOST_TEST((table.Find("d")->mState == State::Unknown));
  table.Expire(kStart + 10min);
  BOOST_TEST(table.Begin("e", kStart + 10min));
  table.Complete("e", Response(10));
  BOOST_TEST((table.Find("e")->mState == State::Completed));
}

// Guards against the second record of a discarded key expiring at the time of
// the first.
BOOST_AUTO_TEST_CASE(DiscardedKeyGetsANewLifetime)
{
  IdempotencyTable table(IdempotencyOptions{ .mMaxWaiters = 1 });
  table.Begin("a", kStart);
  BOOST_TEST(table.AddWaiter("a", RequestId(5)));
  BOOST_TEST(!table.AddWaiter("a", RequestId(6)));
  BOOST_TEST(table.Discard("a").size() == 1U);
  BOOST_TEST(table.Find("a") == nullptr);
  table.Begin("a", kStart + 4min);
  BOOST_TEST(table.AddWaiter("a", RequestId(7)));
  table.Complete("a", Response(1));
  table.Expire(kStart + 10min);
  BOOST_TEST((table.Find("a")->mState == State::Completed));
}

BOOST_AUTO_TEST_SUITE_END()
