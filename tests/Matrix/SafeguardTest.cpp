#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include <tests/Matrix/AgentSimulation.h>
#include <tests/Matrix/Checkers.h>
#include <tests/Matrix/FleetSimulation.h>
#include <tests/Matrix/Schedule.h>

using namespace snipepost;
using namespace snipepost::matrix;

namespace {

constexpr uint64_t kSeed = 7;
constexpr int kSchedules = 3000;

struct SafeguardCase
{
  const char* mName;
  bool Safeguards::*mSafeguard;
  const char* mLabel;
  std::vector<Action> mActions;
};

const std::vector<SafeguardCase> kCases{
  { "ColdRamp", &Safeguards::mColdRamp, "P3", { Action::BackendRestart } },
  { "ReportsOnlyLower",
    &Safeguards::mReportsOnlyLower,
    "P3",
    { Action::BackendRestart, Action::LyingLoad } },
  { "ColdOnDisconnect",
    &Safeguards::mColdOnDisconnect,
    "P3",
    { Action::AdvanceLong, Action::BackendRestart, Action::Burst } },
  { "AdaptiveLimit",
    &Safeguards::mAdaptiveLimit,
    "P3",
    { Action::SilentCold, Action::AdvanceLong, Action::Burst } },
  { "ForwardOnce",
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
  { "UnknownAfterForward",
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

struct FleetSafeguardCase
{
  const char* mName;
  std::function<void(FleetSafeguards&)> mDisable;
  const char* mLabel;
  std::vector<FleetAction> mActions;
};

using F = FleetAction;
const std::vector<FleetSafeguardCase> kFleetCases{
  { "ServiceCheck",
    [](FleetSafeguards& aSafeguards) {
      aSafeguards.mRouting.mServiceCheck = false;
    },
    "P2",
    { F::Open, F::Advance } },
  { "DomainCheck",
    [](FleetSafeguards& aSafeguards) {
      aSafeguards.mRouting.mDomainCheck = false;
    },
    "P4",
    { F::Open, F::AgentFrozen, F::DomainOut, F::AdvanceLong } },
  { "PreviousCandidates",
    [](FleetSafeguards& aSafeguards) {
      aSafeguards.mRouting.mPreviousCandidates = false;
    },
    "P1",
    { F::Open, F::Drain, F::Advance } },
  { "PanicThreshold",
    [](FleetSafeguards& aSafeguards) {
      aSafeguards.mView.mPanicThreshold = false;
    },
    "P1",
    { F::AgentFrozen, F::AdvanceLong } },
  { "RejectOlderDocuments",
    [](FleetSafeguards& aSafeguards) {
      aSafeguards.mMembership.mRejectOlderDocuments = false;
    },
    "P10",
    { F::Touch, F::UpdatesTwice, F::Advance } },
  { "WriteBack",
    [](FleetSafeguards& aSafeguards) {
      aSafeguards.mMembership.mWriteBack = false;
    },
    "P10",
    { F::Touch, F::StoreEmpty, F::Advance } },
  { "VoteMajority",
    [](FleetSafeguards& aSafeguards) {
      aSafeguards.mMembership.mVoteMajority = false;
    },
    "P1",
    { F::LinkOneWay, F::AdvanceLong } },
};

/// Whether a run violates the invariant with the label.
bool
Violates(const Safeguards& aSafeguards,
         const Schedule& aSchedule,
         const char* aLabel)
{
  const auto violations =
    FindViolations(AgentSimulation(aSafeguards).Run(aSchedule));
  return std::any_of(
    violations.begin(), violations.end(), [&](const Violation& aViolation) {
      return aViolation.mLabel == aLabel;
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(SafeguardTest)

// Guards against checkers that can't fail: when a safeguard is disabled, the
// checker of its invariant must report a violation in some schedule, and none
// in the same schedule when the safeguard is enabled.
BOOST_AUTO_TEST_CASE(EveryDisabledSafeguardIsDetected)
{
  BOOST_TEST_MESSAGE("seed " << kSeed);
  for (const SafeguardCase& each : kCases) {
    Safeguards safeguards;
    safeguards.*each.mSafeguard = false;
    const auto schedules = ScheduleOf(each.mActions);
    rc::Random random(kSeed);
    bool detected = false;
    for (int i = 0; i < kSchedules && !detected; ++i) {
      const Schedule schedule = schedules(random.split()).value();
      detected = Violates(safeguards, schedule, each.mLabel);
      if (detected) {
        BOOST_TEST(!Violates(Safeguards{}, schedule, each.mLabel), each.mName);
        BOOST_TEST_MESSAGE(each.mName << " detected by schedule " << i);
      }
    }
    BOOST_TEST(detected,
               each.mName << " is disabled, but " << each.mLabel
                          << " is not violated in any schedule");
  }
}

// The same for the safeguards of routing, views and membership.
BOOST_AUTO_TEST_CASE(EveryDisabledFleetSafeguardIsDetected)
{
  BOOST_TEST_MESSAGE("seed " << kSeed);
  for (const FleetSafeguardCase& each : kFleetCases) {
    FleetSafeguards safeguards;
    each.mDisable(safeguards);
    const auto schedules = FleetScheduleOf(each.mActions);
    rc::Random random(kSeed);
    bool detected = false;
    for (int i = 0; i < 100 && !detected; ++i) {
      const FleetSchedule schedule = schedules(random.split()).value();
      for (const Violation& violation :
           FleetSimulation(safeguards).Run(schedule)) {
        detected = detected || violation.mLabel == each.mLabel;
      }
      if (detected) {
        BOOST_TEST(FleetSimulation().Run(schedule).empty(), each.mName);
        BOOST_TEST_MESSAGE(each.mName << " detected by schedule " << i);
      }
    }
    BOOST_TEST(detected,
               each.mName << " is disabled, but " << each.mLabel
                          << " is not violated in any schedule");
  }
}

BOOST_AUTO_TEST_SUITE_END()
