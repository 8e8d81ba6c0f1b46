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
constexpr uint8_t kMinQuicFirstByte = 0x40;

// Number of candidates from each of the current and the previous table.
constexpr size_t kCandidatesPerTable = 2;

void
AddCandidates(const RoutingSnapshot& aSnapshot,
              const BackendPool& aPool,
              FlowKey aKey,
              CandidateList& aList)
{
  std::array<uint16_t, kCandidatesPerTable> picked{};
  const size_t count = aPool.mTable->Pick(aKey, picked);
  for (size_t i = 0; i < count; ++i) {
    const Backend& backend = aPool.mBackends[picked[i]];
    if (!aSnapshot.IsOut(backend.mDomain)) {
      aList.Add(backend.mAgent);
    }
  }
}

// Fills in the decision in place, because copying it costs about as much as
// verifying the tag.
DropReason
RouteByTable(const RoutingSnapshot& aSnapshot,
             const ServiceRoutes& aService,
             FlowKey aKey,
             const RoutingSafeguards& aSafeguards,
             RouteDecision& aDecision)
{
  AddCandidates(aSnapshot, *aService.mCurrent, aKey, aDecision.mCandidates);
  aDecision.mFromCurrentTable =
    static_cast<uint8_t>(aDecision.mCandidates.Size());
  if (aService.mPrevious && aSafeguards.mPreviousCandidates) {
    AddCandidates(aSnapshot, *aService.mPrevious, aKey, aDecision.mCandidates);
  }
  return aDecision.mCandidates.IsEmpty() ? DropReason::NoBackend
                                         : DropReason::None;
}

DropReason
RouteById(const RoutingSnapshot& aSnapshot,
          const ServiceRoutes& aService,
          const RouteId& aRoute,
          const RoutingSafeguards& aSafeguards,
          RouteDecision& aDecision)
{
  if (aRoute.mService != aService.mId && aSafeguards.mServiceCheck) {
    return DropReason::WrongService;
  }
  if (aSnapshot.IsOut(aRoute.mDomain) && aSafeguards.mDomainCheck) {
    return DropReason::DomainOut;
  }
  aDecision.mByIssuedId = true;
  aDecision.mCandidates.Add(aRoute.mAgent);
  aDecision.mFromCurrentTable = 1;
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
                   const Address& aServiceAddress,
                   const Address& aCaller,
                   std::span<const uint8_t> aDatagram)
{
  RouteDecision decision;
  decision.mDrop =
    Decide(aSnapshot, aServiceAddress, aCaller, aDatagram, decision);
  ++mCounts[static_cast<size_t>(decision.mDrop)];
  return decision;
}

DropReason
EntryRouter::Decide(const RoutingSnapshot& aSnapshot,
                    const Address& aServiceAddress,
                    const Address& aCaller,
                    std::span<const uint8_t> aDatagram,
                    RouteDecision& aDecision) const
{
  const ServiceRoutes* service = aSnapshot.Find(aServiceAddress);
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
  if (aDatagram[0] < kMinQuicFirstByte) {
    const FlowKey key = FlowKeyOfCaller(aCaller, service->mId);
    return RouteByTable(aSnapshot, *service, key, mSafeguards, aDecision);
  }
  if (!packet) {
    return DropReason::Malformed;
  }
  // Only packets of the first flight may carry an ID that no agent issued.
  if (packet->mKind != QuicPacketKind::First) {
    return DropReason::ForgedId;
  }
  const FlowKey key = FlowKeyOfConnectionId(packet->mDestinationId);
  return RouteByTable(aSnapshot, *service, key, mSafeguards, aDecision);
}

} // namespace snipepost
