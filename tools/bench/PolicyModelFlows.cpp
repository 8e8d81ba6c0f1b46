#include "tools/bench/PolicyModelState.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace snipepost::bench {

namespace {

constexpr uint32_t kConnectAttempts = 4;
constexpr uint32_t kTransmissions = 3;
/// Retransmission timeout of a first flight without a response.
constexpr Duration kProbeTimeout = 100ms;
/// Time between the two datagrams of a first flight.
constexpr Duration kSecondDatagramDelay = 10ms;
constexpr Duration kConnectRetryDelay = 100ms;

} // namespace

Duration
PolicyModel::HopTime(size_t aDomainA, size_t aDomainB) const
{
  constexpr Duration kWithinDomain = 200us;
  return aDomainA == aDomainB ? kWithinDomain : mOptions.mSite.mBetweenDomains;
}

FlowKey
PolicyModel::KeyOf(const FlowModel& aFlow) const
{
  // Each connection attempt uses another source port, hence another flow key.
  constexpr uint64_t kStep = 0x9e3779b97f4a7c15;
  return FlowKey(aFlow.mPlan->mKey + kStep * aFlow.mConnection);
}

void
PolicyModel::Open(size_t aFlow)
{
  FlowModel& flow = mFlows[aFlow];
  ++flow.mConnection;
  flow.mServer = kNoServer;
  flow.mOpen = false;
  SendInitial(aFlow, 0);
  if (flow.mPlan->mTwoDatagrams) {
    ScheduleAfter(kSecondDatagramDelay,
                  [this, aFlow, connection = flow.mConnection] {
                    SendSecondDatagram(aFlow, connection, 0);
                  });
  }
}

void
PolicyModel::SendInitial(size_t aFlow, uint32_t aTransmission)
{
  const FlowModel& flow = mFlows[aFlow];
  if (aTransmission == kTransmissions) {
    OnAttemptFailed(aFlow);
    return;
  }
  const size_t entry = PickEntry();
  ScheduleAfter(mOptions.mSite.mToCallers,
                [this, aFlow, entry, connection = flow.mConnection] {
                  const FlowModel& current = mFlows[aFlow];
                  const CandidateChoice choice = mEntries[entry].Choose(
                    current.mPlan->mToBulkService, KeyOf(current), mNow);
                  if (choice.mCandidates.IsEmpty()) {
                    return;
                  }
                  const size_t first = ServerOf(choice.mCandidates[0]);
                  ScheduleAfter(HopTime(entry, DomainOf(first)),
                                [this, aFlow, connection, choice] {
                                  ReceiveInitial(
                                    aFlow, connection, choice, 0, 0);
                                });
                });
  ScheduleAfter(kProbeTimeout,
                [this, aFlow, aTransmission, connection = flow.mConnection] {
                  const FlowModel& current = mFlows[aFlow];
                  if (current.mConnection == connection &&
                      current.mServer == kNoServer && !current.mEnded) {
                    SendInitial(aFlow, aTransmission + 1);
                  }
                });
}

void
PolicyModel::ReceiveInitial(size_t aFlow,
                            uint64_t aConnection,
                            const CandidateChoice& aChoice,
                            uint8_t aIndex,
                            uint8_t aHops)
{
  const FlowModel& flow = mFlows[aFlow];
  if (flow.mConnection != aConnection || flow.mServer != kNoServer) {
    return;
  }
  const size_t server = ServerOf(aChoice.mCandidates[aIndex]);
  const ReceivedPacket packet{ .mKind = PacketKind::Initial,
                               .mOwnIndex = aIndex,
                               .mCandidates = static_cast<uint8_t>(
                                 aChoice.mCandidates.Size()),
                               .mFromCurrentTable = aChoice.mFromCurrentTable,
                               .mHops = aHops };
  const auto decision = mAgents[server].mCore.OnReceivedPacket(packet, mNow);
  const Duration returnTime =
    HopTime(DomainOf(server), PickEntry()) + mOptions.mSite.mToCallers;
  switch (decision.mAction) {
    case HuntingDecision::Action::Accept:
      OnAccepted(aFlow, server);
      return;
    case HuntingDecision::Action::ForwardToCandidate: {
      const uint8_t next = decision.mCandidate;
      const size_t other = ServerOf(aChoice.mCandidates[next]);
      ScheduleAfter(HopTime(DomainOf(server), DomainOf(other)),
                    [this, aFlow, aConnection, aChoice, next, aHops] {
                      ReceiveInitial(
                        aFlow, aConnection, aChoice, next, uint8_t(aHops + 1));
                    });
      return;
    }
    case HuntingDecision::Action::Refuse:
      ScheduleAfter(returnTime, [this, aFlow, aConnection] {
        if (mFlows[aFlow].mConnection == aConnection) {
          OnAttemptFailed(aFlow);
        }
      });
      return;
    case HuntingDecision::Action::Drop:
      return;
  }
}

void
PolicyModel::OnAccepted(size_t aFlow, size_t aServer)
{
  FlowModel& flow = mFlows[aFlow];
  flow.mServer = aServer;
  const FlowId id(++mLastFlow);
  mOwned[aServer][id] = aFlow;
  Deliver(aServer, FlowOpened{ id });
  if (!flow.mPlan->mTwoDatagrams) {
    OnEstablished(aFlow, flow.mConnection);
  }
}

void
PolicyModel::OnAttemptFailed(size_t aFlow)
{
  FlowModel& flow = mFlows[aFlow];
  if (++flow.mFailedAttempts >= kConnectAttempts) {
    ++mResult.mRefusedFlows;
    Fail(aFlow);
    return;
  }
  ++flow.mConnection;
  ScheduleAfter(kConnectRetryDelay * (1 << flow.mFailedAttempts),
                [this, aFlow] {
                  if (!mFlows[aFlow].mEnded) {
                    Open(aFlow);
                  }
                });
}

