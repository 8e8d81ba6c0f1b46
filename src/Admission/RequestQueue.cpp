#include <snipepost/Admission/RequestQueue.h>

#include <algorithm>

namespace snipepost {

namespace {

constexpr std::array kUrgentFirst{ RequestClass::Submission,
                                   RequestClass::Query,
                                   RequestClass::Bulk };

/// Guaranteed shares of slot time by class; submissions get the rest. With
/// queries a quarter as long as submissions, 15 % runs about as many queries as
/// 60 % runs submissions, which keeps the requests answered per second near
/// their peak at three times capacity. Bulk may wait, so its share only has to
/// be more than nothing.
constexpr std::array kShares{ 0.0, 0.15, 0.03 };
constexpr double kRest = 1.0 - kShares[1] - kShares[2];

/// Smallest capacity that leaves places to submissions beside the guaranteed
/// ones.
constexpr size_t kLeastForGuarantee = 4;
constexpr size_t kGuaranteedPart = 8;

/// Stands for the slot time of every class before the first measurement.
constexpr Duration kUnmeasured = std::chrono::milliseconds(1);

constexpr double
ShareOf(RequestClass aClass)
{
  return kShares[static_cast<size_t>(aClass)];
}

Duration
Scaled(Duration aTime, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aTime * aFactor);
}

} // namespace

RequestQueue::Line&
RequestQueue::LineOf(RequestClass aClass)
{
  return mLines[static_cast<size_t>(aClass)];
}

const RequestQueue::Line&
RequestQueue::LineOf(RequestClass aClass) const
{
  return mLines[static_cast<size_t>(aClass)];
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
  // The longest mean, so that a class without results earns no more requests
  // than the others.
  Duration longest{};
  for (const RequestClass each : kUrgentFirst) {
    longest = std::max(longest, mSlotTimes.Mean(each));
  }
  return longest > Duration::zero() ? longest : kUnmeasured;
}

Duration
RequestQueue::WorkAhead(const Entry& aEntry, const ServiceTime& aTimes) const
{
  const RequestClass own = aEntry.mClass;
  const auto before =
    std::distance(LineOf(own).begin(),
                  LineOf(own).lower_bound({ aEntry.mDeadline, RequestId() }));
  const Duration ownWork = aTimes.Mean(own) * before;
  Duration work = ownWork;
  for (const RequestClass each : kUrgentFirst) {
    if (each < own) {
      work += aTimes.Mean(each) * LineOf(each).size();
    }
  }
  if (ShareOf(own) > 0) {
    // Slot time after which the class has earned this entry too. Without it,
    // the entry would be refused although its turn comes in time.
    const Duration owed = SlotTime(own) * (before + 1) - CreditOf(own);
    const Duration turn = Scaled(owed, 1 / ShareOf(own));
    work = std::min(work, std::max(turn, ownWork));
  }
  // What less urgent classes earn in the meantime.
  Duration earned{};
  for (const RequestClass each : kUrgentFirst) {
    if (each > own) {
      const Duration credit =
        CreditOf(each) + Scaled(work, ShareOf(each) / kRest);
      const auto requests = static_cast<size_t>(credit / SlotTime(each));
      earned += aTimes.Mean(each) * std::min(requests, LineOf(each).size());
    }
  }
  return work + earned;
}

Duration
RequestQueue::EstimatedTime(const Entry& aEntry,
                            uint32_t aLimit,
                            uint32_t aInFlight,
                            const ServiceTime& aTimes) const
{
  Duration work = WorkAhead(aEntry, aTimes);
  if (aInFlight >= aLimit) {
    // A request in progress has half of its service time left on average.
    work += aTimes.Mean(aEntry.mClass) * aInFlight / 2;
  }
  return work / std::max(aLimit, 1U) + aTimes.Mean(aEntry.mClass);
}

std::optional<RequestQueue::Refusal>
RequestQueue::Check(const Entry& aEntry,
                    uint32_t aLimit,
                    uint32_t aInFlight,
                    const ServiceTime& aTimes,
                    Instant aNow) const
{
  if (aEntry.mDeadline <= aNow) {
    return Refusal::DeadlineTooShort;
  }
  // What can start at once is never refused by an estimate: only requests that
  // run correct a mean that a few long responses have raised.
  const bool startsAtOnce = Count() == 0 && aInFlight < aLimit;
  if (!startsAtOnce && EstimatedTime(aEntry, aLimit, aInFlight, aTimes) >
                         aEntry.mDeadline - aNow) {
    return Refusal::DeadlineTooShort;
  }
  if (Count() < mCapacity) {
    return std::nullopt;
  }
  return Displaced(aEntry.mClass) == aEntry.mClass
           ? std::optional(Refusal::Full)
           : std::nullopt;
}

