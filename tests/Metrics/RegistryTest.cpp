#include <boost/test/unit_test.hpp>

#include <snipepost/Metrics/Registry.h>

using namespace snipepost;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(RegistryTest)

BOOST_AUTO_TEST_CASE(TextHoldsEveryMetricOnce)
{
  Registry registry;
  registry.AddCounter("a_total", "A.", "kind=\"x\"").Add(3);
  registry.AddCounter("a_total", "A.", "kind=\"y\"");
  registry.AddGauge("b", "B.").Set(1.5);
  registry.AddLatency("c_seconds", "C.").Record(20ms);
  const std::string text = registry.PrometheusText();
  BOOST_TEST(text.find("a_total{kind=\"x\"} 3\n") != std::string::npos);
  BOOST_TEST(text.find("# TYPE a_total counter") ==
             text.rfind("# TYPE a_total counter"));
  BOOST_TEST(text.find("b 1.5\n") != std::string::npos);
  BOOST_TEST(text.find("c_seconds_bucket{le=\"+Inf\"} 1\n") !=
             std::string::npos);
}

// Guards against quantiles with an error of more than one bucket.
BOOST_AUTO_TEST_CASE(QuantilesAreAccurateToOneBucket)
{
  LatencyHistogram histogram;
  for (int i = 1; i <= 1000; ++i) {
    histogram.Record(std::chrono::milliseconds(i));
  }
  BOOST_TEST(histogram.Quantile(0.5) == 0.5,
             boost::test_tools::tolerance(0.13));
  BOOST_TEST(histogram.Quantile(0.99) == 0.99,
             boost::test_tools::tolerance(0.13));
}

// Guards against not counting values outside the histogram's range.
BOOST_AUTO_TEST_CASE(ValuesOutsideTheRangeStillCount)
{
  LatencyHistogram histogram;
  histogram.Record(0ns);
  histogram.Record(1000s);
  BOOST_TEST(histogram.Count() == 2U);
  BOOST_TEST(histogram.Quantile(1.0) == 100.0);
}

BOOST_AUTO_TEST_SUITE_END()
