#include <boost/test/unit_test.hpp>

#include <sstream>

#include "src/FlowCtl/LogLine.h"

using namespace snipepost::flowctl;

BOOST_AUTO_TEST_SUITE(LogLineTest)

BOOST_AUTO_TEST_CASE(FieldsAndQuotedValues)
{
  const auto line = ParseLogLine(
    R"(  36.01 entry-1 time=1700 event=state-changed change="a \"b\" c" load=7)");
  BOOST_REQUIRE(line);
  BOOST_TEST(line->mInstance == "entry-1");
  BOOST_TEST(line->mTime == 1700);
  BOOST_TEST(line->mEvent == "state-changed");
  BOOST_TEST(line->Field("change") == "a \"b\" c");
  BOOST_TEST(line->Number("load") == 7.0);
  BOOST_TEST(line->Field("missing").empty());
}

// Logs also contain unstructured text, and lines that a crash truncated.
BOOST_AUTO_TEST_CASE(OtherTextIsIgnored)
{
  for (const char* text : { "",
                            "started",
                            "time=",
                            "time=x event=start",
                            "time=1",
                            "time=1 event",
                            "time=1 event=a change=\"cut",
                            "time=1 event=a \\" }) {
    (void)ParseLogLine(text);
  }
  BOOST_TEST(!ParseLogLine("time=x event=start"));
  BOOST_TEST(!ParseLogLine("time=1"));
  BOOST_TEST(!ParseLogLine("started"));
}

BOOST_AUTO_TEST_CASE(LinesAreSortedByTime)
{
  std::istringstream stream("time=2 event=b\nnoise\ntime=1 event=a\n");
  const auto lines = ReadLog(stream);
  BOOST_REQUIRE(lines.size() == 2U);
  BOOST_TEST(lines[0].mEvent == "a");
}

BOOST_AUTO_TEST_SUITE_END()
