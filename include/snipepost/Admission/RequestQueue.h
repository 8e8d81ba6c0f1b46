#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include <snipepost/Admission/Events.h>
#include <snipepost/Admission/ServiceTime.h>

namespace snipepost {

/// Bounded queue: the most urgent class first and, within a class, the earliest
/// deadline first (Liu and Layland, 1973).
class RequestQueue
{
public:
  struct Entry
  {
    RequestId mRequest{};
    RequestClass mClass = RequestClass::Query;
    Instant mDeadline{};
  };

  /// Why an entry was not queued.
  enum class Refusal : uint8_t
  {
    Full,
    DeadlineTooShort
  };

  explicit RequestQueue(size_t aCapacity)
    : mCapacity(aCapacity)
  {
  }

  void Configure(size_t aCapacity) { mCapacity = aCapacity; }

  /// Whether the entry can neither be placed nor be answered in time, given
  /// the limit of concurrent requests, the number in progress and the measured
  /// service times. With an empty queue and a free slot no estimate is made.
  /// A full queue has room for an entry of a more urgent class than its last
  /// one.
  std::optional<Refusal> Check(const Entry& aEntry,
                               uint32_t aLimit,
                               uint32_t aInFlight,
                               const ServiceTime& aTimes,
                               Instant aNow) const;

  /// Adds the entry. When the queue is full, returns the entry that lost its
  /// place: the last one of the least urgent class, which may be the new one.
  std::optional<Entry> Push(const Entry& aEntry);

  /// Takes the first entry; bulk entries only when aBulkAllowed.
  std::optional<Entry> Pop(bool aBulkAllowed);

  /// Removes an entry; false when it isn't queued.
  bool Remove(RequestId aRequest);

  /// Removes and returns all entries whose deadline is at or before aNow.
  std::vector<Entry> TakeExpired(Instant aNow);

  /// Removes and returns all entries.
  std::vector<Entry> TakeAll();

  std::optional<Instant> EarliestDeadline() const;
  size_t Count() const { return mPlaces.size(); }

private:
  using Place = std::pair<Instant, RequestId>;
  using Line = std::set<Place>;

  Line& LineOf(RequestClass aClass);
  const Line& LineOf(RequestClass aClass) const;
  Entry Take(RequestClass aClass, Line::iterator aPlace);
  Duration EstimatedTime(const Entry& aEntry,
                         uint32_t aLimit,
                         uint32_t aInFlight,
                         const ServiceTime& aTimes) const;

  size_t mCapacity;
  std::array<Line, 3> mLines;
  std::map<RequestId, std::pair<RequestClass, Instant>> mPlaces;
};

} // namespace snipepost
