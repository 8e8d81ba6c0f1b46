#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <snipepost/Base/Types.h>
#include <snipepost/Cluster/GossipCore.h>
#include <snipepost/Flow/Packet.h>
#include <snipepost/Flow/QueueOrder.h>

namespace snipepost::flow {

/// A SYN that waits at the agent for a slot of the backend server. Its deadline
/// counts from the first SYN; it expires when the caller is about to abandon
/// the attempt, and must be refused then.
struct WaitingFlow : QueueEntry
{
  FlowTuple mFlow;
  uint32_t mCallerSequence = 0;
  /// The entry instance that offered the flow.
  cluster::NodeIp mEntry;
  /// An idempotent flow is queued only if its response is expected by then.
  Instant mResponseLimit;
  /// The packet as it is forwarded to the backend server.
  std::vector<uint8_t> mBytes;
};

/// Bounded queue of new flows. The order is that of the priorities and, within
/// a priority, earliest deadline first; equal deadlines are in order of
/// arrival. A flow is late when now + time to response > deadline. Late flows
/// are ordered after all others, idempotent ones last, because only a caller
/// whose request is not idempotent still depends on this attempt.
///
/// To prevent starvation, every eighth flow that leaves while more than one
/// priority waits is taken from the least urgent of them, but not a late
/// idempotent one. When that priority has no other flow, the turn is kept.
///
/// Nothing has been forwarded of a flow that was evicted or refused.
class FlowQueue
{
public:
  static constexpr size_t kCapacity = 64;

  using Order = QueuePosition;

  /// Adds a flow that is not in the queue. A full queue evicts and returns the
  /// flow that would leave last, which may be aFlow. The guaranteed turns count
  /// in this, so that they also have an effect in a full queue.
  std::optional<WaitingFlow> Push(WaitingFlow aFlow, Instant aNow);

  /// Removes and returns the next flow. Expired flows are left for
  /// TakeRefused().
  std::optional<WaitingFlow> Pop(Instant aNow);

  /// Removes and returns the flows that must be refused now: expired ones, and
  /// late idempotent ones if a flow waits that can be in time, or if the queue
  /// is full. aOthersInTime: a request that can be in time waits beside the
  /// queue.
  std::vector<WaitingFlow> TakeRefused(Instant aNow,
                                       bool aOthersInTime = false);

  /// Appends the flows that have not expired. The pointers are valid until the
  /// queue is changed.
  void Append(QueueEntries& aEntries, Instant aNow) const;
  /// Removes and returns a flow that Append() has added.
  WaitingFlow Take(const QueueEntry* aFlow);
  /// The order in which flows leave, shared with those that wait beside them.
  QueueOrder& SharedOrder() { return mOrder; }

  /// Removes and returns all flows, in order of arrival.
  std::vector<WaitingFlow> TakeAll();

  /// The flow, or null. The pointer is valid until the queue is changed.
  WaitingFlow* Find(const FlowTuple& aFlow);

  /// Removes a flow; returns false when it isn't queued.
  bool Remove(const FlowTuple& aFlow);

  /// Expected wait of a flow that would be added with aOrder at a server with
  /// aSlots slots: the sum of the slot times of the flows ahead, divided by the
  /// slots. Requests at the server, later arrivals and the guaranteed turns
  /// are not considered. If aOrder is late, the flow is
  /// assumed not to be idempotent.
  Duration WaitAhead(const Order& aOrder, uint32_t aSlots, Instant aNow) const;

  /// When the next flow expires.
  std::optional<Instant> NextExpiry() const;

  size_t Size() const { return mFlows.size(); }

private:
  using Flows = std::vector<WaitingFlow>;

  /// In order of arrival.
  Flows mFlows;
  QueueOrder mOrder;
};

} // namespace snipepost::flow
