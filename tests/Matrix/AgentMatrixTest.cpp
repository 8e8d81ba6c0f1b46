#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <sstream>
#include <string>

#include <tests/Matrix/Checkers.h>
#include <tests/Matrix/Schedule.h>
#include <tests/Matrix/World.h>

using namespace snipepost;
using namespace snipepost::matrix;

namespace {

constexpr uint64_t kDefaultSeed = 20261204;

/// The seed of all schedules; SNIPEPOST_MATRIX_SEED replaces it for longer
/// searches by hand.
uint64_t
Seed()
{
  const char* text = std::getenv("SNIPEPOST_MATRIX_SEED");
  return text ? std::stoull(text) : kDefaultSeed;
}

std::string
Describe(const std::vector<Violation>& aViolations)
{
  std::ostringstream text;
  for (const Violation& violation : aViolations) {
    text << violation.mLabel << ": " << violation.mText << '\n';
  }
  return text.str();
}

/// Checks schedules of the generator; on a failure prints the shrunk one.
void
CheckSchedules(const std::string& aName,
               const rc::Gen<Schedule>& aSchedules,
               uint64_t aSeed,
               int aCount)
{
  rc::detail::TestParams params;
  params.seed = aSeed;
  params.maxSuccess = aCount;
  rc::detail::TestMetadata metadata;
  metadata.id = aName;
  metadata.description = aName + ", seed " + std::to_string(aSeed);
  const auto result = rc::detail::checkTestable(
    [&] {
      const auto schedule = *aSchedules;
      const auto violations = Judge(World({}).Run(schedule));
      if (!violations.empty()) {
        RC_FAIL(Describe(violations));
      }
    },
    metadata,
    params);
  const bool held = result.template is<rc::detail::SuccessResult>();
  BOOST_TEST(held);
  if (!held) {
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    BOOST_TEST_MESSAGE(metadata.description << '\n' << text.str());
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(AgentMatrixTest)

// Guards against faults that appear only in some order of many events.
BOOST_AUTO_TEST_CASE(P3_P4_P5_P6_P7_P8_P9_AnyFaults)
{
  BOOST_TEST_MESSAGE("seed " << Seed());
  CheckSchedules("any schedule", AnySchedule(), Seed(), 20000);
}

// Guards against rules that hold for each fault alone: every ordered pair of
// faults, each in generated traffic.
BOOST_AUTO_TEST_CASE(P3_P4_P5_P6_P7_P8_P9_PairsOfFaults)
{
  BOOST_TEST_MESSAGE("seeds from " << Seed());
  for (uint8_t first = kFirstFault; first < kActions; ++first) {
    for (uint8_t second = kFirstFault; second < kActions; ++second) {
      std::ostringstream name;
      name << Step{ Action{ first } } << " then " << Step{ Action{ second } };
      CheckSchedules(name.str(),
                     ScheduleWith(Action{ first }, Action{ second }),
                     Seed() + first * kActions + second,
                     60);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
