#pragma once

#include <map>
#include <optional>
#include <vector>

#include <snipepost/Document/Document.h>

namespace snipepost {

/// What the document says about one backend server at one time.
enum class BackendStanding
{
  Admitted,
  Draining,
  /// Announced, but not admitted by an operator yet.
  Waiting,
  /// The document has no such service.
  UnknownService,
};

/// The configuration in force at one time.
struct EffectiveConfig
{
  Generation mGeneration;
  SubmissionId mSubmission;
  std::map<ServiceId, Service> mServices;
  std::map<DomainId, FailureDomain> mDomains;
  std::map<BackendTarget, BackendRuleState> mRules;

  /// False when the domain is out or the document does not name it.
  bool IsIn(DomainId aDomain) const;

  BackendStanding Standing(const BackendTarget& aBackend) const;

  bool operator==(const EffectiveConfig&) const = default;
};

/// Applies the planned changes whose time is aNow or earlier, in order of time
/// and, at equal times, in the order of the document.
EffectiveConfig
EffectiveAt(const Document& aDocument, WallTime aNow);

/// Applies one planned change, whatever its time.
void
ApplyChange(const PlannedChange& aChange, EffectiveConfig& aConfig);

/// The planned changes after aFrom and not after aUntil, in the order in which
/// they come into force.
std::vector<PlannedChange>
ChangesBetween(const Document& aDocument, WallTime aFrom, WallTime aUntil);

/// Time of the first planned change after aNow.
std::optional<WallTime>
NextChangeAfter(const Document& aDocument, WallTime aNow);

/// Moves the planned changes whose time has come into the states and rules, so
/// that a later edit of the same target is not undone by them.
Document
WithDueChangesApplied(const Document& aDocument, WallTime aNow);

} // namespace snipepost
