#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include <tests/Matrix/Checkers.h>
#include <tests/Matrix/FleetWorld.h>
#include <tests/Matrix/Schedule.h>
#include <tests/Matrix/World.h>

using namespace snipepost;
using namespace snipepost::matrix;

namespace {

constexpr uint64_t kSeed = 7;
constexpr int kSchedules = 3000;

struct GuardCase
{
  const char* mName;
  bool Safeguards::*mGuard;
  const char* mLabel;
  std::vector<Action> mActions;
};

const std::vector<GuardCase> kCases{
  { "ColdRamp", &Safeguards::mColdRamp, "P3", { Action::BackendRestart } },
  { "ReportsOnlyLower",
    &Safeguards::mReportsOnlyLower,
    "P3",
    { Action::BackendRestart, Action::LyingLoad } },
  { "ColdOnBreak",
    &Safeguards::mColdOnDisconnect,
    "P3",
    { Action::AdvanceLong, Action::BackendRestart, Action::Burst } },
  { "AdaptiveLimit",
    &Safeguards::mAdaptiveLimit,
    "P3",
    { Action::SilentCold, Action::AdvanceLong, Action::Burst } },
  { "PassOnOnce",
    &Safeguards::mForwardOnce,
    "P7",
    { Action::StreamBreak, Action::Duplicate } },
  { "IdempotencyTable",
    &Safeguards::mIdempotencyTable,
    "P7",
    { Action::Duplicate } },
  { "ScopeExpiry",
    &Safeguards::mScopeExpiry,
    "P7",
    { Action::Duplicate, Action::AdvanceLong } },
  { "IncarnationCheck",
    &Safeguards::mIncarnationCheck,
    "P7",
    { Action::Duplicate, Action::AgentRestart } },
  { "UnknownAfterPassOn",
    &Safeguards::mUnknownAfterForward,
    "P6",
    { Action::StreamBreak, Action::Request } },
  { "DrainRejects", &Safeguards::mDrainRejects, "P8", { Action::DrainOn } },
  { "DrainEmptiesQueue",
    &Safeguards::mDrainEmptiesQueue,
    "P8",
    { Action::DrainOn, Action::Hang, Action::Burst, Action::Advance } },
  { "ExitWhenIdle",
    &Safeguards::mExitWhenIdle,
    "P9",
    { Action::Shutdown, Action::Hang } },
  { "DomainOut", &Safeguards::mDomainOut, "P4", { Action::DomainOut } },
  { "Lease", &Safeguards::mLease, "Lease", { Action::AgentPause } },
  { "RetryBudget",
    &Safeguards::mRetryBudget,
    "Retry",
    { Action::StreamBreak, Action::Refusals, Action::Request } },
};

struct FleetGuardCase
{
  const char* mName;
  std::function<void(FleetGuards&)> mOff;
  const char* mLabel;
  std::vector<FleetAction> mActions;
};

using F = FleetAction;
const std::vector<FleetGuardCase> kFleetCases{
  { "ServiceCheck",
    [](FleetGuards& aGuards) { aGuards.mRouting.mServiceCheck = false; },
    "P2",
    { F::Open, F::Advance } },
  { "DomainCheck",
    [](FleetGuards& aGuards) { aGuards.mRouting.mDomainCheck = false; },
    "P4",
    { F::Open, F::AgentFrozen, F::DomainOut, F::AdvanceLong } },
  { "PreviousCandidates",
    [](FleetGuards& aGuards) { aGuards.mRouting.mPreviousCandidates = false; },
    "P1",
    { F::Open, F::Drain, F::Advance } },
  { "PanicThreshold",
    [](FleetGuards& aGuards) { aGuards.mView.mPanicThreshold = false; },
    "P1",
    { F::AgentFrozen, F::AdvanceLong } },
  { "NeverReverts",
    [](FleetGuards& aGuards) {
      aGuards.mMembership.mRejectOlderDocuments = false;
    },
    "P10",
    { F::Touch, F::UpdatesTwice, F::Advance } },
  { "WriteBack",
    [](FleetGuards& aGuards) { aGuards.mMembership.mWriteBack = false; },
    "P10",
    { F::Touch, F::StoreEmpty, F::Advance } },
  { "VoteMajority",
    [](FleetGuards& aGuards) { aGuards.mMembership.mVoteMajority = false; },
    "P1",
    { F::LinkOneWay, F::AdvanceLong } },
};

/// Whether a run breaks the rule with the label.
bool
Breaks(const Safeguards& aGuards, const Schedule& aSchedule, const char* aLabel)
{
  const auto violations = Judge(World(aGuards).Run(aSchedule));
  return std::any_of(
    violations.begin(), violations.end(), [&](const Violation& aViolation) {
      return aViolation.mLabel == aLabel;
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(GuardTest)

// Guards against checkers that can't fail: without each guard, the checker of
// its invariant must object, and with the guard it must accept the schedule.
BOOST_AUTO_TEST_CASE(EveryGuardIsMissed)
{
  BOOST_TEST_MESSAGE("seed " << kSeed);
  for (const GuardCase& each : kCases) {
    Safeguards guards;
    guards.*each.mGuard = false;
    const auto schedules = ScheduleOf(each.mActions);
    rc::Random random(kSeed);
    bool missed = false;
    for (int i = 0; i < kSchedules && !missed; ++i) {
      const Schedule schedule = schedules(random.split()).value();
      missed = Breaks(guards, schedule, each.mLabel);
      if (missed) {
        BOOST_TEST(!Breaks(Safeguards{}, schedule, each.mLabel), each.mName);
        BOOST_TEST_MESSAGE(each.mName << " missed by schedule " << i);
      }
    }
    BOOST_TEST(missed, each.mName << " off, but " << each.mLabel << " holds");
  }
}

// The same for the rules of routing, views and membership.
BOOST_AUTO_TEST_CASE(EveryFleetGuardIsMissed)
{
  BOOST_TEST_MESSAGE("seed " << kSeed);
  for (const FleetGuardCase& each : kFleetCases) {
    FleetGuards guards;
    each.mOff(guards);
    const auto schedules = FleetScheduleOf(each.mActions);
    rc::Random random(kSeed);
    bool missed = false;
    for (int i = 0; i < 100 && !missed; ++i) {
      const FleetSchedule schedule = schedules(random.split()).value();
      for (const Violation& violation : FleetWorld(guards).Run(schedule)) {
        missed = missed || violation.mLabel == each.mLabel;
      }
      if (missed) {
        BOOST_TEST(FleetWorld().Run(schedule).empty(), each.mName);
        BOOST_TEST_MESSAGE(each.mName << " missed by schedule " << i);
      }
    }
    BOOST_TEST(missed, each.mName << " off, but " << each.mLabel << " holds");
  }
}

BOOST_AUTO_TEST_SUITE_END()
