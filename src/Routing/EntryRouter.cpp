#include <snipepost/Routing/EntryRouter.h>

#include <optional>

#include <snipepost/Base/Bytes.h>
#include <snipepost/Routing/QuicInvariants.h>
#include <snipepost/Routing/RouteId.h>

#include "src/Routing/Hash.h"

namespace snipepost {

namespace {

constexpr uint64_t kConnectionSeed = 0x636f6e6e00000004;
constexpr uint64_t kCallerSeed = 0x63616c6c00000005;
constexpr uint8_t kFirstQuicByte = 0x40;

// Candidates taken from each of the two tables.
constexpr size_t kPerTable = 2;

void
AddCandidates(const RoutingSnapshot& aSnapshot,
              const BackendPool& aPool,
              FlowKey aKey,
              CandidateList& aList)
{
  std::array<uint16_t, kPerTable> picked{};
  const size_t count = aPool.mTable->Pick(aKey, picked);
  for (size_t i = 0; i < count; ++i) {
    const Backend& backend = aPool.mBackends[picked[i]];
    if (!aSnapshot.IsOut(backend.mDomain)) {
      aList.Add(backend.mAgent);
    }
  }
}

// Fills the decision in place: copying it costs about as much as checking the
// tag.
DropReason
RouteByTable(const RoutingSnapshot& aSnapshot,
             const ServiceRoutes& aService,
             FlowKey aKey,
             const RoutingGuards& aGuards,
             RouteDecision& aDecision)
{
  AddCandidates(aSnapshot, *aService.mCurrent, aKey, aDecision.mCandidates);
  aDecision.mPresent = static_cast<uint8_t>(aDecision.mCandidates.Size());
  if (aService.mPrevious && aGuards.mPreviousCandidates) {
    AddCandidates(aSnapshot, *aService.mPrevious, aKey, aDecision.mCandidates);
  }
  return aDecision.mCandidates.IsEmpty() ? DropReason::NoBackend
                                         : DropReason::None;
}

DropReason
RouteById(const RoutingSnapshot& aSnapshot,
          const ServiceRoutes& aService,
          const RouteId& aRoute,
          const RoutingGuards& aGuards,
          RouteDecision& aDecision)
{
  if (aRoute.mService != aService.mId && aGuards.mServiceCheck) {
    return DropReason::WrongService;
  }
  if (aSnapshot.IsOut(aRoute.mDomain) && aGuards.mDomainCheck) {
    return DropReason::DomainOut;
  }
  aDecision.mByIssuedId = true;
  aDecision.mCandidates.Add(aRoute.mAgent);
  aDecision.mPresent = 1;
  return DropReason::None;
}

} // namespace

FlowKey
FlowKeyOfConnectionId(std::span<const uint8_t> aDestinationId)
{
  return FlowKey(HashBytes(aDestinationId, kConnectionSeed));
}

FlowKey
FlowKeyOfCaller(const Address& aCaller, ServiceId aService)
{
  const uint64_t caller =
    (uint64_t{ aCaller.mIp } << 32) | (uint64_t{ aCaller.mPort } << 16);
  return FlowKey(HashWord(caller | aService.Value(), kCallerSeed));
}

RouteDecision
EntryRouter::Route(const RoutingSnapshot& aSnapshot,
                   const Address& aService,
                   const Address& aCaller,
                   std::span<const uint8_t> aDatagram)
{
  RouteDecision decision;
  decision.mDrop = Decide(aSnapshot, aService, aCaller, aDatagram, decision);
  ++mCounts[static_cast<size_t>(decision.mDrop)];
  return decision;
}

DropReason
EntryRouter::Decide(const RoutingSnapshot& aSnapshot,
                    const Address& aService,
                    const Address& aCaller,
                    std::span<const uint8_t> aDatagram,
                    RouteDecision& aDecision) const
{
  const ServiceRoutes* service = aSnapshot.Find(aService);
  if (!service) {
    return DropReason::UnknownService;
  }
  aDecision.mService = service->mId;
  if (aDatagram.empty()) {
    return DropReason::Malformed;
  }
  const auto packet = ParseQuicInvariants(aDatagram);
  if (packet) {
    if (const auto route = DecodeRouteId(packet->mDestinationId, mKeys)) {
      return RouteById(aSnapshot, *service, *route, mSafeguards, aDecision);
    }
  }
  if (aDatagram[0] < kFirstQuicByte) {
    const FlowKey key = FlowKeyOfCaller(aCaller, service->mId);
    return RouteByTable(aSnapshot, *service, key, mSafeguards, aDecision);
  }
  if (!packet) {
    return DropReason::Malformed;
  }
  // Only the first flight may carry an ID that no agent issued.
  if (packet->mKind != QuicPacketKind::First) {
    return DropReason::ForgedId;
  }
  const FlowKey key = FlowKeyOfConnectionId(packet->mDestinationId);
  return RouteByTable(aSnapshot, *service, key, mSafeguards, aDecision);
}

} // namespace snipepost
