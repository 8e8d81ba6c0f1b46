#include <snipepost/Routing/RoutingSnapshot.h>

#include <algorithm>
#include <unordered_set>

namespace snipepost {

namespace {

using PoolPointer = std::shared_ptr<const BackendPool>;

// A table depends only on the addresses and weights of its backends.
bool
SameTable(const BackendPool& aPool, std::span<const Backend> aBackends)
{
  return std::ranges::equal(aPool.mBackends,
                            aBackends,
                            [](const Backend& aLeft, const Backend& aRight) {
                              return aLeft.mAgent == aRight.mAgent &&
                                     aLeft.mWeight == aRight.mWeight;
                            });
}

PoolPointer
MakePool(std::vector<Backend> aBackends,
         const std::shared_ptr<const Table>& aShared,
         TableKind aKind)
{
  auto pool = std::make_shared<BackendPool>();
  pool->mTable = aShared ? aShared : BuildTable(aKind, aBackends);
  pool->mBackends = std::move(aBackends);
  return pool;
}

ServiceRoutes
MakeRoutes(ServiceId aId,
           std::vector<Backend> aBackends,
           const ServiceRoutes* aBefore,
           TableKind aKind)
{
  if (!aBefore) {
    return { aId, MakePool(std::move(aBackends), nullptr, aKind), nullptr };
  }
  const PoolPointer& before = aBefore->mCurrent;
  if (before->mBackends == aBackends) {
    return *aBefore;
  }
  // The previous pool is kept while only incarnations or domains differ.
  if (SameTable(*before, aBackends)) {
    return { aId,
             MakePool(std::move(aBackends), before->mTable, aKind),
             aBefore->mPrevious };
  }
  return { aId, MakePool(std::move(aBackends), nullptr, aKind), before };
}

} // namespace

std::shared_ptr<const RoutingSnapshot>
RoutingSnapshot::Build(Generation aGeneration,
                       std::vector<ServiceView> aServices,
                       const DomainSet& aDomainsOut,
                       const RoutingSnapshot* aPrevious)
{
  return Build(
    aGeneration, std::move(aServices), aDomainsOut, aPrevious, kDefaultTable);
}

std::shared_ptr<const RoutingSnapshot>
RoutingSnapshot::Build(Generation aGeneration,
                       std::vector<ServiceView> aServices,
                       const DomainSet& aDomainsOut,
                       const RoutingSnapshot* aPrevious,
                       TableKind aKind)
{
  std::shared_ptr<RoutingSnapshot> snapshot(new RoutingSnapshot);
  snapshot->mGeneration = aGeneration;
  snapshot->mDomainsOut = aDomainsOut;
  snapshot->mKind = aKind;
  snapshot->mServices.reserve(aServices.size());
  const bool comparable = aPrevious && aPrevious->mKind == aKind;
  for (ServiceView& view : aServices) {
    if (snapshot->mServices.contains(view.mAddress)) {
      continue;
    }
    std::erase_if(view.mEligible, [&aDomainsOut](const Backend& aBackend) {
      return aDomainsOut[aBackend.mDomain.Value()];
    });
    // An address reassigned to another service has no previous pool: its flows
    // must not reach the backends of the service that had the address before
    // (requirement P2 in docs/design.md).
    const ServiceRoutes* before =
      comparable ? aPrevious->Find(view.mAddress) : nullptr;
    if (before && before->mId != view.mId) {
      before = nullptr;
    }
    snapshot->mServices.emplace(
      view.mAddress,
      MakeRoutes(
        view.mId, NormalizeBackends(std::move(view.mEligible)), before, aKind));
  }
  return snapshot;
}

size_t
RoutingSnapshot::MemoryBytes() const
{
  std::unordered_set<const void*> seen;
  size_t bytes = sizeof *this;
  const auto add = [&seen, &bytes](const PoolPointer& aPool) {
    if (!aPool || !seen.insert(aPool.get()).second) {
      return;
    }
    bytes += sizeof *aPool + aPool->mBackends.capacity() * sizeof(Backend);
    if (seen.insert(aPool->mTable.get()).second) {
      bytes += aPool->mTable->MemoryBytes();
    }
  };
  for (const auto& [address, routes] : mServices) {
    bytes += sizeof address + sizeof routes;
    add(routes.mCurrent);
    add(routes.mPrevious);
  }
  return bytes;
}

} // namespace snipepost
