#include <boost/test/unit_test.hpp>

#include <sstream>

#include "src/FlowCtl/Explanation.h"

using namespace snipepost::flowctl;

namespace {

/// The cause of the flow of 1.2.3.4:5, when the instances logged aEvents of it.
std::string
CauseOf(const std::string& aEvents)
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
  return Explain(ReadLog(stream), "1.2.3.4:5", "").mCause;
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
  const auto cause = CauseOf("refused refusal=full\nrefused refusal=full\n"
                             "refused refusal=cold\n"
                             "rejected reason=all-refused config=7");
  BOOST_TEST(Contains(cause, "did not run"));
  BOOST_TEST(Contains(cause, "1 cold, 2 full"));
  BOOST_TEST(Contains(cause, "configuration 7"));
}

BOOST_AUTO_TEST_CASE(EachCauseIsTold)
{
  BOOST_TEST(Contains(CauseOf("placed peer=p offers=1 elapsed_ms=2 config=7\n"
                              "ended peer=p"),
                      "ended with its backend server"));
  BOOST_TEST(Contains(CauseOf("locating offers=0"), "can't be reached"));
  BOOST_TEST(Contains(CauseOf("opened peer=e\nunanswered peer=a"),
                      "the reply was lost"));
  BOOST_TEST(Contains(CauseOf("unanswered peer=a\nplaced peer=b offers=2"),
                      "No reply from a"));
  BOOST_TEST(
    Contains(CauseOf("dropped reason=route-unknown"), "route-unknown"));
  BOOST_TEST(Contains(CauseOf(""), "No instance logged"));
}

// The chain must not hold other flows of the same caller.
BOOST_AUTO_TEST_CASE(RouteNarrowsTheChain)
{
  std::istringstream stream(
    "n time=1 event=placed caller=1.1.1.1:1 route=a:1\n"
    "n time=2 event=placed caller=1.1.1.1:1 route=b:1\n");
  const auto lines = ReadLog(stream);
  BOOST_TEST(Explain(lines, "1.1.1.1:1", "").mChain.size() == 2U);
  BOOST_TEST(Explain(lines, "1.1.1.1:1", "b:1").mChain.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
