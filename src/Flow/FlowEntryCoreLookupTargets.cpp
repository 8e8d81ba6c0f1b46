// The agents that are asked for the owner of a flow.

#include <snipepost/Flow/FlowEntryCore.h>

#include <algorithm>
#include <iterator>

namespace snipepost::flow {

namespace {

/// A flow with at most this many possible owners is looked up at all of them at
/// once; otherwise the first attempt asks only the best ranked ones, since most
/// owners are among them.
constexpr size_t kFirstLookupLimit = 12;
/// Servers of the local failure domain, and of all others together, that such a
/// first attempt asks.
constexpr size_t kNarrowLookupLimit = 4;

/// Attempts after which servers outside the candidates are asked, too: an entry
/// instance of the previous version may have offered the flow to them.
constexpr uint32_t kCandidateLookups = 2;

/// Limit of the agents that one attempt asks.
constexpr size_t kMaxLookupTargets = 128;

/// Number and time of unanswered messages after which an agent whose record is
/// missing is considered ended. Without this, lookups for the flows of a server
/// that has ended would wait for its agent until their callers give up. A
/// running agent replies within some milliseconds.
constexpr uint32_t kMissingUnanswered = 3;
constexpr Duration kMissingSilence = std::chrono::milliseconds(200);

bool
Contains(const std::vector<cluster::NodeIp>& aNodes, cluster::NodeIp aNode)
{
  return std::ranges::find(aNodes, aNode) != aNodes.end();
}

cluster::NodeIp
AgentIp(const cluster::BackendRecord* aRecord)
{
  return cluster::NodeIp(aRecord->mAgent.mIp);
}

/// True when the route sends new flows to the service.
bool
Serves(const cluster::Route& aRoute, const std::string& aService)
{
  return std::ranges::any_of(
    aRoute.mServices, [&aService](const cluster::WeightedService& aShare) {
      return aShare.mService == aService;
    });
}

} // namespace

FlowEntryCore::Servers
FlowEntryCore::PossibleOwners(const FlowTuple& aTuple,
                              const cluster::Route& aRoute,
                              bool aOfEveryService,
                              Instant aNow) const
{
  const uint64_t hash = FlowHash(aTuple);
  Servers owners;
  for (const auto& [service, table] : mTables) {
    if (Serves(aRoute, service)) {
      table.AppendPossibleOwners(hash, aNow, mOptions.mFlowLimit, owners);
    }
  }
  if (!aOfEveryService) {
    return owners;
  }
  for (const auto& [service, table] : mTables) {
    if (!Serves(aRoute, service)) {
      table.AppendPossibleOwners(hash, aNow, mOptions.mFlowLimit, owners);
    }
  }
  return owners;
}

FlowEntryCore::Servers
FlowEntryCore::BestRankedOwners(const FlowTuple& aTuple,
                                const cluster::Route& aRoute) const
{
  Servers best;
  for (const cluster::WeightedService& share : aRoute.mServices) {
    const auto table = mTables.find(share.mService);
    if (table == mTables.end()) {
      continue;
    }
    size_t local = 0;
    size_t remote = 0;
    for (const Candidate& candidate :
         table->second.Candidates(FlowHash(aTuple), mOptions.mDomain)) {
      size_t& count = candidate.mLocal ? local : remote;
      if (count++ < kNarrowLookupLimit) {
        best.push_back(candidate.mRecord);
      }
    }
  }
  return best;
}

bool
FlowEntryCore::HasProbablyEnded(const cluster::BackendRecord& aRecord,
                                Instant aNow) const
{
  const auto view = mViews.find(aRecord.mAgent);
  return view != mViews.end() &&
         view->second.mUnansweredOffers >= kMissingUnanswered &&
         aNow - view->second.mUnansweredSince > kMissingSilence &&
         IsMissing(aRecord.mAgent);
}

bool
FlowEntryCore::IsMissing(const Address& aAgent) const
{
  return mRecords.HasMissing() &&
         mRecords.IsMissing(cluster::RecordName(aAgent));
}

FlowEntryCore::Servers
FlowEntryCore::LookupTargets(const FlowTuple& aTuple,
                             const cluster::Route& aRoute,
                             OwnerLookup& aLookup,
                             Instant aNow) const
{
  // A flow stays where it was opened when a later configuration sends the
  // route's new flows to other services, so any service may have it. This
  // instance may not have seen the earlier configuration.
  const bool ofEveryService = aLookup.mAttempts > 1;
  Servers owners = PossibleOwners(aTuple, aRoute, ofEveryService, aNow);
  const auto isExcluded = [&](const cluster::BackendRecord* aRecord) {
    return Contains(aLookup.mExcluded, AgentIp(aRecord)) ||
           HasProbablyEnded(*aRecord, aNow);
  };
  std::erase_if(owners, isExcluded);
  aLookup.mRecords = mReplica.Version(cluster::Part::Backends);
  aLookup.mPending.clear();
  std::ranges::transform(
    owners, std::back_inserter(aLookup.mPending), &AgentIp);
  const bool asksEveryService =
    ofEveryService || std::ranges::all_of(mTables, [&](const auto& aTable) {
      return Serves(aRoute, aTable.first);
    });
  aLookup.mConclusive = asksEveryService && owners.size() <= kMaxLookupTargets;
  if (aLookup.mAttempts == 1 && owners.size() > kFirstLookupLimit) {
    return BestRankedOwners(aTuple, aRoute);
  }
  if (aLookup.mAttempts > kCandidateLookups) {
    AppendOtherServers(aTuple, aRoute, owners);
    std::erase_if(owners, isExcluded);
  }
  owners.resize(std::min(owners.size(), kMaxLookupTargets));
  return owners;
}

void
FlowEntryCore::AppendOtherServers(const FlowTuple& aTuple,
                                  const cluster::Route& aRoute,
                                  Servers& aServers) const
{
  Servers all;
  for (const cluster::WeightedService& share : aRoute.mServices) {
    const auto table = mTables.find(share.mService);
    if (table != mTables.end()) {
      table->second.AppendAll(FlowHash(aTuple), all);
    }
  }
  for (const cluster::BackendRecord* server : all) {
    if (std::ranges::find(aServers, server) == aServers.end()) {
      aServers.push_back(server);
    }
  }
}

} // namespace snipepost::flow
