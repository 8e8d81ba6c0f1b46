#include <tests/Matrix/FleetSimulation.h>

#include <algorithm>

namespace snipepost::matrix {

namespace {

constexpr Address kCaller{ 0x7f000909, 5000 };

/// Creates a packet with a long header and the caller's connection ID, or with
/// a short header and a connection ID that an agent issued.
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
FleetSimulation::Open(const FleetStep& aStep)
{
  const auto ready = ReadyEntries();
  if (ready.empty()) {
    return;
  }
  Flow flow;
  flow.mService = ServiceId(1 + aStep.mFirst % 2);
  for (int i = 0; i < 8; ++i) {
    flow.mInitialId.push_back(static_cast<uint8_t>(mRandom.Below(256)));
  }
  const auto datagram = Datagram(flow.mInitialId, true);
  std::optional<Address> owner;
  for (int i = 0; i < 3; ++i) {
    const Address entryAddress = ready[mRandom.Below(ready.size())];
    Entry& entry = mEntries.at(entryAddress);
    const auto decision = entry.mRouter.Route(
      *entry.mSnapshot, AddressOf(flow.mService), kCaller, datagram);
    const auto candidates = decision.mCandidates.View();
    const auto result = SendToCandidates(entryAddress, decision, flow, !owner);
    if (!owner && result.mOutcome == PacketOutcome::Opened) {
      owner = result.mAgent;
      mFirstFlights.push_back(
        { flow,
          entryAddress,
          *owner,
          entry.mSnapshot->Find(AddressOf(flow.mService))->mCurrent });
      continue;
    }
    const bool reachable =
      mCutLinks.empty() &&
      std::all_of(candidates.begin(), candidates.end(), [&](const auto& aOne) {
        return mFleet.IsRunning(aOne);
      });
    if (owner && reachable && decision.mCandidates.Contains(*owner) &&
        result.mOutcome != PacketOutcome::Delivered) {
      AddViolation("P1",
                   "a packet did not reach the flow's owner, which is one of "
                   "the candidates");
    }
  }
}

FleetSimulation::PacketResult
FleetSimulation::SendToCandidates(const Address& aEntry,
                                  const RouteDecision& aDecision,
                                  const Flow& aFlow,
                                  bool aInitial)
{
  ++mPacketsRouted;
  const auto candidates = aDecision.mCandidates.View();
  for (const Address& each : candidates) {
    if (mRecords.at(each).mService != aFlow.mService) {
      AddViolation("P2", "a candidate belongs to another service");
    }
    const auto out = mDomainOutSince.find(mRecords.at(each).mDomain);
    if (out != mDomainOutSince.end() && LimitApplies(kPropagationLimit) &&
        mFleet.Now() - mRunningSince[aEntry] > kPropagationLimit &&
        mFleet.Now() - out->second > kPropagationLimit) {
      AddViolation("P4",
                   ToString(aEntry) + " forwards into a domain that is out");
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
        return aOne.second.mInitialId == aFlow.mInitialId;
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
        return { PacketOutcome::Refused, to };
      case HuntingDecision::Action::Drop:
        return {};
      case HuntingDecision::Action::ForwardToCandidate:
        if (hops >= 4) {
          AddViolation("Hops", "a packet was daisy-chained too often");
          return {};
        }
        from = to;
        at = decision.mCandidate;
        continue;
      case HuntingDecision::Action::Accept:
        break;
    }
    if (owned) {
      return { PacketOutcome::Delivered, to };
    }
    CheckAccepted(to);
    const FlowId id(++mLastFlow);
    Flow flow = aFlow;
    flow.mId = { aFlow.mService,
                 mRecords.at(to).mDomain,
                 to,
                 static_cast<uint16_t>(agent.mIncarnationNumber),
                 static_cast<uint32_t>(mLastFlow) };
    agent.mFlows.emplace(id, flow);
    Apply(agent, agent.mCore.OnFlowOpened({ id }, mFleet.Now()));
    ++mFlowsOpened;
    return { PacketOutcome::Opened, to };
  }
  return {};
}

void
FleetSimulation::SendOnAllFlows()
{
  SendDelayedInitials();
  for (const Address& entry : ReadyEntries()) {
    for (const auto& [address, agent] : mAgents) {
      for (const auto& [id, flow] : agent.mFlows) {
        SendOnFlow(entry, flow);
      }
    }
  }
}

/// Routes one packet of an established flow through one entry instance, and the
/// same packet to the other service.
void
FleetSimulation::SendOnFlow(const Address& aEntry, const Flow& aFlow)
{
  Entry& entry = mEntries.at(aEntry);
  const auto datagram = Datagram(EncodeRouteId(aFlow.mId, kKeys), false);
  const auto decision = entry.mRouter.Route(
    *entry.mSnapshot, AddressOf(aFlow.mService), kCaller, datagram);
  if (ConfigOf(aEntry)->IsInService(aFlow.mId.mDomain)) {
    if (!decision.IsForward() || decision.mCandidates[0] != aFlow.mId.mAgent) {
      AddViolation(
        "P1",
        ToString(aEntry) +
          " does not forward a packet to the agent that issued its ID");
    }
  }
  if (decision.IsForward()) {
    const auto out = mDomainOutSince.find(aFlow.mId.mDomain);
    if (out != mDomainOutSince.end() && LimitApplies(kPropagationLimit) &&
        mFleet.Now() - mRunningSince[aEntry] > kPropagationLimit &&
        mFleet.Now() - out->second > kPropagationLimit) {
      AddViolation(
        "P4", ToString(aEntry) + " forwards a flow into a domain that is out");
    }
  }
  const ServiceId other(3 - aFlow.mService.Value());
  if (entry.mRouter.Route(*entry.mSnapshot, AddressOf(other), kCaller, datagram)
        .IsForward()) {
    AddViolation(
      "P2", "a packet is forwarded although its ID belongs to another service");
  }
  ++mPacketsRouted;
}

/// Routes delayed packets of first flights whose table has changed at most once
/// since then.
void
FleetSimulation::SendDelayedInitials()
{
  for (const FirstFlight& firstFlight : mFirstFlights) {
    const auto entry = mEntries.find(firstFlight.mEntry);
    const auto agent = mAgents.find(firstFlight.mOwner);
    if (entry == mEntries.end() || agent == mAgents.end() ||
        !mCutLinks.empty() || !mFleet.IsRunning(firstFlight.mEntry) ||
        !entry->second.mSnapshot) {
      continue;
    }
    const bool open = std::any_of(agent->second.mFlows.begin(),
                                  agent->second.mFlows.end(),
                                  [&](const auto& aOne) {
                                    return aOne.second.mInitialId ==
                                           firstFlight.mFlow.mInitialId;
                                  });
    const auto* routes =
      entry->second.mSnapshot->Find(AddressOf(firstFlight.mFlow.mService));
    const bool atMostOneChange =
      routes && (routes->mCurrent == firstFlight.mPool ||
                 routes->mPrevious == firstFlight.mPool);
    if (!open || !atMostOneChange ||
        !ConfigOf(firstFlight.mEntry)
           ->IsInService(mRecords.at(firstFlight.mOwner).mDomain)) {
      continue;
    }
    const auto decision =
      entry->second.mRouter.Route(*entry->second.mSnapshot,
                                  AddressOf(firstFlight.mFlow.mService),
                                  kCaller,
                                  Datagram(firstFlight.mFlow.mInitialId, true));
    if (!decision.mCandidates.Contains(firstFlight.mOwner)) {
      AddViolation(
        "P1",
        "the owner of a first flight is no longer a candidate, although its "
        "table changed at most once");
    }
  }
}

} // namespace snipepost::matrix
