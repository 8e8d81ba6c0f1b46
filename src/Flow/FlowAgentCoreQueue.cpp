// New flows that wait at the agent for a slot of the backend server.

#include <snipepost/Flow/FlowAgentCore.h>

#include <utility>

namespace snipepost::flow {

namespace {

/// Interval of the checks whether waiting flows have become late while no
/// packet arrives.
constexpr Duration kQueueCheckInterval = std::chrono::milliseconds(20);

} // namespace

bool
FlowAgentCore::IsScheduled(const Packet& aSyn)
{
  mScheduler.SetConfig(mReplica.Routes());
  // Probes of an unresponsive or failing server are not held back.
  return mScheduler.Active() && aSyn.mReadsWaits && !LeavesSynsUnanswered() &&
         mBreaker.CurrentState() == CircuitBreaker::State::Closed;
}

FlowScheduler::ServerLoad
FlowAgentCore::CurrentLoad() const
{
  return { mLoad, mStatus.Slots() };
}

void
FlowAgentCore::ScheduleFlow(const Packet& aPacket,
                            std::span<const uint8_t> aBytes,
                            cluster::NodeIp aFrom,
                            Instant aNow)
{
  auto flow = mScheduler.MakeFlow(aPacket, aFrom, CurrentLoad(), aNow);
  if (!flow) {
    AcceptFlow(aPacket, aBytes, aFrom, aNow);
    return;
  }
  flow->mBytes.assign(aBytes.begin(), aBytes.end());
  std::vector<WaitingFlow> evicted;
  const auto outcome = mScheduler.Offer(
    std::move(*flow), aPacket.mMark, CurrentLoad(), evicted, aNow);
  for (const WaitingFlow& refused : evicted) {
    RefuseWaiting(refused, Refusal::Full, "evicted", aNow);
  }
  if (outcome == FlowScheduler::Outcome::Forwarded) {
    AcceptFlow(aPacket, aBytes, aFrom, aNow);
    return;
  }
  Refusal refusal = Refusal::Queued;
  if (outcome == FlowScheduler::Outcome::NoFreeSlot) {
    refusal = Refusal::Busy;
  } else if (outcome == FlowScheduler::Outcome::TooLate) {
    refusal = Refusal::Full;
  } else if (WaitingFlows() == 1) {
    mNextQueueCheck = aNow + kQueueCheckInterval;
  }
  const FlowTuple tuple = CallerFlow(aPacket);
  SendOfferReply({ aFrom, true }, tuple, aPacket.mSequence, 0, refusal, aNow);
  ReportDecision(refusal == Refusal::Queued ? Verdict::Queued
                                            : Verdict::TurnedAway,
                 tuple,
                 aFrom,
                 refusal,
                 {});
}

void
FlowAgentCore::OnWaitingSyn(WaitingFlow& aFlow,
                            std::span<const uint8_t> aBytes,
                            cluster::NodeIp aFrom,
                            Instant aNow)
{
  aFlow.mEntry = aFrom;
  aFlow.mBytes.assign(aBytes.begin(), aBytes.end());
  SendOfferReply({ aFrom, true },
                 aFlow.mFlow,
                 aFlow.mCallerSequence,
                 0,
                 Refusal::Queued,
                 aNow);
}

Refusal
FlowAgentCore::ServerRefusal() const
{
  if (mReplica.Evacuated(mOptions.mDomain)) {
    return Refusal::Evacuated;
  }
  if (mRefusesNewFlows || mStatus.Draining()) {
    return Refusal::Draining;
  }
  if (mBreaker.CurrentState() == CircuitBreaker::State::Open) {
    return Refusal::Failing;
  }
  return mBackendEnded || LeavesSynsUnanswered() ? Refusal::Silent
                                                 : Refusal::None;
}

void
FlowAgentCore::ForwardWaitingFlows(Instant aNow)
{
  if (!mScheduler.AnyWaiting()) {
    return;
  }
  ForwardDueRequests(aNow);
  RefuseWaitingFlows(aNow);
  while (mScheduler.AnyWaiting()) {
    // The limit of a cold server applies only to new flows.
    const auto next =
      mScheduler.Next(CurrentLoad(), ColdBudget(aNow) != 0U, aNow);
    if (const auto* flow = std::get_if<WaitingFlow>(&next)) {
      AddFlow(flow->mFlow, flow->mCallerSequence, flow->mEntry, true, aNow);
      mOutput.SendToBackend(flow->mBytes);
    } else if (const auto* request = std::get_if<WaitingRequest>(&next)) {
      ForwardRequest(*request, aNow);
    } else {
      break;
    }
  }
  mNextQueueCheck = aNow + kQueueCheckInterval;
}

void
FlowAgentCore::RefuseWaitingFlows(Instant aNow)
{
  if (WaitingFlows() == 0) {
    return;
  }
  const Refusal refusal = ServerRefusal();
  if (refusal != Refusal::None) {
    for (const WaitingFlow& flow : mScheduler.Queue().TakeAll()) {
      RefuseWaiting(flow, refusal, {}, aNow);
    }
    return;
  }
  for (const WaitingFlow& flow : mScheduler.TakeRefused(aNow)) {
    RefuseWaiting(flow, Refusal::Full, "too-late", aNow);
  }
}

void
FlowAgentCore::RefuseWaiting(const WaitingFlow& aFlow,
                             Refusal aRefusal,
                             std::string_view aReason,
                             Instant aNow)
{
  SendOfferReply({ aFlow.mEntry, true },
                 aFlow.mFlow,
                 aFlow.mCallerSequence,
                 0,
                 aRefusal,
                 aNow);
  ReportDecision(
    Verdict::TurnedAway, aFlow.mFlow, aFlow.mEntry, aRefusal, {}, aReason);
}

} // namespace snipepost::flow
