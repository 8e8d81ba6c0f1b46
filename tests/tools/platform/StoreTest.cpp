#include <boost/test/unit_test.hpp>

#include <chrono>

#include "tools/platform/RateLimit.h"
#include "tools/platform/Store.h"

using namespace snipepost;
using namespace snipepost::tools;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(StoreTest)

// Guards against a rollback that keeps later writes, removals or revisions.
BOOST_AUTO_TEST_CASE(RollBackRestoresTheEarlierState)
{
  Store store;
  store.Put("a", "1", std::nullopt);
  store.Put("b", "1", std::nullopt);
  store.Put("a", "2", std::nullopt);
  store.Remove("b");
  BOOST_TEST(store.RollBack(2));
  BOOST_TEST(store.Revision() == 2U);
  BOOST_TEST(*store.Get("a")->mValue == "1");
  BOOST_TEST((store.Get("b") != nullptr));
  BOOST_TEST(store.Put("c", "1", std::nullopt).mRevision == 3U);
  BOOST_TEST(!store.RollBack(9));
  store.Clear();
  BOOST_TEST(store.List("").empty());
}

// Guards against objects that outlive their lease or lose it on renewal.
BOOST_AUTO_TEST_CASE(LeaseExpiresUnlessWrittenAgain)
{
  Store store;
  const Instant start{};
  store.Put("a", "1", start + 10s);
  store.Put("b", "1", start + 10s);
  store.Put("b", "2", start + 20s);
  BOOST_TEST(store.Expire(start + 9s).empty());
  BOOST_TEST(store.Expire(start + 10s).size() == 1U);
  BOOST_TEST((store.Get("a") == nullptr));
  BOOST_TEST(store.ChangesAfter("", 3).size() == 1U);
  BOOST_TEST(store.Expire(start + 20s).size() == 1U);
}

// Guards against watches that bypass the rate limit.
BOOST_AUTO_TEST_CASE(PendingCallsReduceTheRate)
{
  RateLimit limit(10);
  const auto accepted = [&limit](Instant aNow, size_t aPending) {
    int count = 0;
    while (limit.Take(aNow, aPending)) {
      ++count;
    }
    return count;
  };
  const Instant start = Instant{} + 100s;
  BOOST_TEST(accepted(start, 0) == 10);
  BOOST_TEST(accepted(start + 500ms, 0) == 5);
  BOOST_TEST(accepted(start + 2s, 6) == 4);
  BOOST_TEST(accepted(start + 9s, 12) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
