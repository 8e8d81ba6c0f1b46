#include <tests/Matrix/FleetWorld.h>

#include <algorithm>

namespace snipepost::matrix {

namespace {

constexpr Address kCaller{ 0x7f000909, 5000 };

/// A long header with the caller's ID, or a short one with an issued ID.
std::vector<uint8_t>
Datagram(std::span<const uint8_t> aId, bool aLong)
{
  std::vector<uint8_t> bytes{ uint8_t{ 0x40 } };
  if (aLong) {
    bytes = { 0xc0, 0, 0, 0, 1, static_cast<uint8_t>(aId.size()) };
  }
  bytes.insert(bytes.end(), aId.begin(), aId.end());
  bytes.resize(bytes.size() + 40);
  return bytes;
}

} // namespace

void
FleetWorld::Open(const FleetStep& aStep)
{
  const auto ready = Ready();
  if (ready.empty()) {
    return;
  }
  Flow flow;
  flow.mService = ServiceId(1 + aStep.mFirst % 2);
  for (int i = 0; i < 8; ++i) {
    flow.mFirstId.push_back(static_cast<uint8_t>(mRandom.Below(256)));
  }
  const auto datagram = Datagram(flow.mFirstId, true);
  std::optional<Address> owner;
  for (int i = 0; i < 3; ++i) {
    const Address via = ready[mRandom.Below(ready.size())];
    Entry& entry = mEntries.at(via);
    const auto decision = entry.mRouter.Route(
      *entry.mSnapshot, AddressOf(flow.mService), kCaller, datagram);
    const auto candidates = decision.mCandidates.View();
    const auto arrival = Walk(via, decision, flow, !owner);
    if (!owner && arrival.mEnd == End::Opened) {
      owner = arrival.mAgent;
      mFlights.push_back(
        { flow,
          via,
          *owner,
          entry.mSnapshot->Find(AddressOf(flow.mService))->mCurrent });
      continue;
    }
    const bool reachable =
      mCuts.empty() &&
      std::all_of(candidates.begin(), candidates.end(), [&](const auto& aOne) {
        return mFleet.IsRunning(aOne);
      });
    if (owner && reachable && decision.mCandidates.Contains(*owner) &&
        arrival.mEnd != End::Delivered) {
      Broken("P1", "a walk over the candidates missed the owner");
    }
  }
}

FleetWorld::Arrival
FleetWorld::Walk(const Address& aEntry,
                 const RouteDecision& aDecision,
                 const Flow& aFlow,
                 bool aInitial)
{
  ++mRouted;
  const auto candidates = aDecision.mCandidates.View();
  for (const Address& each : candidates) {
    if (mRecords.at(each).mService != aFlow.mService) {
      Broken("P2", "a candidate belongs to another service");
    }
    const auto out = mOutSince.find(mRecords.at(each).mDomain);
    if (out != mOutSince.end() && Strict(kFewSeconds) &&
        mFleet.Now() - mAwakeSince[aEntry] > kFewSeconds &&
        mFleet.Now() - out->second > kFewSeconds) {
      Broken("P4", ToString(aEntry) + " sends into a domain that is out");
    }
  }
  Address from = aEntry;
  size_t at = 0;
  for (uint8_t hops = 0; at < candidates.size(); ++hops) {
    const Address to = candidates[at];
    if (!mFleet.IsRunning(to) || mFleet.mCut(from, to)) {
      return {};
    }
    Agent& agent = mAgents.at(to);
    const bool owned =
      std::any_of(agent.mFlows.begin(), agent.mFlows.end(), [&](auto& aOne) {
        return aOne.second.mFirstId == aFlow.mFirstId;
      });
    ReceivedPacket packet;
    packet.mKind = owned      ? PacketKind::Owned
                   : aInitial ? PacketKind::Initial
                              : PacketKind::Unknown;
    packet.mOwnIndex = static_cast<uint8_t>(at);
    packet.mCandidates = static_cast<uint8_t>(candidates.size());
    packet.mFromCurrentTable = aDecision.mFromCurrentTable;
    packet.mHops = hops;
    const auto decision = agent.mCore.OnReceivedPacket(packet, mFleet.Now());
    switch (decision.mAction) {
      case HuntingDecision::Action::Refuse:
        return { End::Refused, to };
      case HuntingDecision::Action::Drop:
        return {};
      case HuntingDecision::Action::ForwardToCandidate:
        if (hops >= 4) {
          Broken("Hops", "a packet was handed on without end");
          return {};
        }
        from = to;
        at = decision.mCandidate;
        continue;
      case HuntingDecision::Action::Accept:
        break;
    }
    if (owned) {
      return { End::Delivered, to };
    }
    CheckAccepted(to);
    const FlowId id(++mLastFlow);
    Flow flow = aFlow;
    flow.mId = { aFlow.mService,
                 mRecords.at(to).mDomain,
                 to,
                 static_cast<uint16_t>(agent.mLife),
                 static_cast<uint32_t>(mLastFlow) };
    agent.mFlows.emplace(id, flow);
    Apply(agent, agent.mCore.OnFlowOpened({ id }, mFleet.Now()));
    ++mOpened;
    return { End::Opened, to };
  }
  return {};
}

void
FleetWorld::SendAll()
{
  SendLate();
  for (const Address& entry : Ready()) {
    for (const auto& [address, agent] : mAgents) {
      for (const auto& [id, flow] : agent.mFlows) {
        SendFlow(entry, flow);
      }
    }
  }
}

/// One packet of an established flow through one entry instance, and the same
/// packet to the other service.
void
FleetWorld::SendFlow(const Address& aEntry, const Flow& aFlow)
{
  Entry& entry = mEntries.at(aEntry);
  const auto datagram = Datagram(EncodeRouteId(aFlow.mId, kKeys), false);
  const auto decision = entry.mRouter.Route(
    *entry.mSnapshot, AddressOf(aFlow.mService), kCaller, datagram);
  if (ConfigOf(aEntry)->IsInService(aFlow.mId.mDomain)) {
    if (!decision.IsForward() || decision.mCandidates[0] != aFlow.mId.mAgent) {
      Broken("P1", ToString(aEntry) + " does not route an issued ID");
    }
  }
  if (decision.IsForward()) {
    const auto out = mOutSince.find(aFlow.mId.mDomain);
    if (out != mOutSince.end() && Strict(kFewSeconds) &&
        mFleet.Now() - mAwakeSince[aEntry] > kFewSeconds &&
        mFleet.Now() - out->second > kFewSeconds) {
      Broken("P4", ToString(aEntry) + " sends a flow into a domain out");
    }
  }
  const ServiceId other(3 - aFlow.mService.Value());
  if (entry.mRouter.Route(*entry.mSnapshot, AddressOf(other), kCaller, datagram)
        .IsForward()) {
    Broken("P2", "an ID of another service is forwarded");
  }
  ++mRouted;
}

/// Packets of first flights that arrive after the table has changed once.
void
FleetWorld::SendLate()
{
  for (const Flight& flight : mFlights) {
    const auto entry = mEntries.find(flight.mVia);
    const auto agent = mAgents.find(flight.mOwner);
    if (entry == mEntries.end() || agent == mAgents.end() || !mCuts.empty() ||
        !mFleet.IsRunning(flight.mVia) || !entry->second.mSnapshot) {
      continue;
    }
    const bool open =
      std::any_of(agent->second.mFlows.begin(),
                  agent->second.mFlows.end(),
                  [&](const auto& aOne) {
                    return aOne.second.mFirstId == flight.mFlow.mFirstId;
                  });
    const auto* routes =
      entry->second.mSnapshot->Find(AddressOf(flight.mFlow.mService));
    const bool oneChange = routes && (routes->mCurrent == flight.mPool ||
                                      routes->mPrevious == flight.mPool);
    if (!open || !oneChange ||
        !ConfigOf(flight.mVia)
           ->IsInService(mRecords.at(flight.mOwner).mDomain)) {
      continue;
    }
    const auto decision =
      entry->second.mRouter.Route(*entry->second.mSnapshot,
                                  AddressOf(flight.mFlow.mService),
                                  kCaller,
                                  Datagram(flight.mFlow.mFirstId, true));
    if (!decision.mCandidates.Contains(flight.mOwner)) {
      Broken("P1", "a changed table lost the owner of a first flight");
    }
  }
}

} // namespace snipepost::matrix
