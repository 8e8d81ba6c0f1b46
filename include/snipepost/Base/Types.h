#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace snipepost {

/// A value whose type differs from others with the same representation. Tag is
/// an empty type that only makes each alias a distinct type.
template<typename Tag, typename Rep>
class StrongType
{
public:
  using Representation = Rep;

  constexpr StrongType() = default;
  constexpr explicit StrongType(Rep aValue)
    : mValue(std::move(aValue))
  {
  }

  constexpr const Rep& Value() const { return mValue; }

  auto operator<=>(const StrongType&) const = default;

private:
  Rep mValue{};
};

/// Number of a service, unique within a deployment's document.
using ServiceId = StrongType<struct ServiceIdTag, uint16_t>;

/// Number of a failure domain, unique within a deployment's document.
using DomainId = StrongType<struct DomainIdTag, uint8_t>;

/// Identifies one run of an agent and the backend server behind it. A restarted
/// process announces a higher value, so that late actions of an earlier
/// incarnation can be detected. Connection IDs contain the low 16 bits.
using Incarnation = StrongType<struct IncarnationTag, uint64_t>;

/// Position of a document in the order of accepted documents.
using Generation = StrongType<struct GenerationTag, uint64_t>;

/// Identifies one submission of a document; used to find out whether a
/// submission took effect when its response was lost.
using SubmissionId = StrongType<struct SubmissionIdTag, std::string>;

/// Version that the platform's object API assigns to an object.
using ObjectVersion = StrongType<struct ObjectVersionTag, uint64_t>;

/// Hash that is equal for all packets of one flow that carry no connection ID
/// issued by an agent.
using FlowKey = StrongType<struct FlowKeyTag, uint64_t>;

/// Length of time in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// Clock type of Instant. It has no now(), because code that uses it receives
/// the time as a parameter.
struct MonotonicClock
{
  using rep = int64_t;
  using period = std::nano;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

/// A point in monotonic time, in nanoseconds from an arbitrary origin that is
/// fixed within a process.
using Instant = MonotonicClock::time_point;

/// Calendar time in whole seconds since the Unix epoch.
using WallTime = std::chrono::sys_seconds;

} // namespace snipepost

/// Hashes a strong type as its representation.
template<typename Tag, typename Rep>
struct std::hash<snipepost::StrongType<Tag, Rep>>
{
  size_t operator()(
    const snipepost::StrongType<Tag, Rep>& aValue) const noexcept
  {
    return std::hash<Rep>{}(aValue.Value());
  }
};
