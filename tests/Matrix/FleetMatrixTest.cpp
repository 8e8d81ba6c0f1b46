#include <boost/test/unit_test.hpp>

#include <tests/Matrix/CheckSchedules.h>
#include <tests/Matrix/FleetSimulation.h>

using namespace snipepost;
using namespace snipepost::matrix;

namespace {

std::vector<Violation>
RunAndCheck(const FleetSchedule& aSchedule)
{
  return FleetSimulation().Run(aSchedule);
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetMatrixTest)

// Guards against violations that occur only when routing, membership and
// several agents interact, in any order of events.
BOOST_AUTO_TEST_CASE(P1_P2_P4_P8_P10_AnyFaults)
{
  BOOST_TEST_MESSAGE("seed " << Seed());
  CheckSchedules(
    "any fleet schedule", AnyFleetSchedule(), RunAndCheck, Seed(), 600);
}

// Guards against violations that only a combination of planned changes and
// faults causes: runs every ordered pair of them in generated traffic.
BOOST_AUTO_TEST_CASE(P1_P2_P4_P8_P10_PairsOfFaults)
{
  BOOST_TEST_MESSAGE("seeds from " << Seed());
  for (uint8_t first = kFirstPlannedChange; first < kFleetActions; ++first) {
    for (uint8_t second = kFirstPlannedChange; second < kFleetActions;
         ++second) {
      std::ostringstream name;
      name << FleetStep{ FleetAction{ first } } << " then "
           << FleetStep{ FleetAction{ second } };
      CheckSchedules(
        name.str(),
        FleetScheduleWith(FleetAction{ first }, FleetAction{ second }),
        RunAndCheck,
        Seed() + uint64_t{ first } * kFleetActions + second,
        2);
    }
  }
}

// Regression test: minimal schedules that violated an invariant before.
BOOST_AUTO_TEST_CASE(P1_P10_FleetFaultsFoundBefore)
{
  using A = FleetAction;
  const std::vector<FleetSchedule> schedules{
    // After a failed exchange with a dead entry instance, an agent in a domain
    // that went out waited for its next regular exchange.
    { { A::DomainOut, 1 }, { A::EntryDies } },
    // A failed document pull was not retried before the next exchange. Which
    // messages are lost depends on the seed of the simulated fleet.
    { { A::DomainBack },
      { A::Advance, 5 },
      { A::DomainOut },
      { A::Loss },
      { A::AdvanceLong },
      { A::DomainOut } },
    { { A::DomainOut },
      { A::Loss },
      { A::Advance, 5 },
      { A::DomainOut, 2 },
      { A::Touch },
      { A::AdvanceLong } },
    { { A::DomainOut, 4 },
      { A::Loss },
      { A::DomainOut, 5 },
      { A::AdvanceLong },
      { A::AgentRestarts } },
    // When two of three entry instances were dead, they counted permanently as
    // probers of each other, and their votes against an agent remained valid
    // after it had recovered.
    { { A::AgentFrozen },
      { A::AdvanceLong },
      { A::EntryDies, 6 },
      { A::EntryDies } },
  };
  for (const FleetSchedule& schedule : schedules) {
    BOOST_TEST(Describe(RunAndCheck(schedule)) == "");
  }
}

// Guards against a generator whose schedules no longer open flows.
BOOST_AUTO_TEST_CASE(SchedulesOpenFlows)
{
  rc::Random random(Seed());
  size_t opened = 0;
  size_t routed = 0;
  for (int i = 0; i < 50; ++i) {
    FleetSimulation simulation;
    simulation.Run(
      rc::gen::resize(100, AnyFleetSchedule())(random.split()).value());
    opened += simulation.FlowsOpened();
    routed += simulation.PacketsRouted();
  }
  BOOST_TEST_MESSAGE("flows " << opened << ", packets " << routed);
  BOOST_TEST(opened > 100U);
  BOOST_TEST(routed > 1000U);
}

BOOST_AUTO_TEST_SUITE_END()
