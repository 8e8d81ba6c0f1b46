#pragma once

#include <bitset>
#include <cstddef>
#include <memory>
#include <unordered_map>
#include <vector>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/Types.h>
#include <snipepost/Routing/Backend.h>
#include <snipepost/Routing/Table.h>

namespace snipepost {

/// Failure domains by their ID.
using DomainSet = std::bitset<256>;

/// Backends that take new flows of one service, with the table over them.
struct BackendPool
{
  std::vector<Backend> mBackends;
  std::shared_ptr<const Table> mTable;
};

/// What the routing decision knows about one service.
struct ServiceRoutes
{
  ServiceId mId;
  std::shared_ptr<const BackendPool> mCurrent;
  /// The last pool with other candidates than the current one; null when there
  /// is none. Flows in their first flight may have been opened by it.
  std::shared_ptr<const BackendPool> mPrevious;
};

/// Input of a snapshot: a service and its eligible backends, in any order.
struct ServiceView
{
  ServiceId mId;
  Address mAddress;
  std::vector<Backend> mEligible;
};

/// Immutable result of one view of document and membership. Replaced as a
/// whole; see section 11 of the design page.
class RoutingSnapshot
{
public:
  /// Builds the snapshot that follows aPrevious (null for the first one).
  /// Backends in a failure domain of aDomainsOut are left out. A service whose
  /// backends are unchanged shares its pool, and one where only domains or
  /// incarnations differ its table, with aPrevious. Of two services with one
  /// address, the first counts. aPrevious itself is not retained.
  static std::shared_ptr<const RoutingSnapshot> Build(
    Generation aGeneration,
    std::vector<ServiceView> aServices,
    const DomainSet& aDomainsOut,
    const RoutingSnapshot* aPrevious);

  /// The same with an explicit algorithm, for measurements.
  static std::shared_ptr<const RoutingSnapshot> Build(
    Generation aGeneration,
    std::vector<ServiceView> aServices,
    const DomainSet& aDomainsOut,
    const RoutingSnapshot* aPrevious,
    TableKind aKind);

  /// The service at an address, or null.
  const ServiceRoutes* Find(const Address& aService) const
  {
    const auto found = mServices.find(aService);
    return found == mServices.end() ? nullptr : &found->second;
  }

  bool IsOut(DomainId aDomain) const { return mDomainsOut[aDomain.Value()]; }

  Generation DocumentGeneration() const { return mGeneration; }
  size_t ServiceCount() const { return mServices.size(); }

  /// Bytes of all tables and backend lists, each shared one counted once.
  size_t MemoryBytes() const;

private:
  RoutingSnapshot() = default;

  Generation mGeneration;
  DomainSet mDomainsOut;
  TableKind mKind = TableKind::Maglev;
  std::unordered_map<Address, ServiceRoutes> mServices;
};

} // namespace snipepost
