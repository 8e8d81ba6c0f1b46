#include "tools/bench/PolicyModelState.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace snipepost::bench {

namespace {

constexpr uint32_t kOpenings = 4;
constexpr uint32_t kFlights = 3;
/// Retransmission time of a first flight without an answer.
constexpr Duration kProbeTimeout = 100ms;
/// A second datagram follows the first at this distance.
constexpr Duration kSecondDatagram = 10ms;
constexpr Duration kHandshakeRetry = 100ms;

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
  // Each opening uses another port, hence another key.
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
  SendOpening(aFlow, 0);
  if (flow.mPlan->mTwoDatagrams) {
    After(kSecondDatagram, [this, aFlow, connection = flow.mConnection] {
      SendSecond(aFlow, connection, 0);
    });
  }
}

void
PolicyModel::SendOpening(size_t aFlow, uint32_t aFlight)
{
  const FlowModel& flow = mFlows[aFlow];
  if (aFlight == kFlights) {
    Refused(aFlow);
    return;
  }
  const size_t entry = PickEntry();
  After(mOptions.mSite.mToCallers, [this, aFlow, entry, c = flow.mConnection] {
    const FlowModel& arrived = mFlows[aFlow];
    const Offer offer =
      mEntries[entry].Choose(arrived.mPlan->mToStore, KeyOf(arrived), mNow);
    if (offer.mCandidates.IsEmpty()) {
      return;
    }
    const size_t first = ServerOf(offer.mCandidates[0]);
    After(HopTime(entry, DomainOf(first)),
          [this, aFlow, c, offer] { ArriveOpening(aFlow, c, offer, 0, 0); });
  });
  After(kProbeTimeout, [this, aFlow, aFlight, c = flow.mConnection] {
    const FlowModel& later = mFlows[aFlow];
    if (later.mConnection == c && later.mServer == kNoServer &&
        !later.mFailed) {
      SendOpening(aFlow, aFlight + 1);
    }
  });
}

void
PolicyModel::ArriveOpening(size_t aFlow,
                           uint64_t aConnection,
                           const Offer& aOffer,
                           uint8_t aIndex,
                           uint8_t aHops)
{
  const FlowModel& flow = mFlows[aFlow];
  if (flow.mConnection != aConnection || flow.mServer != kNoServer) {
    return;
  }
  const size_t server = ServerOf(aOffer.mCandidates[aIndex]);
  const ReceivedPacket packet{ .mKind = PacketKind::Initial,
                               .mOwnIndex = aIndex,
                               .mCandidates = static_cast<uint8_t>(
                                 aOffer.mCandidates.Size()),
                               .mFromCurrentTable = aOffer.mFromCurrentTable,
                               .mHops = aHops };
  const auto decision = mAgents[server].mCore.OnReceivedPacket(packet, mNow);
  const Duration back =
    HopTime(DomainOf(server), PickEntry()) + mOptions.mSite.mToCallers;
  switch (decision.mAction) {
    case HuntingDecision::Action::Accept:
      Accepted(aFlow, server);
      return;
    case HuntingDecision::Action::ForwardToCandidate: {
      const uint8_t next = decision.mCandidate;
      const size_t other = ServerOf(aOffer.mCandidates[next]);
      After(HopTime(DomainOf(server), DomainOf(other)),
            [this, aFlow, aConnection, aOffer, next, aHops] {
              ArriveOpening(
                aFlow, aConnection, aOffer, next, uint8_t(aHops + 1));
            });
      return;
    }
    case HuntingDecision::Action::Refuse:
      After(back, [this, aFlow, aConnection] {
        if (mFlows[aFlow].mConnection == aConnection) {
          Refused(aFlow);
        }
      });
      return;
    case HuntingDecision::Action::Drop:
      return;
  }
}

void
PolicyModel::Accepted(size_t aFlow, size_t aServer)
{
  FlowModel& flow = mFlows[aFlow];
  flow.mServer = aServer;
  const FlowId id(++mLastFlow);
  mOwned[aServer][id] = aFlow;
  Deliver(aServer, FlowOpened{ id });
  if (!flow.mPlan->mTwoDatagrams) {
    Established(aFlow, flow.mConnection);
  }
}

void
PolicyModel::Refused(size_t aFlow)
{
  FlowModel& flow = mFlows[aFlow];
  if (++flow.mAttempts >= kOpenings) {
    ++mResult.mRefusedFlows;
    Fail(aFlow);
    return;
  }
  ++flow.mConnection;
  After(kHandshakeRetry * (1 << flow.mAttempts), [this, aFlow] {
    if (!mFlows[aFlow].mFailed) {
      Open(aFlow);
    }
  });
}

