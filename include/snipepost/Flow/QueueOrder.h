#pragma once

#include <cstdint>
#include <vector>

#include <snipepost/Base/Types.h>

namespace snipepost::flow {

/// What determines the position of a new flow or a request that waits at the
/// agent.
struct QueueEntry
{
  /// 0 is the most urgent.
  uint32_t mPriority = 0;
  bool mIdempotent = true;
  /// Arrival plus the target latency.
  Instant mDeadline;
  /// When the entry no longer takes part in the order.
  Instant mExpires = Instant::max();
  /// Expected time that the request occupies a slot.
  Duration mSlotTime{};
  /// Expected time from leaving the queue until the response, with a margin.
  Duration mTimeToResponse{};
};

/// In the order in which entries leave the queue.
enum class QueueRank : uint8_t
{
  InTime,
  Late,
  LateIdempotent,
  Expired
};

QueueRank
RankOf(const QueueEntry& aEntry, Instant aNow);

/// Entries in order of arrival.
using QueueEntries = std::vector<const QueueEntry*>;

/// The entry that is first by rank, priority and deadline, without guaranteed
/// turns; of equal ones the first in aEntries. Null when aEntries is empty.
const QueueEntry*
FirstInOrder(const QueueEntries& aEntries, Instant aNow);

/// Position of a flow that would be added. If it is late, the flow is assumed
/// not to be idempotent.
struct QueuePosition
{
  uint32_t mPriority = 0;
  Instant mDeadline;
  Duration mTimeToResponse{};
};

/// Whether aEntry, which waits, leaves before a flow that would be added. The
/// guaranteed turns are not considered.
bool
GoesBefore(const QueueEntry& aEntry, const QueuePosition& aAdded, Instant aNow);

/// The order in which new flows and waiting requests leave; see FlowQueue. Does
/// not own the entries.
class QueueOrder
{
public:
  /// The entry that leaves next, which is counted as left; null when aEntries
  /// is empty.
  const QueueEntry* TakeNext(const QueueEntries& aEntries, Instant aNow);
  /// The entry that would leave last; aEntries must not be empty.
  const QueueEntry* Last(QueueEntries aEntries, Instant aNow) const;

private:
  /// Entries that left while several priorities waited, since the last
  /// guaranteed turn.
  uint32_t mSinceGuaranteed = 0;
};

} // namespace snipepost::flow
