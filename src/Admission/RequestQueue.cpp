#include <snipepost/Admission/RequestQueue.h>

#include <algorithm>

namespace snipepost {

namespace {

constexpr std::array kClassesByPriority{ RequestClass::Submission,
                                         RequestClass::Query,
                                         RequestClass::Bulk };

/// Guaranteed shares of slot time by class; submissions get the rest. A query
/// takes about a quarter of the time of a submission, so that 15 % of the slot
/// time runs as many queries as 60 % runs submissions. With this share, the
/// rate of responses stays near its peak at three times the load that the
/// backend servers can handle. Bulk may be delayed, so its share only has to be
/// above zero.
constexpr std::array kGuaranteedShares{ 0.0, 0.15, 0.03 };
constexpr double kSubmissionShare =
  1.0 - kGuaranteedShares[1] - kGuaranteedShares[2];

/// Smallest capacity at which queries and bulk have guaranteed capacity and
/// some is left for submissions.
constexpr size_t kMinGuaranteeCapacity = 4;
constexpr size_t kGuaranteeDivisor = 8;

/// Slot time of every class before the first measurement.
constexpr Duration kDefaultSlotTime = std::chrono::milliseconds(1);

constexpr double
ShareOf(RequestClass aClass)
{
  return kGuaranteedShares[static_cast<size_t>(aClass)];
}

Duration
Scaled(Duration aTime, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aTime * aFactor);
}

} // namespace

RequestQueue::ClassQueue&
RequestQueue::QueueOf(RequestClass aClass)
{
  return mQueues[static_cast<size_t>(aClass)];
}

const RequestQueue::ClassQueue&
RequestQueue::QueueOf(RequestClass aClass) const
{
  return mQueues[static_cast<size_t>(aClass)];
}

Duration&
RequestQueue::CreditOf(RequestClass aClass)
{
  return mCredits[static_cast<size_t>(aClass)];
}

Duration
RequestQueue::CreditOf(RequestClass aClass) const
{
  return mCredits[static_cast<size_t>(aClass)];
}

Duration
RequestQueue::SlotTime(RequestClass aClass) const
{
  if (const Duration own = mSlotTimes.Mean(aClass); own > Duration::zero()) {
    return own;
  }
  // The longest mean of the other classes: with a time that is too short, a
  // class without measurements would exceed its share.
  Duration longest{};
  for (const RequestClass each : kClassesByPriority) {
    longest = std::max(longest, mSlotTimes.Mean(each));
  }
  return longest > Duration::zero() ? longest : kDefaultSlotTime;
}

Duration
RequestQueue::WorkAhead(const Entry& aEntry, const ServiceTime& aTimes) const
{
  const RequestClass own = aEntry.mClass;
  const auto ahead =
    std::distance(QueueOf(own).begin(),
                  QueueOf(own).lower_bound({ aEntry.mDeadline, RequestId() }));
  const Duration ownWork = aTimes.Mean(own) * ahead;
  Duration work = ownWork;
  for (const RequestClass each : kClassesByPriority) {
    if (each < own) {
      work += aTimes.Mean(each) * QueueOf(each).size();
    }
  }
  if (ShareOf(own) > 0) {
    // Slot time after which the credit of the class covers this entry and those
    // ahead of it. Without this bound, entries would be rejected although the
    // guaranteed share serves them in time.
    const Duration missingCredit = SlotTime(own) * (ahead + 1) - CreditOf(own);
    const Duration slotTimeUntilTurn = Scaled(missingCredit, 1 / ShareOf(own));
    work = std::min(work, std::max(slotTimeUntilTurn, ownWork));
  }
  // Requests of lower-priority classes that go first because of their share.
  Duration earlierWork{};
  for (const RequestClass each : kClassesByPriority) {
    if (each > own) {
      const Duration credit =
        CreditOf(each) + Scaled(work, ShareOf(each) / kSubmissionShare);
      const auto requests = static_cast<size_t>(credit / SlotTime(each));
      earlierWork +=
        aTimes.Mean(each) * std::min(requests, QueueOf(each).size());
    }
  }
  return work + earlierWork;
}

Duration
RequestQueue::EstimatedResponseTime(const Entry& aEntry,
                                    uint32_t aLimit,
                                    uint32_t aInFlight,
                                    const ServiceTime& aTimes) const
{
  Duration work = WorkAhead(aEntry, aTimes);
  if (aInFlight >= aLimit) {
    // On average, half of the service time of a request in progress remains.
    work += aTimes.Mean(aEntry.mClass) * aInFlight / 2;
  }
  return work / std::max(aLimit, 1U) + aTimes.Mean(aEntry.mClass);
}

std::optional<RequestQueue::Rejection>
RequestQueue::Check(const Entry& aEntry,
                    uint32_t aLimit,
                    uint32_t aInFlight,
                    const ServiceTime& aTimes,
                    Instant aNow) const
{
  if (aEntry.mDeadline <= aNow) {
    return Rejection::DeadlineTooShort;
  }
  // A request that can start at once is never rejected because of an estimate:
  // after a few long responses have raised the mean, only requests that run can
  // lower it again.
  const bool canStartNow = Count() == 0 && aInFlight < aLimit;
  if (!canStartNow && EstimatedResponseTime(aEntry, aLimit, aInFlight, aTimes) >
                        aEntry.mDeadline - aNow) {
    return Rejection::DeadlineTooShort;
  }
  if (Count() < mCapacity) {
    return std::nullopt;
  }
  return ClassToEvict(aEntry.mClass) == aEntry.mClass
           ? std::optional(Rejection::Full)
           : std::nullopt;
}