size_t
RequestQueue::GuaranteedPlaces(RequestClass aClass) const
{
  if (mCapacity < kLeastForGuarantee) {
    return 0;
  }
  const size_t part = std::max<size_t>(1, mCapacity / kGuaranteedPart);
  return aClass == RequestClass::Submission ? mCapacity - 2 * part : part;
}

RequestClass
RequestQueue::Displaced(std::optional<RequestClass> aAdded) const
{
  for (auto last = kUrgentFirst.rbegin(); last != kUrgentFirst.rend(); ++last) {
    const size_t count = LineOf(*last).size() + (aAdded == *last ? 1 : 0);
    if (count > GuaranteedPlaces(*last)) {
      return *last;
    }
  }
  // Not reached: the guaranteed places are no more than the capacity.
  return RequestClass::Submission;
}

std::optional<RequestQueue::Entry>
RequestQueue::Push(const Entry& aEntry)
{
  LineOf(aEntry.mClass).emplace(aEntry.mDeadline, aEntry.mRequest);
  mPlaces[aEntry.mRequest] = { aEntry.mClass, aEntry.mDeadline };
  if (Count() <= mCapacity) {
    return std::nullopt;
  }
  const RequestClass displaced = Displaced(std::nullopt);
  return Take(displaced, std::prev(LineOf(displaced).end()));
}

bool
RequestQueue::MayRun(RequestClass aClass, bool aBulkAllowed) const
{
  return !LineOf(aClass).empty() &&
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
  std::optional<RequestClass> urgent;
  for (const RequestClass each : kUrgentFirst) {
    if (!MayRun(each, aBulkAllowed)) {
      continue;
    }
    if (HasShare(each, aBulkShareApplies) && CreditOf(each) >= SlotTime(each)) {
      return each;
    }
    urgent = urgent.value_or(each);
  }
  return urgent;
}

void
RequestQueue::Charge(RequestClass aTaken,
                     bool aBulkAllowed,
                     bool aBulkShareApplies)
{
  const Duration time = SlotTime(aTaken);
  for (const RequestClass each : kUrgentFirst) {
    if (MayRun(each, aBulkAllowed) && HasShare(each, aBulkShareApplies)) {
      CreditOf(each) += Scaled(time, ShareOf(each));
    }
  }
  CreditOf(aTaken) = std::max(CreditOf(aTaken) - time, Duration::zero());
}

std::optional<RequestQueue::Entry>
RequestQueue::Pop(bool aBulkAllowed, bool aBulkShareApplies)
{
  const auto next = NextClass(aBulkAllowed, aBulkShareApplies);
  if (!next) {
    return std::nullopt;
  }
  Charge(*next, aBulkAllowed, aBulkShareApplies);
  return Take(*next, LineOf(*next).begin());
}

RequestQueue::Entry
RequestQueue::Take(RequestClass aClass, Line::iterator aPlace)
{
  const Entry entry{ aPlace->second, aClass, aPlace->first };
  LineOf(aClass).erase(aPlace);
  mPlaces.erase(entry.mRequest);
  if (LineOf(aClass).empty()) {
    CreditOf(aClass) = Duration::zero();
  }
  return entry;
}

bool
RequestQueue::Remove(RequestId aRequest)
{
  const auto place = mPlaces.find(aRequest);
  if (place == mPlaces.end()) {
    return false;
  }
  const auto [queued, deadline] = place->second;
  Take(queued, LineOf(queued).find({ deadline, aRequest }));
  return true;
}

std::vector<RequestQueue::Entry>
RequestQueue::TakeExpired(Instant aNow)
{
  std::vector<Entry> expired;
  for (RequestClass each : kUrgentFirst) {
    Line& line = LineOf(each);
    while (!line.empty() && line.begin()->first <= aNow) {
      expired.push_back(Take(each, line.begin()));
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
  for (const Line& line : mLines) {
    if (!line.empty() && (!earliest || line.begin()->first < *earliest)) {
      earliest = line.begin()->first;
    }
  }
  return earliest;
}

} // namespace snipepost
