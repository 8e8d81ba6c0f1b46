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

/// Bounded queue. Within a class the earliest deadline goes first (Liu and
/// Layland, 1973). Between classes the most urgent one goes first, but queries
/// and bulk have a guaranteed share of slot time while they wait, by deficit
/// counters (Shreedhar and Varghese, SIGCOMM 1995): each request that is taken
/// credits every waiting class with its share of the slot time of that request,
/// and a class whose credit covers one of its own requests goes next. Credit is
/// spent by requests of the class, also by those that went in order of urgency,
/// and lost when nothing of the class waits. Slot time is the measured mean of
/// the class.
///
/// Queries and bulk are also guaranteed an eighth of the places each, at least
/// one in a queue of 4 or more. Any class may use places that others leave.
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
  /// A full queue has room for an entry that Push() would let displace one of
  /// another class. The order is estimated from what waits now; later arrivals
  /// are left out.
  std::optional<Refusal> Check(const Entry& aEntry,
                               uint32_t aLimit,
                               uint32_t aInFlight,
                               const ServiceTime& aTimes,
                               Instant aNow) const;

  /// Adds the entry. When the queue is full, returns the entry that lost its
  /// place: the last one of the least urgent class that has more than its
  /// guaranteed places, which may be the new one.
  std::optional<Entry> Push(const Entry& aEntry);

  /// Takes the first entry; bulk entries only when aBulkAllowed. Bulk earns no
  /// credit while it isn't allowed, since it then holds its slots. Without
  /// aBulkShareApplies bulk goes only when nothing more urgent waits.
  std::optional<Entry> Pop(bool aBulkAllowed, bool aBulkShareApplies = true);

  /// Takes the time for which a request held its slot, whatever its outcome.
  void RecordSlotTime(RequestClass aClass, Duration aTime)
  {
    mSlotTimes.Record(aClass, aTime);
  }

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
  Duration& CreditOf(RequestClass aClass);
  Duration CreditOf(RequestClass aClass) const;
  Entry Take(RequestClass aClass, Line::iterator aPlace);
  bool MayRun(RequestClass aClass, bool aBulkAllowed) const;
  static bool HasShare(RequestClass aClass, bool aBulkShareApplies);
  std::optional<RequestClass> NextClass(bool aBulkAllowed,
                                        bool aBulkShareApplies) const;
  void Charge(RequestClass aTaken, bool aBulkAllowed, bool aBulkShareApplies);
  Duration SlotTime(RequestClass aClass) const;
  /// The least urgent class above its guaranteed places once aAdded has one
  /// more entry.
  RequestClass Displaced(std::optional<RequestClass> aAdded) const;
  size_t GuaranteedPlaces(RequestClass aClass) const;
  Duration WorkAhead(const Entry& aEntry, const ServiceTime& aTimes) const;
  Duration EstimatedTime(const Entry& aEntry,
                         uint32_t aLimit,
                         uint32_t aInFlight,
                         const ServiceTime& aTimes) const;

  size_t mCapacity;
  std::array<Line, 3> mLines;
  std::array<Duration, 3> mCredits{};
  ServiceTime mSlotTimes;
  std::map<RequestId, std::pair<RequestClass, Instant>> mPlaces;
};

} // namespace snipepost
