#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <snipepost/Base/Types.h>
#include <snipepost/Cluster/GossipCore.h>
#include <snipepost/Flow/Packet.h>

namespace snipepost::flow {

/// A SYN that waits at the agent for a slot of the backend server.
struct WaitingFlow
{
  FlowTuple mFlow;
  uint32_t mCallerSequence = 0;
  /// The entry instance that offered the flow.
  cluster::NodeIp mEntry;
  /// 0 is the most urgent.
  uint32_t mPriority = 0;
  bool mIdempotent = true;
  /// Time of the first SYN plus the target latency.
  Instant mDeadline;
  /// An idempotent flow is queued only if its response is expected by then.
  Instant mResponseLimit;
  /// When the flow must be refused because the caller is about to abandon the
  /// attempt.
  Instant mExpires;
  /// Expected time that the request occupies a slot.
  Duration mSlotTime{};
  /// Expected time from leaving the queue until the response, with a margin.
  Duration mTimeToResponse{};
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

  /// What determines the position of a flow in the queue.
  struct Order
  {
    uint32_t mPriority = 0;
    Instant mDeadline;
    Duration mTimeToResponse{};
  };

  /// Adds a flow that is not in the queue. A full queue evicts and returns the
  /// flow that would leave last, which may be aFlow. The guaranteed turns count
  /// in this, so that they also have an effect in a full queue.
  std::optional<WaitingFlow> Push(WaitingFlow aFlow, Instant aNow);

  /// Removes and returns the next flow. Expired flows are left for
  /// TakeRefused().
  std::optional<WaitingFlow> Pop(Instant aNow);

  /// Removes and returns the flows that must be refused now: expired ones, and
  /// late idempotent ones if a flow waits that can be in time, or if the queue
  /// is full.
  std::vector<WaitingFlow> TakeRefused(Instant aNow);

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

  /// Removes and returns a flow of mFlows.
  WaitingFlow Take(const WaitingFlow* aFlow);
  /// The flow that would leave last; mFlows must not be empty.
  const WaitingFlow* LeavesLast(Instant aNow) const;

  /// In order of arrival.
  Flows mFlows;
  /// Flows that left while several priorities waited, since the last guaranteed
  /// turn.
  uint32_t mSinceGuaranteed = 0;
};

} // namespace snipepost::flow
