#include "tests/Flow/OwnerLookupCheck.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <sstream>

#include "tests/Flow/OwnerLookupModel.h"

namespace snipepost::flow {

namespace {

/// The number in an environment variable; aDefault without it.
uint64_t
NumberFrom(const char* aVariable, uint64_t aDefault)
{
  const char* text = std::getenv(aVariable);
  return text ? std::stoull(text) : aDefault;
}

/// Schedules of a run; SNIPEPOST_OWNER_SCHEDULES sets another number, and
/// SNIPEPOST_OWNER_SEED the first seed.
constexpr uint64_t kSchedules = 3000;

/// Wrong resets that are described; the first one with all events.
constexpr size_t kDescribed = 20;

/// Leaves out each disturbance without which the schedule still ends in a wrong
/// reset.
Plan
Reduce(uint64_t aSeed, Plan aPlan)
{
  for (size_t i = aPlan.size(); i-- > 0;) {
    Plan shorter = aPlan;
    shorter.erase(shorter.begin() + static_cast<ptrdiff_t>(i));
    if (OwnerLookupModel(aSeed).Run(shorter)) {
      aPlan = shorter;
    }
  }
  return aPlan;
}

/// The reduced schedule of a wrong reset, with all events if aTraced.
std::string
Describe(uint64_t aSeed, const Plan& aPlan, bool aTraced)
{
  const Plan plan = Reduce(aSeed, aPlan);
  OwnerLookupModel model(aSeed, true);
  std::ostringstream text;
  const std::string reset = model.Run(plan).value_or("none");
  text << "seed " << aSeed << ": " << reset;
  for (const PlannedDisturbance& planned : plan) {
    text << ' ' << ToString(planned.mKind);
  }
  if (!aTraced) {
    return text.str();
  }
  // Lines that name another flow are left out.
  const size_t at = reset.find("flow ");
  const std::string flow =
    at == std::string::npos ? "" : reset.substr(at, reset.find(',') + 1 - at);
  for (const std::string& line : model.Trace()) {
    if (line.find("flow ") == std::string::npos ||
        line.find(flow) != std::string::npos) {
      text << "\n  " << line;
    }
  }
  return text.str();
}

} // namespace

void
CheckSchedules(const std::vector<Disturbance>& aWithout)
{
  const uint64_t first = NumberFrom("SNIPEPOST_OWNER_SEED", 1);
  const uint64_t count = NumberFrom("SNIPEPOST_OWNER_SCHEDULES", kSchedules);
  size_t opened = 0;
  size_t resets = 0;
  size_t lookups = 0;
  size_t overflows = 0;
  size_t wrong = 0;
  std::ostringstream seeds;
  for (uint64_t seed = first; seed < first + count; ++seed) {
    OwnerLookupModel model(seed);
    const Plan plan = MakePlan(seed, aWithout);
    if (model.Run(plan)) {
      seeds << ' ' << seed;
      if (wrong++ < kDescribed) {
        BOOST_TEST_MESSAGE(Describe(seed, plan, wrong == 1));
      }
    }
    opened += model.OpenedFlows();
    resets += model.RightResets();
    lookups += model.Lookups();
    overflows += model.Overflows();
  }
  BOOST_TEST_MESSAGE(count << " schedules, " << opened << " flows opened, "
                           << lookups << " lookup attempts, " << overflows
                           << " flows passed on, " << resets
                           << " resets of ended flows");
  BOOST_TEST(wrong == 0U,
             "open flows were reset with the seeds" << seeds.str());
  // Schedules in which nothing is opened, looked up or reset show nothing. Few
  // schedules, as when a seed is repeated, may have less than the mean.
  if (count < kSchedules) {
    return;
  }
  BOOST_TEST(opened > count * 10);
  BOOST_TEST(lookups > count * 10);
  BOOST_TEST(resets > count / 10);
  BOOST_TEST(overflows > count / 10);
}

} // namespace snipepost::flow
