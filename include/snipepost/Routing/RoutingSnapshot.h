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

/// Backends that accept new flows of one service, with their table.
struct BackendPool
{
  std::vector<Backend> mBackends;
  std::shared_ptr<const Table> mTable;
};

/// Routing state of one service.
struct ServiceRoutes
{
  ServiceId mId;
  std::shared_ptr<const BackendPool> mCurrent;
  /// The last pool with a table other than the current one; null when there is
  /// none. Flows in their first flight may have been routed by it.
  std::shared_ptr<const BackendPool> mPrevious;
};

/// Input of a snapshot: a service and its eligible backends, in any order.
struct ServiceView
{
  ServiceId mId;
  Address mAddress;
  std::vector<Backend> mEligible;
};

/// Immutable routing state built from one version of the document and the
/// membership. Replaced as a whole; see docs/design.md, section 11.
class RoutingSnapshot
{
public:
  /// Builds the snapshot that follows aPrevious (null for the first one).
  /// aDomainsOut are the failure domains that are out of service; their
  /// backends are excluded. A service whose backends are unchanged shares its
  /// pool with aPrevious; a service where only domains or incarnations changed
  /// shares its table. When two services have the same address, the first is
  /// used. aPrevious itself is not retained.
  static std::shared_ptr<const RoutingSnapshot> Build(
    Generation aGeneration,
    std::vector<ServiceView> aServices,
    const DomainSet& aDomainsOut,
    const RoutingSnapshot* aPrevious);

  /// The same with a chosen algorithm, for measurements.
  static std::shared_ptr<const RoutingSnapshot> Build(
    Generation aGeneration,
    std::vector<ServiceView> aServices,
    const DomainSet& aDomainsOut,
    const RoutingSnapshot* aPrevious,
    TableKind aKind);

  /// The service at an address, or null.
  const ServiceRoutes* Find(const Address& aServiceAddress) const
  {
    const auto found = mServices.find(aServiceAddress);
    return found == mServices.end() ? nullptr : &found->second;
  }

  /// Whether the failure domain is out of service.
  bool IsOut(DomainId aDomain) const { return mDomainsOut[aDomain.Value()]; }

  Generation DocumentGeneration() const { return mGeneration; }
  size_t ServiceCount() const { return mServices.size(); }

  /// Bytes of all tables and backend lists; shared ones are counted once.
  size_t MemoryBytes() const;

private:
  RoutingSnapshot() = default;

  Generation mGeneration;
  DomainSet mDomainsOut;
  TableKind mKind = TableKind::Maglev;
  std::unordered_map<Address, ServiceRoutes> mServices;
};

} // namespace snipepost
