#pragma once

#include <array>
#include <cstdint>
#include <iosfwd>
#include <vector>

#include <rapidcheck.h>

#include <tests/Matrix/ScheduleParts.h>

namespace snipepost::matrix {

/// Kinds of steps. Those from BackendRestart on are faults and planned changes.
enum class Action : uint8_t
{
  Request,
  Burst,
  Duplicate,
  RelayedKey,
  RelayedIn,
  NewScope,
  Advance,
  AdvanceLong,
  HonestLoad,
  GiveUp,
  CloseFlow,
  BackendRestart,
  ConnectionBreak,
  StreamBreak,
  Refusals,
  Sheds,
  SilentCold,
  LyingLoad,
  LateLoad,
  Hang,
  AgentPause,
  AgentRestart,
  StoreOut,
  StoreIn,
  DrainOn,
  DrainOff,
  BackendLeaves,
  Shutdown,
  DomainOut,
  DomainIn,
  NewConfig,
  Count
};

constexpr auto kFirstFault = static_cast<uint8_t>(Action::BackendRestart);
constexpr auto kActions = static_cast<uint8_t>(Action::Count);

using Step = BasicStep<Action>;
using Schedule = std::vector<Step>;

std::ostream&
operator<<(std::ostream& aOut, const Step& aStep);

/// Steps of ordinary traffic and, less often, faults.
rc::Gen<Schedule>
AnySchedule();

/// Ordinary traffic around the two faults, in this order.
rc::Gen<Schedule>
ScheduleWith(Action aFirst, Action aSecond);

/// A schedule with many steps of the given kinds, for showing that a checker
/// notices a missing guard.
rc::Gen<Schedule>
ScheduleOf(const std::vector<Action>& aActions);

} // namespace snipepost::matrix
