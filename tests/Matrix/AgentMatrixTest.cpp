#include <boost/test/unit_test.hpp>

#include <map>
#include <set>
#include <sstream>
#include <string>

#include <tests/Matrix/AgentSimulation.h>
#include <tests/Matrix/CheckSchedules.h>
#include <tests/Matrix/Schedule.h>

using namespace snipepost;
using namespace snipepost::matrix;

namespace {

std::vector<Violation>
RunAndCheck(const Schedule& aSchedule)
{
  return FindViolations(AgentSimulation({}).Run(aSchedule));
}

} // namespace

BOOST_AUTO_TEST_SUITE(AgentMatrixTest)

// Guards against violations that occur only in certain orders of many events.
BOOST_AUTO_TEST_CASE(P3_P4_P5_P6_P7_P8_P9_AnyFaults)
{
  BOOST_TEST_MESSAGE("seed " << Seed());
  CheckSchedules("any schedule", AnySchedule(), RunAndCheck, Seed(), 20000);
}

// Guards against violations that only a combination of faults causes: runs
// every ordered pair of faults and planned changes in generated traffic.
BOOST_AUTO_TEST_CASE(P3_P4_P5_P6_P7_P8_P9_PairsOfFaults)
{
  BOOST_TEST_MESSAGE("seeds from " << Seed());
  for (uint8_t first = kFirstFaultOrChange; first < kActions; ++first) {
    for (uint8_t second = kFirstFaultOrChange; second < kActions; ++second) {
      std::ostringstream name;
      name << Step{ Action{ first } } << " then " << Step{ Action{ second } };
      CheckSchedules(name.str(),
                     ScheduleWith(Action{ first }, Action{ second }),
                     RunAndCheck,
                     Seed() + uint64_t{ first } * kActions + second,
                     60);
    }
  }
}

// Regression test: minimal schedules that violated an invariant before.
BOOST_AUTO_TEST_CASE(P3_P8_FaultsFoundBefore)
{
  using A = Action;
  const std::vector<Schedule> schedules{
    // An agent that restarted while its backend server was leaving began the
    // drain again.
    { { A::BackendLeaves },
      { A::AdvanceLong },
      { A::AgentRestart },
      { A::RelayedIn } },
    // The same, with a relayed request that arrived before the agent was
    // notified that the backend server was leaving.
    { { A::BackendLeaves },
      { A::AdvanceLong },
      { A::ConnectionBreak },
      { A::AgentRestart },
      { A::RelayedIn } },
    // Requests refused by a leaving backend server didn't lower the
    // adaptive limit.
    { { A::Advance, 17, 3 },
      { A::SilentCold },
      { A::Advance, 19, 11 },
      { A::Advance, 46 },
      { A::Burst },
      { A::Burst },
      { A::BackendLeaves } },
    // After a late report with an old boot ID, the reports of the current
    // incarnation were treated as late ones.
    { { A::BackendRestart },
      { A::Advance, 63 },
      { A::AgentRestart },
      { A::Burst, 30, 10 },
      { A::Burst },
      { A::LateLoad },
      { A::Burst },
      { A::BackendLeaves } },
    // A flow that had received the final GOAWAY was used again in a second
    // drain.
    { { A::Request },
      { A::DrainOn },
      { A::AdvanceLong },
      { A::DrainOff },
      { A::DrainOn },
      { A::Duplicate } },
  };
  for (const Schedule& schedule : schedules) {
    BOOST_TEST(Describe(FindViolations(AgentSimulation({}).Run(schedule))) ==
               "");
  }
}

// Guards against a generator that no longer covers the cases that the checkers
// evaluate.
BOOST_AUTO_TEST_CASE(SchedulesReachEveryOutcome)
{
  BOOST_TEST_MESSAGE("seed " << Seed());
  std::map<CallerOutcome, uint32_t> outcomes;
  uint32_t retries = 0;
  uint32_t exits = 0;
  rc::Random random(Seed());
  for (int i = 0; i < 1000; ++i) {
    AgentSimulation simulation({});
    const auto& records = simulation.Run(AnySchedule()(random.split()).value());
    std::set<RequestId> seen;
    for (const RequestRecord& record : records.mRequests) {
      ++outcomes[record.mOutcome];
    }
    for (const JournalEntry& entry : records.mJournal) {
      retries += seen.insert(entry.mRequest).second ? 0 : 1;
    }
    exits += records.mExited ? 1 : 0;
  }
  for (const auto outcome : { CallerOutcome::Answered,
                              CallerOutcome::Replayed,
                              CallerOutcome::Rejected,
                              CallerOutcome::Unknown,
                              CallerOutcome::Abandoned,
                              CallerOutcome::Relayed }) {
    BOOST_TEST_MESSAGE(int(outcome) << ": " << outcomes[outcome]);
    BOOST_TEST(outcomes[outcome] > 200U, "outcome " << int(outcome));
  }
  BOOST_TEST_MESSAGE("retries " << retries << ", exits " << exits);
  BOOST_TEST(retries > 50U);
  BOOST_TEST(exits > 50U);
}

BOOST_AUTO_TEST_SUITE_END()
