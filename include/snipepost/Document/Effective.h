#pragma once

#include <map>
#include <optional>
#include <vector>

#include <snipepost/Document/Document.h>

namespace snipepost {

/// Whether the document admits a backend server at a given time.
enum class AdmissionState
{
  Admitted,
  Draining,
  /// Not admitted by an operator yet; the service has manual admission.
  Waiting,
  /// The document has no such service.
  UnknownService,
};

/// The configuration in effect at a given time.
struct EffectiveConfig
{
  Generation mGeneration;
  SubmissionId mSubmission;
  std::map<ServiceId, Service> mServices;
  std::map<DomainId, FailureDomain> mDomains;
  std::map<BackendTarget, BackendRuleState> mRules;

  /// False if the failure domain is out or the document does not define it.
  bool IsInService(DomainId aDomain) const;

  AdmissionState AdmissionStateOf(const BackendTarget& aBackend) const;

  bool operator==(const EffectiveConfig&) const = default;
};

/// Returns the configuration with the planned changes applied whose time is
/// aNow or earlier, in order of time and, at equal times, in the order of the
/// document.
EffectiveConfig
EffectiveAt(const Document& aDocument, WallTime aNow);

/// Applies one planned change regardless of its time.
void
ApplyChange(const PlannedChange& aChange, EffectiveConfig& aConfig);

/// Returns the planned changes after aFrom and not after aUntil, in the order
/// in which they take effect.
std::vector<PlannedChange>
ChangesBetween(const Document& aDocument, WallTime aFrom, WallTime aUntil);

/// Returns the time of the first planned change after aNow.
std::optional<WallTime>
NextChangeAfter(const Document& aDocument, WallTime aNow);

/// Replaces the planned changes whose time is aNow or earlier by the states and
/// rules that they lead to, so that they do not override a later edit of the
/// same target.
Document
WithDueChangesApplied(const Document& aDocument, WallTime aNow);

} // namespace snipepost