void
PolicyModel::SendSecondDatagram(size_t aFlow,
                                uint64_t aConnection,
                                uint32_t aTransmission)
{
  FlowModel& flow = mFlows[aFlow];
  if (flow.mConnection != aConnection || flow.mOpen || flow.mEnded) {
    return;
  }
  if (aTransmission == kTransmissions && flow.mServer != kNoServer) {
    ++mResult.mBrokenFlows;
    Reopen(aFlow);
    return;
  }
  const size_t entry = PickEntry();
  ScheduleAfter(mOptions.mSite.mToCallers, [this, aFlow, aConnection, entry] {
    const FlowModel& current = mFlows[aFlow];
    const CandidateChoice choice = mEntries[entry].Choose(
      current.mPlan->mToBulkService, KeyOf(current), mNow);
    if (choice.mCandidates.IsEmpty()) {
      return;
    }
    const size_t first = ServerOf(choice.mCandidates[0]);
    ScheduleAfter(HopTime(entry, DomainOf(first)),
                  [this, aFlow, aConnection, choice] {
                    ReceiveSecondDatagram(aFlow, aConnection, choice, 0, 0);
                  });
  });
  // Transmissions count only once an agent has accepted the flow, because no
  // agent owns the flow before that.
  const uint32_t next =
    flow.mServer == kNoServer ? aTransmission : aTransmission + 1;
  ScheduleAfter(kProbeTimeout, [this, aFlow, aConnection, next] {
    SendSecondDatagram(aFlow, aConnection, next);
  });
}

void
PolicyModel::ReceiveSecondDatagram(size_t aFlow,
                                   uint64_t aConnection,
                                   const CandidateChoice& aChoice,
                                   uint8_t aIndex,
                                   uint8_t aHops)
{
  const FlowModel& flow = mFlows[aFlow];
  if (flow.mConnection != aConnection) {
    return;
  }
  const size_t server = ServerOf(aChoice.mCandidates[aIndex]);
  const bool owned = flow.mServer == server;
  const ReceivedPacket packet{
    .mKind = owned ? PacketKind::Owned : PacketKind::Unknown,
    .mOwnIndex = aIndex,
    .mCandidates = static_cast<uint8_t>(aChoice.mCandidates.Size()),
    .mFromCurrentTable = aChoice.mFromCurrentTable,
    .mHops = aHops
  };
  const auto decision = mAgents[server].mCore.OnReceivedPacket(packet, mNow);
  if (decision.mAction == HuntingDecision::Action::Accept) {
    OnEstablished(aFlow, aConnection);
  } else if (decision.mAction == HuntingDecision::Action::ForwardToCandidate) {
    const uint8_t next = decision.mCandidate;
    const size_t other = ServerOf(aChoice.mCandidates[next]);
    ScheduleAfter(HopTime(DomainOf(server), DomainOf(other)),
                  [this, aFlow, aConnection, aChoice, next, aHops] {
                    ReceiveSecondDatagram(
                      aFlow, aConnection, aChoice, next, uint8_t(aHops + 1));
                  });
  }
}

void
PolicyModel::OnEstablished(size_t aFlow, uint64_t aConnection)
{
  // The caller sends its requests when it receives the response.
  const FlowModel& flow = mFlows[aFlow];
  const Duration returnTime =
    HopTime(DomainOf(flow.mServer), PickEntry()) + mOptions.mSite.mToCallers;
  ScheduleAfter(returnTime, [this, aFlow, aConnection] {
    FlowModel& current = mFlows[aFlow];
    if (current.mConnection != aConnection || current.mOpen) {
      return;
    }
    current.mOpen = true;
    current.mEstablished = true;
    current.mFailedAttempts = 0;
    for (const size_t request : std::exchange(current.mWaiting, {})) {
      SendRequest(aFlow, request);
    }
  });
}

void
PolicyModel::Fail(size_t aFlow)
{
  FlowModel& flow = mFlows[aFlow];
  flow.mEnded = true;
  mResult.mNotRun += std::exchange(flow.mWaiting, {}).size();
}

void
PolicyModel::Reopen(size_t aFlow)
{
  Close(aFlow);
  Open(aFlow);
}

void
PolicyModel::Close(size_t aFlow)
{
  FlowModel& flow = mFlows[aFlow];
  if (flow.mServer != kNoServer) {
    auto& owned = mOwned[flow.mServer];
    const auto found = std::ranges::find(
      owned, aFlow, &std::map<FlowId, size_t>::value_type::second);
    if (found != owned.end()) {
      const FlowId id = found->first;
      const size_t server = flow.mServer;
      owned.erase(found);
      flow.mServer = kNoServer;
      Deliver(server, FlowClosed{ id });
    }
  }
}

void
PolicyModel::OnFlowClosedByAgent(size_t aServer, FlowId aId, bool aBroken)
{
  const auto found = mOwned[aServer].find(aId);
  if (found == mOwned[aServer].end()) {
    return;
  }
  const size_t flow = found->second;
  mOwned[aServer].erase(found);
  // After its last planned request the flow is idle, so its end affects no
  // request.
  const PlannedFlow& plan = *mFlows[flow].mPlan;
  if (mNow > plan.mStartTime + plan.mRequests.back().mOffset) {
    return;
  }
  mResult.mBrokenFlows += aBroken ? 1 : 0;
  Open(flow);
}

} // namespace snipepost::bench
