#include <snipepost/Flow/FlowQueue.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace snipepost::flow {

std::optional<WaitingFlow>
FlowQueue::Push(WaitingFlow aFlow, Instant aNow)
{
  mFlows.push_back(std::move(aFlow));
  if (mFlows.size() <= kCapacity) {
    return std::nullopt;
  }
  QueueEntries flows;
  for (const WaitingFlow& flow : mFlows) {
    flows.push_back(&flow);
  }
  return Take(mOrder.Last(std::move(flows), aNow));
}

std::optional<WaitingFlow>
FlowQueue::Pop(Instant aNow)
{
  QueueEntries flows;
  Append(flows, aNow);
  if (flows.empty()) {
    return std::nullopt;
  }
  return Take(mOrder.TakeNext(flows, aNow));
}

void
FlowQueue::Append(QueueEntries& aEntries, Instant aNow) const
{
  for (const WaitingFlow& flow : mFlows) {
    if (flow.mExpires > aNow) {
      aEntries.push_back(&flow);
    }
  }
}

WaitingFlow
FlowQueue::Take(const QueueEntry* aFlow)
{
  const auto position =
    std::find_if(mFlows.begin(), mFlows.end(), [aFlow](const auto& aWaiting) {
      return &aWaiting == aFlow;
    });
  WaitingFlow taken = std::move(*position);
  mFlows.erase(position);
  return taken;
}

std::vector<WaitingFlow>
FlowQueue::TakeRefused(Instant aNow, bool aOthersInTime)
{
  const bool refusesLate =
    aOthersInTime || Size() >= kCapacity ||
    std::any_of(mFlows.begin(), mFlows.end(), [aNow](const auto& aFlow) {
      return RankOf(aFlow, aNow) == QueueRank::InTime;
    });
  const QueueRank firstRefused =
    refusesLate ? QueueRank::LateIdempotent : QueueRank::Expired;
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
  Duration ahead{};
  for (const WaitingFlow& flow : mFlows) {
    if (GoesBefore(flow, aOrder, aNow)) {
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
