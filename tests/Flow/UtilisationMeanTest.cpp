#include <boost/test/unit_test.hpp>

#include <snipepost/Flow/UtilisationMean.h>

using namespace snipepost;
using namespace snipepost::flow;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(UtilisationMeanTest)

// Guards against a queue that counts as utilisation, against a mean that only
// follows when the load changes, and against times that run backwards, as when
// an expired flow is removed.
BOOST_AUTO_TEST_CASE(FollowsTheShareOfUsedSlots)
{
  const Instant start{ 100s };
  UtilisationMean mean;
  BOOST_TEST(mean.At(start) == 0.0);
  mean.Set(0, 2, start);
  mean.Set(9, 2, start);
  BOOST_TEST(mean.At(start) == 0.0);
  BOOST_TEST(mean.At(start + 2s) == 0.632, boost::test_tools::tolerance(0.001));
  BOOST_TEST(mean.At(start + 60s) == 1.0, boost::test_tools::tolerance(0.001));
  mean.Set(1, 2, start + 60s);
  mean.Set(0, 2, start + 50s);
  BOOST_TEST(mean.At(start + 60s) == 1.0, boost::test_tools::tolerance(0.001));
  BOOST_TEST(mean.At(start + 62s) == 0.368,
             boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_SUITE_END()
