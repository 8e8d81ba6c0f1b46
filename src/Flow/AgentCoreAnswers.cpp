// What an agent learns from its backend server and from time passing: answers,
// returned packets, load, ended flows.

#include <snipepost/Flow/AgentCore.h>

#include <algorithm>

namespace snipepost::flow {

namespace {

/// Callers give up an opening after 1.4 s.
constexpr Duration kOpeningLimit = std::chrono::milliseconds(1500);

/// Longest retransmission interval of both ends, for packets after the end.
constexpr Duration kClosedMemory = std::chrono::seconds(2);
constexpr Duration kDeadMemory = std::chrono::seconds(5);

/// A request that holds a slot for longer has been lost.
constexpr Duration kBusyLimit = std::chrono::seconds(5);

} // namespace

void
AgentCore::OnBackendPacket(const Packet& aPacket,
                           std::span<const uint8_t> aBytes,
                           Instant aNow)
{
  if (aPacket.mReturned) {
    OnReturned(aPacket, aNow);
    return;
  }
  mUnanswered = 0;
  const FlowId id = BackendFlow(aPacket);
  auto found = mFlows.find(id);
  if (found == mFlows.end() && mFlows.size() < kMaxFlows) {
    // The flow opened before this agent started.
    found = mFlows.try_emplace(id).first;
    found->second.mOpenedAt = aNow;
    found->second.mOpen = true;
    found->second.mAnswered = true;
  }
  if (found != mFlows.end()) {
    OnAnswer(id, found->second, aPacket, aNow);
  }
  mOutput.SendToCaller(aBytes, aPacket.mDestination);
}

void
AgentCore::OnAnswer(const FlowId& aId,
                    AgentFlow& aFlow,
                    const Packet& aPacket,
                    Instant aNow)
{
  aFlow.mLastSeen = aNow;
  if (aPacket.Answers()) {
    const bool repeated = aFlow.mAnswered;
    aFlow.mAnswered = true;
    aFlow.mBackendSequence = aPacket.mSequence;
    Reply(aFlow.mEntry,
          aId,
          aFlow.mCallerSequence,
          aPacket.mSequence,
          Refusal::None,
          aNow);
    DropAnswered();
    if (!repeated) {
      Decide(Verdict::Opened,
             aId,
             aFlow.mEntry,
             Refusal::None,
             aNow - aFlow.mOpenedAt);
    }
    return;
  }
  if (aFlow.mTentative && !aPacket.mReset) {
    aFlow.mTentative = false;
    aFlow.mOpen = true;
    aFlow.mAnswered = true;
    TellOwned(aId, aFlow);
  }
  const bool answers = aPacket.mLength > 0 || aPacket.mFin || aPacket.mReset;
  if (answers && aFlow.mBusy) {
    LearnServiceTime(aFlow, aNow);
    SetBusy(aFlow, false, aNow);
    if (mLoad >= mStatus.Slots()) {
      mSaturatedSince = aNow;
    }
  }
  aFlow.mBackendFin = aFlow.mBackendFin || aPacket.mFin || aPacket.mReset;
}

// Alone in its slot, a request takes the service time. While all slots are busy
// it also waits for one; then the slots end one request for each service time
// divided by their number.
void
AgentCore::LearnServiceTime(const AgentFlow& aFlow, Instant aNow)
{
  if (!aFlow.mOpen) {
    return;
  }
  Duration sample{};
  if (mLoad <= mStatus.Slots()) {
    sample = aNow - aFlow.mBusySince;
  } else if (mSaturatedSince) {
    sample = (aNow - *mSaturatedSince) * mStatus.Slots();
  } else {
    return;
  }
  mServiceTime = (mServiceTime * 15 + sample) / 16;
}

void
AgentCore::OnReturned(const Packet& aPacket, Instant aNow)
{
  const FlowId id = CallerFlow(aPacket);
  const auto found = mFlows.find(id);
  if (found == mFlows.end()) {
    return;
  }
  const AgentFlow flow = found->second;
  if (aPacket.Opens()) {
    Erase(found);
    mUnanswered = 0;
    Reply(flow.mEntry, id, aPacket.mSequence, 0, Refusal::Full, aNow);
    Decide(Verdict::TurnedAway,
           id,
           flow.mEntry,
           Refusal::Full,
           aNow - flow.mOpenedAt,
           "returned");
    return;
  }
  if (flow.mTentative) {
    Erase(found);
    if (aPacket.mMark != TransitMark::Locate) {
      mOutput.SendToNode(flow.mEntry, OwnerNotice{ id, false });
    }
    return;
  }
  // The backend server has restarted, or has forgotten an idle flow. A reset
  // is sent only once a heartbeat shows that it restarted.
  SetBusy(found->second, false, aNow);
  Decide(Verdict::NotOwned,
         id,
         flow.mEntry,
         Refusal::None,
         aNow - flow.mOpenedAt,
         "returned");
}

std::optional<Instant>
AgentCore::NextDeadline() const
{
  if (mPending.empty()) {
    return std::nullopt;
  }
  return mPending.front().mDeadline;
}

void
AgentCore::DropAnswered()
{
  while (!mPending.empty()) {
    const auto found = mFlows.find(mPending.front().mFlow);
    if (found != mFlows.end() && !found->second.mAnswered) {
      return;
    }
    mPending.pop_front();
  }
}

void
AgentCore::OnTimer(Instant aNow)
{
  while (!mPending.empty() && mPending.front().mDeadline <= aNow) {
    const PendingAnswer pending = mPending.front();
    mPending.pop_front();
    const auto found = mFlows.find(pending.mFlow);
    if (found == mFlows.end() || found->second.mAnswered ||
        found->second.mCallerSequence != pending.mCallerSequence) {
      continue;
    }
    ++mUnanswered;
    const AgentFlow& flow = found->second;
    Reply(flow.mEntry,
          pending.mFlow,
          pending.mCallerSequence,
          0,
          Refusal::Silent,
          aNow);
    Decide(Verdict::TurnedAway,
           pending.mFlow,
           flow.mEntry,
           Refusal::Silent,
           aNow - flow.mOpenedAt,
           "no-answer");
    SetBusy(found->second, false, aNow);
  }
}

void
AgentCore::SetBusy(AgentFlow& aFlow, bool aBusy, Instant aNow)
{
  if (aFlow.mBusy == aBusy) {
    return;
  }
  aFlow.mBusy = aBusy;
  aFlow.mBusySince = aNow;
  mLoad = aBusy ? mLoad + 1 : mLoad - 1;
  if (mLoad < mStatus.Slots()) {
    mSaturatedSince.reset();
  }
}

void
AgentCore::Erase(Flows::iterator aFlow)
{
  SetBusy(aFlow->second, false, aFlow->second.mLastSeen);
  mFlows.erase(aFlow);
}

void
AgentCore::ReleaseOpenings(Instant aNow)
{
  while (!mOpenings.empty() && mOpenings.front().mDeadline <= aNow) {
    const PendingAnswer& opening = mOpenings.front();
    const auto found = mFlows.find(opening.mFlow);
    if (found != mFlows.end() && !found->second.mOpen &&
        found->second.mCallerSequence == opening.mCallerSequence) {
      SetBusy(found->second, false, aNow);
    }
    mOpenings.pop_front();
  }
}

void
AgentCore::Expire(Instant aNow)
{
  ReleaseOpenings(aNow);
  const Duration idle = mReplica.Routes()->mIdleTimeout;
  for (auto at = mFlows.begin(); at != mFlows.end();) {
    AgentFlow& flow = at->second;
    const Duration silence = aNow - flow.mLastSeen;
    if (flow.mBusy &&
        aNow - flow.mBusySince > (flow.mOpen ? kBusyLimit : kOpeningLimit)) {
      SetBusy(flow, false, aNow);
    }
    Duration memory = idle;
    if (flow.mDead) {
      memory = kDeadMemory;
    } else if (flow.mCallerFin && flow.mBackendFin) {
      memory = kClosedMemory;
    } else if (!flow.mOpen) {
      memory = kOpeningLimit;
    }
    const auto next = std::next(at);
    if (silence > memory) {
      Erase(at);
    }
    at = next;
  }
}

size_t
AgentCore::OpenFlows() const
{
  return static_cast<size_t>(
    std::ranges::count_if(mFlows, [](const auto& aEntry) {
      const AgentFlow& flow = aEntry.second;
      return !flow.mDead && (flow.mBusy || (flow.mOpen && !flow.mBackendFin));
    }));
}

} // namespace snipepost::flow
