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

/// Bounded priority queue. Within a class, the request with the earliest
/// deadline goes first (Liu and Layland, 1973). Between classes, the one with
/// the highest priority goes first, but queries and bulk have a guaranteed
/// share of slot time while requests of the class are queued. The shares are
/// implemented with deficit counters (Shreedhar and Varghese, SIGCOMM 1995):
/// each dequeued request adds the share of its slot time to the credit of every
/// class with queued requests, and a class whose credit covers one of its own
/// requests goes next. Every dequeued request of a class is deducted from the
/// credit of the class, also when it was dequeued by priority. The credit is
/// reset when the queue of the class becomes empty. The slot time is the
/// measured mean of the class.
///
/// Queries and bulk are also guaranteed an eighth of the capacity each, at
/// least one entry in a queue of 4 or more. Any class may use the unused
/// capacity of others.
class RequestQueue
{
public:
  struct Entry
  {
    RequestId mRequest{};
    RequestClass mClass = RequestClass::Query;
    Instant mDeadline{};
  };

  /// Why an entry can't be queued.
  enum class Rejection : uint8_t
  {
    Full,
    DeadlineTooShort
  };

  explicit RequestQueue(size_t aCapacity)
    : mCapacity(aCapacity)
  {
  }

  void Configure(size_t aCapacity) { mCapacity = aCapacity; }

  /// Whether the entry must be rejected because the queue is full or the
  /// response would miss the deadline. The response time is estimated from the
  /// limit of concurrent requests, the number in progress, the measured service
  /// times and the queued entries; later arrivals are not considered. With an
  /// empty queue and a free slot no estimate is made. A full queue accepts an
  /// entry for which Push() would evict one of another class.
  std::optional<Rejection> Check(const Entry& aEntry,
                                 uint32_t aLimit,
                                 uint32_t aInFlight,
                                 const ServiceTime& aTimes,
                                 Instant aNow) const;

  /// Adds the entry. When the queue is full, returns the evicted entry: the one
  /// with the latest deadline in the lowest-priority class above its guaranteed
  /// capacity, which may be the new one.
  std::optional<Entry> Push(const Entry& aEntry);

  /// Dequeues the next entry; bulk entries only when aBulkAllowed. While bulk
  /// isn't allowed it receives no credit, since it then uses all of its slots.
  /// Without aBulkShareApplies bulk is dequeued only when no other class has
  /// entries.
  std::optional<Entry> Pop(bool aBulkAllowed, bool aBulkShareApplies = true);

  /// Records for how long a request occupied its slot, whatever its outcome.
  void RecordSlotTime(RequestClass aClass, Duration aTime)
  {
    mSlotTimes.Record(aClass, aTime);
  }

  /// Removes an entry; returns false when it isn't queued.
  bool Remove(RequestId aRequest);

  /// Removes and returns all entries whose deadline is at or before aNow.
  std::vector<Entry> TakeExpired(Instant aNow);

  /// Removes and returns all entries.
  std::vector<Entry> TakeAll();

  std::optional<Instant> EarliestDeadline() const;
  size_t Count() const { return mEntries.size(); }

private:
  using QueuePosition = std::pair<Instant, RequestId>;
  using ClassQueue = std::set<QueuePosition>;

  ClassQueue& QueueOf(RequestClass aClass);
  const ClassQueue& QueueOf(RequestClass aClass) const;
  Duration& CreditOf(RequestClass aClass);
  Duration CreditOf(RequestClass aClass) const;
  Entry Take(RequestClass aClass, ClassQueue::iterator aPosition);
  bool MayRun(RequestClass aClass, bool aBulkAllowed) const;
  static bool HasShare(RequestClass aClass, bool aBulkShareApplies);
  std::optional<RequestClass> NextClass(bool aBulkAllowed,
                                        bool aBulkShareApplies) const;
  void UpdateCredits(RequestClass aServed,
                     bool aBulkAllowed,
                     bool aBulkShareApplies);
  Duration SlotTime(RequestClass aClass) const;
  /// The lowest-priority class above its guaranteed capacity, counting one more
  /// entry for aAdded.
  RequestClass ClassToEvict(std::optional<RequestClass> aAdded) const;
  size_t GuaranteedCapacity(RequestClass aClass) const;
  Duration WorkAhead(const Entry& aEntry, const ServiceTime& aTimes) const;
  Duration EstimatedResponseTime(const Entry& aEntry,
                                 uint32_t aLimit,
                                 uint32_t aInFlight,
                                 const ServiceTime& aTimes) const;

  size_t mCapacity;
  std::array<ClassQueue, 3> mQueues;
  std::array<Duration, 3> mCredits{};
  ServiceTime mSlotTimes;
  std::map<RequestId, std::pair<RequestClass, Instant>> mEntries;
};

} // namespace snipepost
