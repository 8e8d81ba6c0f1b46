#include <boost/test/unit_test.hpp>

#include <sstream>

#include "src/FlowCtl/Explanation.h"

using namespace snipepost::flowctl;

namespace {

/// The summary for the flow of 1.2.3.4:5 when the instances logged aEvents.
std::string
SummaryOf(const std::string& aEvents)
{
  std::istringstream events(aEvents);
  std::string log;
  std::string event;
  for (int time = 1; std::getline(events, event); ++time) {
    log += "node" + std::to_string(time) + " time=" + std::to_string(time) +
           " event=" + event + " caller=1.2.3.4:5 route=9.9.9.9:443\n";
  }
  log += "other time=3 event=placed caller=1.2.3.4:6 route=9.9.9.9:443\n";
  std::istringstream stream(log);
  return Explain(ReadLog(stream), "1.2.3.4:5", "").mSummary;
}

bool
Contains(const std::string& aText, const char* aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ExplanationTest)

BOOST_AUTO_TEST_CASE(RejectedFlowDidNotRun)
{
  const auto summary = SummaryOf("refused refusal=full\nrefused refusal=full\n"
                                 "refused refusal=cold\n"
                                 "rejected reason=all-refused config=7");
  BOOST_TEST(Contains(summary, "did not run"));
  BOOST_TEST(Contains(summary, "1 cold, 2 full"));
  BOOST_TEST(Contains(summary, "configuration 7"));
}

BOOST_AUTO_TEST_CASE(EachOutcomeIsExplained)
{
  BOOST_TEST(Contains(SummaryOf("placed peer=p offers=1 elapsed_ms=2 config=7\n"
                                "ended peer=p"),
                      "ended with its backend server"));
  BOOST_TEST(Contains(SummaryOf("locating offers=0"), "can't be reached"));
  BOOST_TEST(Contains(SummaryOf("opened peer=e\nunanswered peer=a"),
                      "the reply was lost"));
  BOOST_TEST(Contains(SummaryOf("unanswered peer=a\nplaced peer=b offers=2"),
                      "No reply from a"));
  BOOST_TEST(
    Contains(SummaryOf("queued peer=q elapsed_ms=1"), "agent q held the SYN"));
  BOOST_TEST(Contains(SummaryOf("queued peer=q\nplaced peer=q offers=3"),
                      "held the SYN until there was capacity"));
  BOOST_TEST(
    Contains(SummaryOf("dropped reason=route-unknown"), "route-unknown"));
  BOOST_TEST(Contains(SummaryOf(""), "No instance logged"));
}

// Guards against an entry instance that is taken for the agent that held the
// SYN: in an agent's line the peer is the entry instance.
BOOST_AUTO_TEST_CASE(QueuedIsExplainedByTheRoleOfTheInstance)
{
  const auto byAgent = SummaryOf("queued peer=e offers=0");
  BOOST_TEST(Contains(byAgent, "agent node1 held the SYN"));
  BOOST_TEST(Contains(byAgent, "entry instance e offered"));
  BOOST_TEST(Contains(SummaryOf("queued peer=q offers=2 elapsed_ms=1"),
                      "agent q held the SYN after 1 ms"));
  BOOST_TEST(Contains(SummaryOf("queued peer=e offers=0\nplaced peer=q"),
                      "agent node1 held the SYN until there was capacity"));
  BOOST_TEST(
    Contains(SummaryOf("queued peer=e offers=0\nturned-away refusal=full"),
             "An agent refused the flow later (full)"));
}

// The lines must not include other flows of the same caller.
BOOST_AUTO_TEST_CASE(RouteFiltersTheLines)
{
  std::istringstream stream(
    "n time=1 event=placed caller=1.1.1.1:1 route=a:1\n"
    "n time=2 event=placed caller=1.1.1.1:1 route=b:1\n");
  const auto lines = ReadLog(stream);
  BOOST_TEST(Explain(lines, "1.1.1.1:1", "").mLines.size() == 2U);
  BOOST_TEST(Explain(lines, "1.1.1.1:1", "b:1").mLines.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
