#include <boost/test/unit_test.hpp>

#include <sstream>

#include "src/FlowCtl/ChangeHistory.h"

using namespace snipepost::flowctl;

namespace {

std::vector<AppliedChange>
ChangesOf(const std::string& aLog)
{
  std::istringstream stream(aLog);
  return ChangesIn(ReadLog(stream));
}

std::string
Line(const char* aNode, int aTime, int aRevision, const std::string& aChange)
{
  return std::string(aNode) + " time=" + std::to_string(aTime) +
         " event=state-changed part=evacuations revision=" +
         std::to_string(aRevision) + " change=\"" + aChange + "\"\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(ChangeHistoryTest)

BOOST_AUTO_TEST_CASE(FirstAndLastInstanceOfAChange)
{
  const auto changes = ChangesOf(Line("n1", 10, 5, "evacuated a") +
                                 Line("n2", 30, 5, "evacuated a") +
                                 Line("n3", 20, 6, "first snapshot"));
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(changes[0].mFirstInstance == "n1");
  BOOST_TEST(changes[0].mLastInstance == "n2");
  BOOST_TEST(changes[0].mLast - changes[0].mFirst == 20);
  BOOST_TEST(changes[0].mInstances == 2U);
}

// An instance that was behind reports an earlier evacuation late, while a later
// evacuation of the same failure domain is another change.
BOOST_AUTO_TEST_CASE(EvacuationsOfOneDomainAreToldApart)
{
  const auto changes = ChangesOf(
    Line("n1", 10, 5, "evacuated a") + Line("n1", 20, 8, "removed a") +
    Line("n2", 25, 5, "evacuated a") + Line("n1", 30, 11, "evacuated a"));
  BOOST_REQUIRE(changes.size() == 3U);
  BOOST_TEST(changes[0].mInstances == 2U);
  BOOST_TEST(changes[2].mRevision == 11U);
}

BOOST_AUTO_TEST_SUITE_END()
