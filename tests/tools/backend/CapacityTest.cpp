#include <boost/test/unit_test.hpp>

#include <chrono>

#include "tools/backend/Capacity.h"

using namespace snipepost;
using namespace snipepost::tools;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(CapacityTest)

// Guards against an emulator that sustains any load while cold, which would
// hide violations of P3.
BOOST_AUTO_TEST_CASE(P3_ColdStart_CapacityStartsLowAndGrows)
{
  Capacity capacity(4, 20s);
  const Instant start = Instant{} + 100s;
  capacity.ResetToCold(start, 0s);
  BOOST_TEST(!capacity.IsOverloaded(2, start));
  BOOST_TEST(capacity.IsOverloaded(3, start));
  BOOST_TEST(capacity.Warmth(start + 10s) == 0.5);
  BOOST_TEST(!capacity.IsOverloaded(9, start + 10s));
  BOOST_TEST(capacity.IsOverloaded(10, start + 10s));
  BOOST_TEST(capacity.IsOverloaded(17, start + 20s));
  BOOST_TEST(!capacity.IsOverloaded(16, start + 30s));
  BOOST_TEST(capacity.Speed(start) < capacity.Speed(start + 10s));
  BOOST_TEST(capacity.Speed(start + 20s) == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()
