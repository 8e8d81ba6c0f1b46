#include <boost/test/unit_test.hpp>

#include "src/FlowCtl/ServiceReport.h"

using namespace snipepost;
using namespace snipepost::flowctl;

namespace {

InstanceStatus
Agent(const std::string& aService, std::optional<double> aServiceMs)
{
  InstanceStatus status;
  status.mName = "agent";
  status.mCapacity = AgentCapacity{ aService, 4, 3, 0, std::nullopt };
  if (aServiceMs) {
    status.mCapacity->mServiceTime = Milliseconds(*aServiceMs);
  }
  return status;
}

InstanceStatus
Entry(const RouteRefusals& aRefusals)
{
  InstanceStatus status;
  status.mName = "entry";
  status.mRefused = std::vector{ aRefusals };
  return status;
}

InstanceStatuses
Statuses(const std::vector<std::optional<InstanceStatus>>& aStatuses)
{
  InstanceStatuses statuses;
  for (const auto& status : aStatuses) {
    const auto number = static_cast<uint32_t>(statuses.size());
    statuses[{ 0x0a000001 + number, 7720 }] = status;
  }
  return statuses;
}

bool
IsShort(const InstanceStatuses& aInstances)
{
  bool isShort = false;
  OverloadText(aInstances, isShort);
  return isShort;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServiceReportTest)

// Guards against a service that looks idle because a value of some instances
// is left out.
BOOST_AUTO_TEST_CASE(ValuesOfAllInstancesAreSummed)
{
  const RouteRefusals split{ { "s", "t" }, { { "full", 2 } } };
  const RouteRefusals removed{ {}, { { "route-removed", 1 } } };
  const auto reports =
    ReportServices(Statuses({ Agent("s", 20.0),
                              Agent("s", 40.0),
                              Agent("s", std::nullopt),
                              Entry({ { "s" }, { { "full", 3 } } }),
                              Entry(split),
                              Entry(removed) }));
  const ServiceReport& report = reports.at("s");
  BOOST_TEST(report.mAgents == 3U);
  BOOST_TEST(report.mSlots == 12U);
  BOOST_TEST(report.mRequests == 9U);
  BOOST_TEST(report.mServiceTime->count() == 30.0);
  BOOST_TEST(report.mRefused.at("full") == 5U);
  BOOST_TEST(reports.at("t").mRefused.at("full") == 2U);
  BOOST_TEST(reports.at("-").mRefused.at("route-removed") == 1U);
}

// Guards against an exit code that does not follow from the services: it must
// be 1 while flows are refused or wait, and not because of other instances.
BOOST_AUTO_TEST_CASE(RefusedOrWaitingFlowsMakeAServiceShort)
{
  InstanceStatus previousVersion;
  previousVersion.mName = "old";
  const auto calm =
    Statuses({ Agent("s", 20.0), Entry({}), previousVersion, std::nullopt });
  bool isShort = false;
  const std::string text = OverloadText(calm, isShort);
  BOOST_TEST(!isShort);
  BOOST_TEST(text.find("unknown: previous version") != std::string::npos);
  BOOST_TEST(text.find("10.0.0.4:7720          no valid status") !=
             std::string::npos);
  BOOST_TEST(!IsShort(Statuses({ Entry({ { "s" }, { { "full", 0 } } }) })));
  BOOST_TEST(IsShort(Statuses({ Entry({ { "s" }, { { "full", 1 } } }) })));
  InstanceStatus holding = Agent("s", 20.0);
  holding.mCapacity->mWaiting = 1;
  BOOST_TEST(IsShort(Statuses({ holding })));
}

// Guards against agents that are called slow by the median of other services or
// of too few agents.
BOOST_AUTO_TEST_CASE(AgentsOfTwiceTheMedianAreSlow)
{
  const auto slow = [](const std::vector<double>& aTimes) {
    std::vector<std::optional<InstanceStatus>> agents{ Agent("t", 1.0) };
    for (const double time : aTimes) {
      agents.emplace_back(Agent("s", time));
    }
    return ReportServices(Statuses(agents)).at("s").mSlowAgents;
  };
  BOOST_TEST(slow({ 10, 10, 90 }).empty());
  BOOST_TEST(slow({ 10, 10, 10, 19.9 }).empty());
  const auto agents = slow({ 10, 10, 20, 10, 8 });
  BOOST_REQUIRE(agents.size() == 1U);
  BOOST_TEST(ToString(agents[0].mAddress) == "10.0.0.4:7720");
}

BOOST_AUTO_TEST_SUITE_END()
