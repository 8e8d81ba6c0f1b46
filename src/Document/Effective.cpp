#include <snipepost/Document/Effective.h>

#include <algorithm>

namespace snipepost {

namespace {

/// Applies a planned action to a failure domain or a backend server.
struct PlannedChangeApplier
{
  EffectiveConfig& mConfig;
  PlannedAction mAction;

  void operator()(const DomainTarget& aTarget) const
  {
    const auto found = mConfig.mDomains.find(aTarget.mDomain);
    if (found != mConfig.mDomains.end()) {
      found->second.mState = mAction == PlannedAction::DomainOut
                               ? DomainState::Out
                               : DomainState::In;
    }
  }

  void operator()(const BackendTarget& aTarget) const
  {
    mConfig.mRules[aTarget] = mAction == PlannedAction::Drain
                                ? BackendRuleState::Draining
                                : BackendRuleState::Admitted;
  }
};

} // namespace

void
ApplyChange(const PlannedChange& aChange, EffectiveConfig& aConfig)
{
  std::visit(PlannedChangeApplier{ aConfig, aChange.mAction }, aChange.mTarget);
}

std::vector<PlannedChange>
ChangesBetween(const Document& aDocument, WallTime aFrom, WallTime aUntil)
{
  std::vector<PlannedChange> changes;
  for (const auto& change : aDocument.mPlanned) {
    if (change.mAt > aFrom && change.mAt <= aUntil) {
      changes.push_back(change);
    }
  }
  std::ranges::stable_sort(changes, {}, &PlannedChange::mAt);
  return changes;
}

bool
EffectiveConfig::IsInService(DomainId aDomain) const
{
  const auto found = mDomains.find(aDomain);
  return found != mDomains.end() && found->second.mState == DomainState::In;
}

AdmissionState
EffectiveConfig::AdmissionStateOf(const BackendTarget& aBackend) const
{
  const auto service = mServices.find(aBackend.mService);
  if (service == mServices.end()) {
    return AdmissionState::UnknownService;
  }
  const auto rule = mRules.find(aBackend);
  if (rule != mRules.end()) {
    return rule->second == BackendRuleState::Admitted
             ? AdmissionState::Admitted
             : AdmissionState::Draining;
  }
  return service->second.mAdmission == AdmissionMode::Automatic
           ? AdmissionState::Admitted
           : AdmissionState::Waiting;
}

EffectiveConfig
EffectiveAt(const Document& aDocument, WallTime aNow)
{
  EffectiveConfig config;
  config.mGeneration = aDocument.mGeneration;
  config.mSubmission = aDocument.mSubmission;
  for (const auto& service : aDocument.mServices) {
    config.mServices.emplace(service.mId, service);
  }
  for (const auto& domain : aDocument.mDomains) {
    config.mDomains.emplace(domain.mId, domain);
  }
  for (const auto& rule : aDocument.mBackends) {
    config.mRules[{ rule.mService, rule.mAddress }] = rule.mState;
  }
  for (const auto& change : ChangesBetween(aDocument, WallTime::min(), aNow)) {
    ApplyChange(change, config);
  }
  return config;
}

std::optional<WallTime>
NextChangeAfter(const Document& aDocument, WallTime aNow)
{
  std::optional<WallTime> next;
  for (const auto& change : aDocument.mPlanned) {
    if (change.mAt > aNow && (!next || change.mAt < *next)) {
      next = change.mAt;
    }
  }
  return next;
}

Document
WithDueChangesApplied(const Document& aDocument, WallTime aNow)
{
  const EffectiveConfig config = EffectiveAt(aDocument, aNow);
  Document result = aDocument;
  std::erase_if(result.mPlanned,
                [&](const auto& aChange) { return aChange.mAt <= aNow; });
  for (auto& domain : result.mDomains) {
    domain.mState = config.mDomains.at(domain.mId).mState;
  }
  auto rules = config.mRules;
  for (auto& rule : result.mBackends) {
    const auto found = rules.find({ rule.mService, rule.mAddress });
    if (found != rules.end()) {
      rule.mState = found->second;
      rules.erase(found);
    }
  }
  for (const auto& [target, state] : rules) {
    result.mBackends.push_back({ target.mService, target.mAddress, state });
  }
  return result;
}

} // namespace snipepost
