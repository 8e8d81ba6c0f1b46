#include <boost/test/unit_test.hpp>

#include "Overload.h"

using namespace snipepost::bench;

// Guards against an overload in which fewer requests are answered in time than
// at capacity.
BOOST_AUTO_TEST_CASE(Overload_RequestsPerSecondStayNearPeak)
{
  for (const uint64_t seed : { 1, 2 }) {
    BOOST_TEST_MESSAGE("seed " << seed);
    BOOST_TEST(ShareOfPeak(Figure::GoodPerSecond, seed) >= kLeastShareOfPeak);
  }
}
