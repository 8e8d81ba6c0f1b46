#include <snipepost/Admission/RequestQueue.h>

#include <algorithm>

namespace snipepost {

namespace {

constexpr std::array kUrgentFirst{ RequestClass::Submission,
                                   RequestClass::Query,
                                   RequestClass::Bulk };

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

Duration
RequestQueue::EstimatedTime(const Entry& aEntry,
                            uint32_t aLimit,
                            uint32_t aInFlight,
                            const ServiceTime& aTimes) const
{
  Duration work{};
  if (aInFlight >= aLimit) {
    // A request in progress has half of its service time left on average.
    work += aTimes.Mean(aEntry.mClass) * aInFlight / 2;
  }
  for (RequestClass ahead : kUrgentFirst) {
    if (ahead > aEntry.mClass) {
      break;
    }
    const Line& line = LineOf(ahead);
    const auto end = ahead == aEntry.mClass
                       ? line.lower_bound({ aEntry.mDeadline, RequestId() })
                       : line.end();
    work += aTimes.Mean(ahead) * std::distance(line.begin(), end);
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
  const bool displaces =
    std::any_of(kUrgentFirst.begin(), kUrgentFirst.end(), [&](auto aClass) {
      return aClass > aEntry.mClass && !LineOf(aClass).empty();
    });
  return displaces ? std::nullopt : std::optional(Refusal::Full);
}

std::optional<RequestQueue::Entry>
RequestQueue::Push(const Entry& aEntry)
{
  LineOf(aEntry.mClass).emplace(aEntry.mDeadline, aEntry.mRequest);
  mPlaces[aEntry.mRequest] = { aEntry.mClass, aEntry.mDeadline };
  if (Count() <= mCapacity) {
    return std::nullopt;
  }
  for (auto last = kUrgentFirst.rbegin(); last != kUrgentFirst.rend(); ++last) {
    if (Line& line = LineOf(*last); !line.empty()) {
      return Take(*last, std::prev(line.end()));
    }
  }
  return std::nullopt;
}

std::optional<RequestQueue::Entry>
RequestQueue::Pop(bool aBulkAllowed)
{
  for (RequestClass next : kUrgentFirst) {
    if (next == RequestClass::Bulk && !aBulkAllowed) {
      continue;
    }
    if (Line& line = LineOf(next); !line.empty()) {
      return Take(next, line.begin());
    }
  }
  return std::nullopt;
}

RequestQueue::Entry
RequestQueue::Take(RequestClass aClass, Line::iterator aPlace)
{
  const Entry entry{ aPlace->second, aClass, aPlace->first };
  LineOf(aClass).erase(aPlace);
  mPlaces.erase(entry.mRequest);
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
  LineOf(queued).erase({ deadline, aRequest });
  mPlaces.erase(place);
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
