#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace snipepost {

/// A value that can't be mixed up with another of the same representation.
/// Tag is an empty type that only distinguishes one alias from the next.
template<typename Tag, typename Rep>
class Strong
{
public:
  using Representation = Rep;

  constexpr Strong() = default;
  constexpr explicit Strong(Rep aValue)
    : mValue(std::move(aValue))
  {
  }

  constexpr const Rep& Value() const { return mValue; }

  auto operator<=>(const Strong&) const = default;

private:
  Rep mValue{};
};

/// Number of a service, unique within a deployment's document.
using ServiceId = Strong<struct ServiceIdTag, uint16_t>;

/// Number of a failure domain, unique within a deployment's document.
using DomainId = Strong<struct DomainIdTag, uint8_t>;

/// One life of an agent and of the backend server behind it. A restarted
/// process announces a greater one, so late actions of an earlier life can be
/// told apart. Connection ids carry the low 16 bits.
using Incarnation = Strong<struct IncarnationTag, uint64_t>;

/// Position of a document in the order of accepted documents.
using Generation = Strong<struct GenerationTag, uint64_t>;

/// Identifies one submission of a document; settles a lost answer.
using SubmissionId = Strong<struct SubmissionIdTag, std::string>;

/// Version that the platform's object API gives to an object.
using ObjectVersion = Strong<struct ObjectVersionTag, uint64_t>;

/// Hash that is equal for all packets of one flow that carry no issued id.
using FlowKey = Strong<struct FlowKeyTag, uint64_t>;

/// Length of time in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// Clock type of Instant. It has no now(): pure code is given the time.
struct MonotonicClock
{
  using rep = int64_t;
  using period = std::nano;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

/// A point in monotonic time, in nanoseconds from an arbitrary origin that is
/// the same for one process.
using Instant = MonotonicClock::time_point;

/// Calendar time in whole seconds since the Unix epoch.
using WallTime = std::chrono::sys_seconds;

} // namespace snipepost

/// Hashes a strong type as its representation.
template<typename Tag, typename Rep>
struct std::hash<snipepost::Strong<Tag, Rep>>
{
  size_t operator()(const snipepost::Strong<Tag, Rep>& aValue) const noexcept
  {
    return std::hash<Rep>{}(aValue.Value());
  }
};
