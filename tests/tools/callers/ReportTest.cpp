#include <boost/test/unit_test.hpp>

#include "tools/callers/Report.h"

using namespace snipepost;
using namespace snipepost::tools;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(ReportTest)

// Guards against quantiles outside the histogram's precision of 1%.
BOOST_AUTO_TEST_CASE(QuantilesWithinOnePercent)
{
  LatencyHistogram histogram;
  BOOST_TEST(histogram.Quantile(0.5) == 0);
  for (int ms = 1; ms <= 1000; ++ms) {
    histogram.Add(milliseconds(ms));
  }
  BOOST_TEST(histogram.Quantile(0.5) == 500,
             boost::test_tools::tolerance(0.02));
  BOOST_TEST(histogram.Quantile(0.99) == 990,
             boost::test_tools::tolerance(0.02));
}

// Guards against a run that passes despite a broken flow or wrong bytes.
BOOST_AUTO_TEST_CASE(AnyFault_NotClean)
{
  const Instant start{};
  BOOST_TEST((Report{ Statistics(start), std::nullopt }.IsClean()));
  Statistics broken(start);
  broken.OnBroken(RequestClass::Bulk, start);
  BOOST_TEST((!Report{ broken, std::nullopt }.IsClean()));
  Statistics wrong(start);
  wrong.OnResult(RequestClass::Query, Result::Wrong, start, start);
  BOOST_TEST((!Report{ wrong, std::nullopt }.IsClean()));
  Statistics lost(start);
  lost.mFlowsLost = 1;
  BOOST_TEST((!Report{ lost, std::nullopt }.IsClean()));
  const Statistics fine(start);
  for (const JournalFindings& findings :
       { JournalFindings{ 1, 0, 0, 0, 1, {}, {} },
         JournalFindings{ 0, 1, 0, 0, 1, {}, {} },
         JournalFindings{ 0, 0, 1, 0, 1, {}, {} },
         JournalFindings{ 0, 0, 0, 1, 1, {}, {} },
         JournalFindings{ 0, 0, 0, 0, 0, {}, {} } }) {
    BOOST_TEST((!Report{ fine, findings }.IsClean()));
  }
  const JournalFindings confirmed{ 0, 0, 0, 0, 1, {}, {} };
  BOOST_TEST((Report{ fine, confirmed }.IsClean()));
  BOOST_TEST((!Report{ fine, JournalFindings{} }.HasEvidence()));
}

// Guards against results that are counted in the wrong second.
BOOST_AUTO_TEST_CASE(SeriesCountsBySecond)
{
  const Instant start{ std::chrono::hours(1) };
  Statistics statistics(start);
  statistics.OnRequest(RequestClass::Query, start + milliseconds(1900));
  statistics.OnResult(RequestClass::Query,
                      Result::Ok,
                      start + milliseconds(1900),
                      start + milliseconds(3100));
  const auto& seconds = statistics.ForClass(RequestClass::Query).mSeconds;
  BOOST_REQUIRE(seconds.size() == 4);
  BOOST_TEST(seconds[1].mRequests == 1);
  BOOST_TEST(seconds[3].mResults[0] == 1);
  BOOST_TEST(seconds[3].mMaxLatencyMs == 1200);
}

BOOST_AUTO_TEST_SUITE_END()
