// Incarnations of the backend server: heartbeats, restarts, and the flows that
// end with an incarnation.

#include <snipepost/Flow/FlowAgentCore.h>

#include <algorithm>

namespace snipepost::flow {

namespace {

/// Time that a new record takes to reach nearly every entry instance.
constexpr Duration kAnnouncementTime = std::chrono::milliseconds(1500);

/// Less than the time in which an agent can start, receive the shared state and
/// the first heartbeat, open a flow and end, and the next agent can start.
constexpr uint64_t kMinAgentLifetimeMs = 100;

/// An incarnation that is not older than kMinAgentLifetimeMs when its agent
/// starts has sent at most this many heartbeats until the agent receives one.
/// Limits the effect of a step of the time of day.
constexpr uint64_t kFirstHeartbeats = 3;

/// Error of the difference of two start times, which are whole milliseconds.
constexpr Duration kStartTimeError = std::chrono::milliseconds(2);

} // namespace

void
FlowAgentCore::SetRecordStored(bool aStored, Instant aNow)
{
  if (mRecordMissing && aStored) {
    mAcceptsFrom = aNow + kAnnouncementTime;
  }
  mRecordMissing = !aStored;
}

HeartbeatOutcome
FlowAgentCore::OnHeartbeat(const Heartbeat& aHeartbeat, Instant aNow)
{
  const bool first = !mStatus.HasHeartbeat();
  const HeartbeatOutcome outcome = mStatus.OnHeartbeat(aHeartbeat, aNow);
  if (outcome == HeartbeatOutcome::Outdated ||
      outcome == HeartbeatOutcome::OtherService) {
    return outcome;
  }
  mBackendEnded = false;
  if (outcome == HeartbeatOutcome::Restarted) {
    OrphanFlows(EndOfEarlierFlows(aHeartbeat, aNow));
    mBackendStartedAfterAgent = true;
  } else if (first) {
    // Received before any packet of the incarnation's flows, such a heartbeat
    // shows that no flow is older than the agent. Callers' packets of unknown
    // flows show nothing.
    mBackendStartedAfterAgent =
      mBackendStartedAfterAgent ||
      (HasNoEarlierFlow(aHeartbeat) &&
       std::ranges::all_of(
         mFlows, [](const auto& aItem) { return aItem.second.mTentative; }));
  }
  return outcome;
}

bool
FlowAgentCore::HasNoEarlierFlow(const Heartbeat& aHeartbeat) const
{
  if (aHeartbeat.mSequence <= 1) {
    return true;
  }
  // After a power failure, a server may start some milliseconds before its
  // agent, which then misses the first heartbeat. Both start times are from the
  // clock of the same machine.
  return aHeartbeat.mStartTime != 0 && mOptions.mStartTime != 0 &&
         aHeartbeat.mSequence <= kFirstHeartbeats &&
         aHeartbeat.mStartTime <= mOptions.mStartTime &&
         mOptions.mStartTime - aHeartbeat.mStartTime <= kMinAgentLifetimeMs;
}

// When the first heartbeats of an incarnation are lost, it has opened flows
// before the agent knows of its start. Both start times are from the clock of
// the same machine. An incarnation that follows one known to this agent can't
// have started before the agent, nor in the future; the clock has been set if
// it says so.
Instant
FlowAgentCore::EndOfEarlierFlows(const Heartbeat& aHeartbeat,
                                 Instant aNow) const
{
  const uint64_t agentStart = mOptions.mStartTime;
  const auto runtime =
    static_cast<uint64_t>((aNow - mStart) / std::chrono::milliseconds(1));
  if (agentStart == 0 || aHeartbeat.mStartTime < agentStart ||
      aHeartbeat.mStartTime - agentStart > runtime) {
    return Instant::max();
  }
  const std::chrono::milliseconds afterAgent(aHeartbeat.mStartTime -
                                             agentStart);
  return mStart + afterAgent - kStartTimeError;
}

void
FlowAgentCore::OrphanFlows(Instant aEnd)
{
  // A flow whose SYN this backend server has not answered belongs to another
  // backend server and must not be reset.
  std::erase_if(mFlows, [aEnd](const auto& aItem) {
    const AgentFlow& flow = aItem.second;
    return flow.mStartedAt < aEnd && !flow.mEstablished && !flow.mSynAcked;
  });
  mLoad = 0;
  for (auto& [tuple, flow] : mFlows) {
    if (flow.mStartedAt < aEnd) {
      flow.mOrphaned = true;
      flow.mBusy = false;
      ResetRequestOf(tuple, flow);
    }
    mLoad += flow.mBusy ? 1 : 0;
  }
  mUnansweredSyns = 0;
  mReturnsPackets = false;
  mBreaker = CircuitBreaker();
  mScheduler.ResetCapacity();
  mUtilisation = UtilisationMean();
  mLastResponseAtFullLoad.reset();
  RemoveAnsweredSyns();
}

bool
FlowAgentCore::MayHaveEnded() const
{
  return mStatus.Deregistered() || mUnansweredSyns > 0 || mReturnsPackets;
}

void
FlowAgentCore::OnBackendEnded()
{
  mBackendEnded = true;
  mBackendStartedAfterAgent = true;
  OrphanFlows(Instant::max());
}

bool
FlowAgentCore::OnDeregister(const std::string& aId, uint64_t aStartTime)
{
  return mStatus.OnDeregister(aId, aStartTime);
}

} // namespace snipepost::flow
