#include <tests/Matrix/Schedule.h>

#include <ostream>

namespace snipepost::matrix {

namespace {

constexpr std::array<const char*, kActions> kNames{
  "Request",    "Burst",          "Duplicate",       "RelayedKey",  "RelayedIn",
  "NewScope",   "Advance",        "AdvanceLong",     "HonestLoad",  "GiveUp",
  "CloseFlow",  "BackendRestart", "ConnectionBreak", "StreamBreak", "Refusals",
  "Sheds",      "SilentCold",     "LyingLoad",       "LateLoad",    "Hang",
  "AgentPause", "AgentRestart",   "StoreOut",        "StoreIn",     "DrainOn",
  "DrainOff",   "BackendLeaves",  "Shutdown",        "DomainOut",   "DomainIn",
  "NewConfig"
};

/// Mostly requests and passing time, so that faults occur while requests are in
/// progress.
rc::Gen<Action>
Traffic()
{
  return rc::gen::weightedOneOf<Action>({
    { 5, rc::gen::just(Action::Request) },
    { 2, rc::gen::just(Action::Burst) },
    { 3, rc::gen::just(Action::Duplicate) },
    { 6, rc::gen::just(Action::Advance) },
    { 5, Between<Action>(0, kFirstFaultOrChange) },
  });
}

} // namespace

std::ostream&
operator<<(std::ostream& aOut, const Step& aStep)
{
  return aOut << kNames.at(static_cast<size_t>(aStep.mAction)) << '('
              << int{ aStep.mFirst } << ", " << int{ aStep.mSecond } << ')';
}

rc::Gen<Schedule>
AnySchedule()
{
  return rc::gen::container<Schedule>(StepOf(rc::gen::weightedOneOf<Action>(
    { { 5, Traffic() },
      { 1, Between<Action>(kFirstFaultOrChange, kActions) } })));
}

rc::Gen<Schedule>
ScheduleWith(Action aFirst, Action aSecond)
{
  const auto traffic =
    rc::gen::scale(0.2, rc::gen::container<Schedule>(StepOf(Traffic())));
  return TrafficAround(traffic, aFirst, aSecond);
}

rc::Gen<Schedule>
ScheduleOf(const std::vector<Action>& aActions)
{
  return rc::gen::container<Schedule>(StepOf(rc::gen::weightedOneOf<Action>(
    { { 2, rc::gen::elementOf(aActions) }, { 1, Traffic() } })));
}

} // namespace snipepost::matrix
