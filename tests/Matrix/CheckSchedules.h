#pragma once

#include <cstdint>
#include <cstdlib>
#include <sstream>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <tests/Matrix/Checkers.h>

namespace snipepost::matrix {

constexpr uint64_t kDefaultSeed = 20261204;

/// Seed of the generated schedules, except in SafeguardTest. The environment
/// variable SNIPEPOST_MATRIX_SEED overrides it for longer manual searches.
inline uint64_t
Seed()
{
  const char* text = std::getenv("SNIPEPOST_MATRIX_SEED");
  return text ? std::stoull(text) : kDefaultSeed;
}

inline std::string
Describe(const std::vector<Violation>& aViolations)
{
  std::ostringstream text;
  for (const Violation& violation : aViolations) {
    text << violation.mLabel << ": " << violation.mText << '\n';
  }
  return text.str();
}

/// Calls aCheck, which returns the violations of one schedule, for aCount
/// generated schedules. On a failure, prints the shrunk schedule.
template<typename ScheduleGen, typename Check>
void
CheckSchedules(const std::string& aName,
               const ScheduleGen& aSchedules,
               const Check& aCheck,
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
      const auto violations = aCheck(schedule);
      if (!violations.empty()) {
        RC_FAIL(Describe(violations));
      }
    },
    metadata,
    params);
  const bool passed = result.template is<rc::detail::SuccessResult>();
  BOOST_TEST(passed);
  if (!passed) {
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    BOOST_TEST_MESSAGE(metadata.description << '\n' << text.str());
  }
}

} // namespace snipepost::matrix
