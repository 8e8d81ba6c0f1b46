#include <snipepost/View/SnapshotBuilder.h>

#include <map>

namespace snipepost {

namespace {

struct AgentCandidates
{
  std::vector<Backend> mUnsuspected;
  std::vector<Backend> mSuspected;
};

bool
AcceptsNewFlows(const EffectiveConfig& aConfig, const InstanceRecord& aRecord)
{
  return aRecord.mRole == InstanceRole::Agent &&
         aRecord.mState == InstanceState::Ready &&
         aConfig.IsInService(aRecord.mDomain) &&
         aConfig.AdmissionStateOf({ aRecord.mService, aRecord.mAddress }) ==
           AdmissionState::Admitted;
}

std::vector<Backend>
EligibleBackends(AgentCandidates&& aCandidates,
                 const ViewSafeguards& aSafeguards)
{
  if (aSafeguards.mPanicThreshold &&
      aCandidates.mSuspected.size() > aCandidates.mUnsuspected.size()) {
    auto& all = aCandidates.mUnsuspected;
    all.insert(
      all.end(), aCandidates.mSuspected.begin(), aCandidates.mSuspected.end());
  }
  return std::move(aCandidates.mUnsuspected);
}

} // namespace

std::shared_ptr<const RoutingSnapshot>
BuildSnapshot(const EffectiveConfig& aConfig,
              const Blackboard& aBoard,
              const RoutingSnapshot* aPrevious,
              const ViewSafeguards& aSafeguards)
{
  std::map<ServiceId, AgentCandidates> candidates;
  for (const auto& [address, member] : aBoard.mMembers) {
    const InstanceRecord& record = member.mRecord;
    if (!AcceptsNewFlows(aConfig, record)) {
      continue;
    }
    auto& service = candidates[record.mService];
    auto& list = aBoard.mSuspects.contains(address) ? service.mSuspected
                                                    : service.mUnsuspected;
    const auto incarnation =
      static_cast<uint16_t>(record.mVersion.mIncarnation.Value());
    list.push_back({ address,
                     record.mDomain,
                     std::max<uint16_t>(record.mSlots, 1),
                     incarnation });
  }
  std::vector<ServiceView> services;
  for (const auto& [id, service] : aConfig.mServices) {
    services.push_back(
      { id,
        service.mAddress,
        EligibleBackends(std::move(candidates[id]), aSafeguards) });
  }
  DomainSet out;
  for (const auto& [id, domain] : aConfig.mDomains) {
    out[id.Value()] = domain.mState == DomainState::Out;
  }
  return RoutingSnapshot::Build(
    aConfig.mGeneration, std::move(services), out, aPrevious);
}

} // namespace snipepost