size_t
RequestQueue::GuaranteedCapacity(RequestClass aClass) const
{
  if (mCapacity < kMinGuaranteeCapacity) {
    return 0;
  }
  const size_t guaranteed = std::max<size_t>(1, mCapacity / kGuaranteeDivisor);
  return aClass == RequestClass::Submission ? mCapacity - 2 * guaranteed
                                            : guaranteed;
}

RequestClass
RequestQueue::ClassToEvict(std::optional<RequestClass> aAdded) const
{
  for (auto last = kClassesByPriority.rbegin();
       last != kClassesByPriority.rend();
       ++last) {
    const size_t count = QueueOf(*last).size() + (aAdded == *last ? 1 : 0);
    if (count > GuaranteedCapacity(*last)) {
      return *last;
    }
  }
  // Not reached: the guaranteed capacities don't exceed the total capacity.
  return RequestClass::Submission;
}

std::optional<RequestQueue::Entry>
RequestQueue::Push(const Entry& aEntry)
{
  QueueOf(aEntry.mClass).emplace(aEntry.mDeadline, aEntry.mRequest);
  mEntries[aEntry.mRequest] = { aEntry.mClass, aEntry.mDeadline };
  if (Count() <= mCapacity) {
    return std::nullopt;
  }
  const RequestClass evictedFrom = ClassToEvict(std::nullopt);
  return Take(evictedFrom, std::prev(QueueOf(evictedFrom).end()));
}

bool
RequestQueue::MayRun(RequestClass aClass, bool aBulkAllowed) const
{
  return !QueueOf(aClass).empty() &&
         (aClass != RequestClass::Bulk || aBulkAllowed);
}

bool
RequestQueue::HasShare(RequestClass aClass, bool aBulkShareApplies)
{
  return ShareOf(aClass) > 0 &&
         (aClass != RequestClass::Bulk || aBulkShareApplies);
}

std::optional<RequestClass>
RequestQueue::NextClass(bool aBulkAllowed, bool aBulkShareApplies) const
{
  std::optional<RequestClass> highestPriority;
  for (const RequestClass each : kClassesByPriority) {
    if (!MayRun(each, aBulkAllowed)) {
      continue;
    }
    if (HasShare(each, aBulkShareApplies) && CreditOf(each) >= SlotTime(each)) {
      return each;
    }
    highestPriority = highestPriority.value_or(each);
  }
  return highestPriority;
}

void
RequestQueue::UpdateCredits(RequestClass aServed,
                            bool aBulkAllowed,
                            bool aBulkShareApplies)
{
  const Duration time = SlotTime(aServed);
  for (const RequestClass each : kClassesByPriority) {
    if (MayRun(each, aBulkAllowed) && HasShare(each, aBulkShareApplies)) {
      CreditOf(each) += Scaled(time, ShareOf(each));
    }
  }
  CreditOf(aServed) = std::max(CreditOf(aServed) - time, Duration::zero());
}

std::optional<RequestQueue::Entry>
RequestQueue::Pop(bool aBulkAllowed, bool aBulkShareApplies)
{
  const auto next = NextClass(aBulkAllowed, aBulkShareApplies);
  if (!next) {
    return std::nullopt;
  }
  UpdateCredits(*next, aBulkAllowed, aBulkShareApplies);
  return Take(*next, QueueOf(*next).begin());
}

RequestQueue::Entry
RequestQueue::Take(RequestClass aClass, ClassQueue::iterator aPosition)
{
  const Entry entry{ aPosition->second, aClass, aPosition->first };
  QueueOf(aClass).erase(aPosition);
  mEntries.erase(entry.mRequest);
  if (QueueOf(aClass).empty()) {
    CreditOf(aClass) = Duration::zero();
  }
  return entry;
}

bool
RequestQueue::Remove(RequestId aRequest)
{
  const auto found = mEntries.find(aRequest);
  if (found == mEntries.end()) {
    return false;
  }
  const auto [requestClass, deadline] = found->second;
  Take(requestClass, QueueOf(requestClass).find({ deadline, aRequest }));
  return true;
}

std::vector<RequestQueue::Entry>
RequestQueue::TakeExpired(Instant aNow)
{
  std::vector<Entry> expired;
  for (RequestClass each : kClassesByPriority) {
    ClassQueue& queue = QueueOf(each);
    while (!queue.empty() && queue.begin()->first <= aNow) {
      expired.push_back(Take(each, queue.begin()));
    }
  }
  return expired;
}

std::vector<RequestQueue::Entry>
RequestQueue::TakeAll()
{
  return TakeExpired(Instant::max());
}

std::optional<Instant>
RequestQueue::EarliestDeadline() const
{
  std::optional<Instant> earliest;
  for (const ClassQueue& queue : mQueues) {
    if (!queue.empty() && (!earliest || queue.begin()->first < *earliest)) {
      earliest = queue.begin()->first;
    }
  }
  return earliest;
}

} // namespace snipepost
