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

rc::Gen<Step>
StepOf(rc::Gen<Action> aAction)
{
  return rc::gen::build<Step>(
    rc::gen::set(&Step::mAction, std::move(aAction)),
    rc::gen::set(&Step::mFirst, rc::gen::inRange<uint8_t>(0, 64)),
    rc::gen::set(&Step::mSecond, rc::gen::inRange<uint8_t>(0, 64)));
}

rc::Gen<Action>
Between(uint8_t aFirst, uint8_t aEnd)
{
  return rc::gen::map(rc::gen::inRange<uint8_t>(aFirst, aEnd),
                      [](uint8_t aValue) { return Action{ aValue }; });
}

/// Mostly requests and time, so that faults meet work in progress.
rc::Gen<Action>
Traffic()
{
  return rc::gen::weightedOneOf<Action>({
    { 5, rc::gen::just(Action::Request) },
    { 2, rc::gen::just(Action::Burst) },
    { 3, rc::gen::just(Action::Duplicate) },
    { 6, rc::gen::just(Action::Advance) },
    { 5, Between(0, kFirstFault) },
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
    { { 5, Traffic() }, { 1, Between(kFirstFault, kActions) } })));
}

rc::Gen<Schedule>
ScheduleWith(Action aFirst, Action aSecond)
{
  const auto traffic =
    rc::gen::scale(0.2, rc::gen::container<Schedule>(StepOf(Traffic())));
  return rc::gen::map(rc::gen::tuple(traffic,
                                     StepOf(rc::gen::just(aFirst)),
                                     traffic,
                                     StepOf(rc::gen::just(aSecond)),
                                     traffic),
                      [](const auto& aParts) {
                        const auto& [before, first, between, second, after] =
                          aParts;
                        Schedule all = before;
                        all.push_back(first);
                        all.insert(all.end(), between.begin(), between.end());
                        all.push_back(second);
                        all.insert(all.end(), after.begin(), after.end());
                        return all;
                      });
}

rc::Gen<Schedule>
ScheduleOf(const std::vector<Action>& aActions)
{
  return rc::gen::container<Schedule>(StepOf(rc::gen::weightedOneOf<Action>(
    { { 2, rc::gen::elementOf(aActions) }, { 1, Traffic() } })));
}

} // namespace snipepost::matrix
