#include <snipepost/Flow/FlowQueue.h>

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace snipepost::flow {

namespace {

/// One of this many flows is taken from the least urgent priority.
constexpr uint32_t kGuaranteedInterval = 8;

/// In the order in which flows leave the queue.
enum class Rank : uint8_t
{
  InTime,
  Late,
  LateIdempotent,
  Expired
};

using Position = std::tuple<Rank, uint32_t, Instant>;

/// Flows in order of arrival.
using FlowPointers = std::vector<const WaitingFlow*>;

bool
IsLate(Instant aDeadline, Duration aServiceTime, Instant aNow)
{
  return aNow + aServiceTime > aDeadline;
}

bool
IsExpired(const WaitingFlow& aFlow, Instant aNow)
{
  return aFlow.mExpires <= aNow;
}

Rank
RankOf(const WaitingFlow& aFlow, Instant aNow)
{
  if (IsExpired(aFlow, aNow)) {
    return Rank::Expired;
  }
  if (!IsLate(aFlow.mDeadline, aFlow.mTimeToResponse, aNow)) {
    return Rank::InTime;
  }
  return aFlow.mIdempotent ? Rank::LateIdempotent : Rank::Late;
}

Position
PositionOf(const WaitingFlow& aFlow, Instant aNow)
{
  return { RankOf(aFlow, aNow), aFlow.mPriority, aFlow.mDeadline };
}

/// The flow that is first in the order, without guaranteed turns; of equal ones
/// the first to arrive. Null when aFlows is empty.
const WaitingFlow*
First(const FlowPointers& aFlows, Instant aNow)
{
  const auto first = std::min_element(
    aFlows.begin(),
    aFlows.end(),
    [aNow](const auto* aLeft, const auto* aRight) {
      return PositionOf(*aLeft, aNow) < PositionOf(*aRight, aNow);
    });
  return first == aFlows.end() ? nullptr : *first;
}

bool
SeveralPriorities(const FlowPointers& aFlows)
{
  return std::any_of(aFlows.begin(), aFlows.end(), [&](const auto* aFlow) {
    return aFlow->mPriority != aFlows.front()->mPriority;
  });
}

/// The flow that a guaranteed turn takes, or null. A late idempotent flow does
/// not take the slot that an urgent one would otherwise get.
const WaitingFlow*
GuaranteedFlow(const FlowPointers& aFlows, Instant aNow)
{
  uint32_t leastUrgent = 0;
  for (const WaitingFlow* flow : aFlows) {
    leastUrgent = std::max(leastUrgent, flow->mPriority);
  }
  FlowPointers eligible;
  for (const WaitingFlow* flow : aFlows) {
    if (flow->mPriority == leastUrgent && RankOf(*flow, aNow) <= Rank::Late) {
      eligible.push_back(flow);
    }
  }
  return First(eligible, aNow);
}

/// The next flow of aFlows, which must not be empty. Updates aSinceGuaranteed
/// as if the flow left the queue.
const WaitingFlow*
Next(const FlowPointers& aFlows, uint32_t& aSinceGuaranteed, Instant aNow)
{
  if (!SeveralPriorities(aFlows)) {
    return First(aFlows, aNow);
  }
  if (aSinceGuaranteed + 1 < kGuaranteedInterval) {
    ++aSinceGuaranteed;
    return First(aFlows, aNow);
  }
  if (const WaitingFlow* guaranteed = GuaranteedFlow(aFlows, aNow)) {
    aSinceGuaranteed = 0;
    return guaranteed;
  }
  return First(aFlows, aNow);
}

} // namespace

std::optional<WaitingFlow>
FlowQueue::Push(WaitingFlow aFlow, Instant aNow)
{
  mFlows.push_back(std::move(aFlow));
  if (mFlows.size() <= kCapacity) {
    return std::nullopt;
  }
  return Take(LeavesLast(aNow));
}

const WaitingFlow*
FlowQueue::LeavesLast(Instant aNow) const
{
  FlowPointers flows;
  for (const WaitingFlow& flow : mFlows) {
    flows.push_back(&flow);
  }
  uint32_t sinceGuaranteed = mSinceGuaranteed;
  while (flows.size() > 1) {
    std::erase(flows, Next(flows, sinceGuaranteed, aNow));
  }
  return flows.front();
}

std::optional<WaitingFlow>
FlowQueue::Pop(Instant aNow)
{
  FlowPointers flows;
  for (const WaitingFlow& flow : mFlows) {
    if (!IsExpired(flow, aNow)) {
      flows.push_back(&flow);
    }
  }
  if (flows.empty()) {
    return std::nullopt;
  }
  return Take(Next(flows, mSinceGuaranteed, aNow));
}

WaitingFlow
FlowQueue::Take(const WaitingFlow* aFlow)
{
  const auto position = mFlows.begin() + (aFlow - mFlows.data());
  WaitingFlow taken = std::move(*position);
  mFlows.erase(position);
  return taken;
}

std::vector<WaitingFlow>
FlowQueue::TakeRefused(Instant aNow)
{
  const bool refusesLate =
    Size() >= kCapacity ||
    std::any_of(mFlows.begin(), mFlows.end(), [aNow](const auto& aFlow) {
      return RankOf(aFlow, aNow) == Rank::InTime;
    });
  const Rank firstRefused = refusesLate ? Rank::LateIdempotent : Rank::Expired;
  const auto refused =
    std::stable_partition(mFlows.begin(), mFlows.end(), [&](const auto& aFlow) {
      return RankOf(aFlow, aNow) < firstRefused;
    });
  Flows taken(std::make_move_iterator(refused),
              std::make_move_iterator(mFlows.end()));
  mFlows.erase(refused, mFlows.end());
  return taken;
}

std::vector<WaitingFlow>
FlowQueue::TakeAll()
{
  return std::exchange(mFlows, {});
}

WaitingFlow*
FlowQueue::Find(const FlowTuple& aFlow)
{
  const auto found =
    std::find_if(mFlows.begin(), mFlows.end(), [&](const auto& aWaiting) {
      return aWaiting.mFlow == aFlow;
    });
  return found == mFlows.end() ? nullptr : &*found;
}

bool
FlowQueue::Remove(const FlowTuple& aFlow)
{
  const WaitingFlow* flow = Find(aFlow);
  if (flow == nullptr) {
    return false;
  }
  Take(flow);
  return true;
}

Duration
FlowQueue::WaitAhead(const Order& aOrder, uint32_t aSlots, Instant aNow) const
{
  const Rank rank = IsLate(aOrder.mDeadline, aOrder.mTimeToResponse, aNow)
                      ? Rank::Late
                      : Rank::InTime;
  const Position own{ rank, aOrder.mPriority, aOrder.mDeadline };
  Duration ahead{};
  for (const WaitingFlow& flow : mFlows) {
    // Of equal positions, those that already wait go first.
    if (PositionOf(flow, aNow) <= own) {
      ahead += flow.mSlotTime;
    }
  }
  return ahead / std::max(aSlots, 1U);
}

std::optional<Instant>
FlowQueue::NextExpiry() const
{
  std::optional<Instant> next;
  for (const WaitingFlow& flow : mFlows) {
    next = std::min(next.value_or(flow.mExpires), flow.mExpires);
  }
  return next;
}

} // namespace snipepost::flow
