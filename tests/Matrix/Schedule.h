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
  /// A caller sends a request whose key another agent issued.
  RelayedKey,
  /// Another agent relays a request to this agent.
  RelayedIn,
  /// The agent issues a new key scope.
  NewScope,
  Advance,
  AdvanceLong,
  /// The backend server reports its actual load.
  HonestLoad,
  /// A caller cancels a request.
  GiveUp,
  CloseFlow,
  BackendRestart,
  ConnectionBreak,
  StreamBreak,
  /// The backend server refuses the next requests.
  Refusals,
  /// The backend server sheds the next requests.
  Sheds,
  /// The backend server turns cold without any event that the agent can see.
  SilentCold,
  /// A load report with wrong values arrives.
  LyingLoad,
  /// A load report of the previous incarnation of the backend server arrives.
  LateLoad,
  /// mFirst selects whether the backend server responds to new requests from
  /// now on.
  Hang,
  /// The agent process handles no events for some time.
  AgentPause,
  AgentRestart,
  /// The store goes down; mFirst selects whether entry instances confirm the
  /// lease.
  StoreOut,
  /// The store is available again.
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

constexpr auto kFirstFaultOrChange =
  static_cast<uint8_t>(Action::BackendRestart);
constexpr auto kActions = static_cast<uint8_t>(Action::Count);

using Step = BasicStep<Action>;
using Schedule = std::vector<Step>;

std::ostream&
operator<<(std::ostream& aOut, const Step& aStep);

/// Generates steps of ordinary traffic and, less often, faults and planned
/// changes.
rc::Gen<Schedule>
AnySchedule();

/// Generates ordinary traffic before, between and after the two steps.
rc::Gen<Schedule>
ScheduleWith(Action aFirst, Action aSecond);

/// Generates schedules with many steps of the given kinds, to verify that a
/// checker detects a disabled safeguard.
rc::Gen<Schedule>
ScheduleOf(const std::vector<Action>& aActions);

} // namespace snipepost::matrix
