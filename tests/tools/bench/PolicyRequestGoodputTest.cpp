#include <boost/test/unit_test.hpp>

#include "Overload.h"

using namespace snipepost::bench;

// Guards against fewer requests being answered in time under overload than at
// capacity.
BOOST_AUTO_TEST_CASE(Overload_RequestsPerSecondStayNearPeak)
{
  for (const uint64_t seed : { 1, 2 }) {
    BOOST_TEST_MESSAGE("seed " << seed);
    BOOST_TEST(ShareOfPeak(Figure::GoodPerSecond, seed) >= kMinShareOfPeak);
  }
}
