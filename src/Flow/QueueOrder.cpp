#include <snipepost/Flow/QueueOrder.h>

#include <algorithm>
#include <tuple>

namespace snipepost::flow {

namespace {

/// One of this many entries is taken from the least urgent priority.
constexpr uint32_t kGuaranteedInterval = 8;

using Position = std::tuple<QueueRank, uint32_t, Instant>;

bool
IsLate(Instant aDeadline, Duration aTimeToResponse, Instant aNow)
{
  return aNow + aTimeToResponse > aDeadline;
}

Position
PositionOf(const QueueEntry& aEntry, Instant aNow)
{
  return { RankOf(aEntry, aNow), aEntry.mPriority, aEntry.mDeadline };
}

bool
SeveralPriorities(const QueueEntries& aEntries)
{
  return std::any_of(aEntries.begin(), aEntries.end(), [&](const auto* aEntry) {
    return aEntry->mPriority != aEntries.front()->mPriority;
  });
}

/// The entry that a guaranteed turn takes, or null. A late idempotent one does
/// not take the slot that an urgent one would otherwise get.
const QueueEntry*
GuaranteedEntry(const QueueEntries& aEntries, Instant aNow)
{
  uint32_t leastUrgent = 0;
  for (const QueueEntry* entry : aEntries) {
    leastUrgent = std::max(leastUrgent, entry->mPriority);
  }
  QueueEntries eligible;
  for (const QueueEntry* entry : aEntries) {
    if (entry->mPriority == leastUrgent &&
        RankOf(*entry, aNow) <= QueueRank::Late) {
      eligible.push_back(entry);
    }
  }
  return FirstInOrder(eligible, aNow);
}

} // namespace

QueueRank
RankOf(const QueueEntry& aEntry, Instant aNow)
{
  if (aEntry.mExpires <= aNow) {
    return QueueRank::Expired;
  }
  if (!IsLate(aEntry.mDeadline, aEntry.mTimeToResponse, aNow)) {
    return QueueRank::InTime;
  }
  return aEntry.mIdempotent ? QueueRank::LateIdempotent : QueueRank::Late;
}

const QueueEntry*
FirstInOrder(const QueueEntries& aEntries, Instant aNow)
{
  const auto first = std::min_element(
    aEntries.begin(),
    aEntries.end(),
    [aNow](const auto* aLeft, const auto* aRight) {
      return PositionOf(*aLeft, aNow) < PositionOf(*aRight, aNow);
    });
  return first == aEntries.end() ? nullptr : *first;
}

bool
GoesBefore(const QueueEntry& aEntry, const QueuePosition& aAdded, Instant aNow)
{
  const QueueRank rank = IsLate(aAdded.mDeadline, aAdded.mTimeToResponse, aNow)
                           ? QueueRank::Late
                           : QueueRank::InTime;
  // Of equal positions, those that already wait go first.
  return PositionOf(aEntry, aNow) <=
         Position{ rank, aAdded.mPriority, aAdded.mDeadline };
}

const QueueEntry*
QueueOrder::TakeNext(const QueueEntries& aEntries, Instant aNow)
{
  if (!SeveralPriorities(aEntries)) {
    return FirstInOrder(aEntries, aNow);
  }
  if (mSinceGuaranteed + 1 < kGuaranteedInterval) {
    ++mSinceGuaranteed;
    return FirstInOrder(aEntries, aNow);
  }
  if (const QueueEntry* guaranteed = GuaranteedEntry(aEntries, aNow)) {
    mSinceGuaranteed = 0;
    return guaranteed;
  }
  return FirstInOrder(aEntries, aNow);
}

const QueueEntry*
QueueOrder::Last(QueueEntries aEntries, Instant aNow) const
{
  QueueOrder order = *this;
  while (aEntries.size() > 1) {
    std::erase(aEntries, order.TakeNext(aEntries, aNow));
  }
  return aEntries.front();
}

} // namespace snipepost::flow