void
PolicyModel::SendSecond(size_t aFlow, uint64_t aConnection, uint32_t aFlight)
{
  FlowModel& flow = mFlows[aFlow];
  if (flow.mConnection != aConnection || flow.mOpen || flow.mFailed) {
    return;
  }
  if (aFlight == kFlights && flow.mServer != kNoServer) {
    ++mResult.mBrokenFlows;
    Reopen(aFlow);
    return;
  }
  const size_t entry = PickEntry();
  After(mOptions.mSite.mToCallers, [this, aFlow, aConnection, entry] {
    const FlowModel& arrived = mFlows[aFlow];
    const Offer offer =
      mEntries[entry].Choose(arrived.mPlan->mToStore, KeyOf(arrived), mNow);
    if (offer.mCandidates.IsEmpty()) {
      return;
    }
    const size_t first = ServerOf(offer.mCandidates[0]);
    After(HopTime(entry, DomainOf(first)), [this, aFlow, aConnection, offer] {
      ArriveSecond(aFlow, aConnection, offer, 0, 0);
    });
  });
  const uint32_t next = flow.mServer == kNoServer ? aFlight : aFlight + 1;
  After(kProbeTimeout, [this, aFlow, aConnection, next] {
    SendSecond(aFlow, aConnection, next);
  });
}

void
PolicyModel::ArriveSecond(size_t aFlow,
                          uint64_t aConnection,
                          const Offer& aOffer,
                          uint8_t aIndex,
                          uint8_t aHops)
{
  const FlowModel& flow = mFlows[aFlow];
  if (flow.mConnection != aConnection) {
    return;
  }
  const size_t server = ServerOf(aOffer.mCandidates[aIndex]);
  const bool owned = flow.mServer == server;
  const ReceivedPacket packet{
    .mKind = owned ? PacketKind::Owned : PacketKind::Unknown,
    .mOwnIndex = aIndex,
    .mCandidates = static_cast<uint8_t>(aOffer.mCandidates.Size()),
    .mFromCurrentTable = aOffer.mFromCurrentTable,
    .mHops = aHops
  };
  const auto decision = mAgents[server].mCore.OnReceivedPacket(packet, mNow);
  if (decision.mAction == HuntingDecision::Action::Accept) {
    Established(aFlow, aConnection);
  } else if (decision.mAction == HuntingDecision::Action::ForwardToCandidate) {
    const uint8_t next = decision.mCandidate;
    const size_t other = ServerOf(aOffer.mCandidates[next]);
    After(HopTime(DomainOf(server), DomainOf(other)),
          [this, aFlow, aConnection, aOffer, next, aHops] {
            ArriveSecond(aFlow, aConnection, aOffer, next, uint8_t(aHops + 1));
          });
  }
}

void
PolicyModel::Established(size_t aFlow, uint64_t aConnection)
{
  // The answer reaches the caller, whose requests follow.
  const FlowModel& flow = mFlows[aFlow];
  const Duration back =
    HopTime(DomainOf(flow.mServer), PickEntry()) + mOptions.mSite.mToCallers;
  After(back, [this, aFlow, aConnection] {
    FlowModel& open = mFlows[aFlow];
    if (open.mConnection != aConnection || open.mOpen) {
      return;
    }
    open.mOpen = true;
    open.mEstablished = true;
    open.mAttempts = 0;
    for (const size_t request : std::exchange(open.mWaiting, {})) {
      SendRequest(aFlow, request);
    }
  });
}

void
PolicyModel::Fail(size_t aFlow)
{
  FlowModel& flow = mFlows[aFlow];
  flow.mFailed = true;
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
PolicyModel::CloseFlowOf(size_t aServer, FlowId aFlow, bool aBroken)
{
  const auto found = mOwned[aServer].find(aFlow);
  if (found == mOwned[aServer].end()) {
    return;
  }
  const size_t flow = found->second;
  mOwned[aServer].erase(found);
  // A flow whose caller has finished is idle; nobody notices its end.
  const PlannedFlow& plan = *mFlows[flow].mPlan;
  if (mNow > plan.mOpen + plan.mRequests.back().mOffset) {
    return;
  }
  mResult.mBrokenFlows += aBroken ? 1 : 0;
  Open(flow);
}

} // namespace snipepost::bench
