#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/Types.h>

namespace snipepost {

enum class ServiceClass
{
  Interactive,
  Bulk,
};

/// Handling of a backend server without a rule: it is used at once, or only
/// after an operator has admitted it.
enum class AdmissionMode
{
  Automatic,
  Manual,
};

/// A service: the address that callers use and the limits of each endpoint.
struct Service
{
  ServiceId mId;
  std::string mName;
  Address mAddress;
  ServiceClass mClass = ServiceClass::Interactive;
  /// Maximum number of requests in progress per endpoint.
  uint32_t mSlots = 4;
  /// Maximum number of open flows per endpoint.
  uint32_t mConnections = 2000;
  /// Deadline of requests that do not carry one.
  std::chrono::milliseconds mDeadline{ 5000 };
  /// Time over which the request limit of a cold endpoint grows to mSlots.
  std::chrono::seconds mRamp{ 20 };
  /// Documents that leave fewer usable endpoints than this are rejected.
  uint32_t mMinEndpoints = 0;
  AdmissionMode mAdmission = AdmissionMode::Automatic;

  bool operator==(const Service&) const = default;
};

enum class DomainState
{
  In,
  Out,
};

struct FailureDomain
{
  DomainId mId;
  std::string mName;
  DomainState mState = DomainState::In;
  std::string mRegion;

  bool operator==(const FailureDomain&) const = default;
};

enum class BackendRuleState
{
  Admitted,
  Draining,
};

/// An operator's decision about one backend server of one service.
struct BackendRule
{
  ServiceId mService;
  Address mAddress;
  BackendRuleState mState = BackendRuleState::Admitted;

  bool operator==(const BackendRule&) const = default;
};

enum class PlannedAction
{
  DomainOut,
  DomainIn,
  Drain,
  Admit,
};

struct DomainTarget
{
  DomainId mDomain;

  auto operator<=>(const DomainTarget&) const = default;
};

struct BackendTarget
{
  ServiceId mService;
  Address mAddress;

  auto operator<=>(const BackendTarget&) const = default;
};

/// A failure domain for DomainOut and DomainIn, a backend server for Drain and
/// Admit.
using PlannedTarget = std::variant<DomainTarget, BackendTarget>;

/// A change that takes effect automatically at mAt.
struct PlannedChange
{
  WallTime mAt;
  PlannedAction mAction = PlannedAction::DomainOut;
  PlannedTarget mTarget;

  bool operator==(const PlannedChange&) const = default;
};

/// Operator, time, base generation and changes of a generation.
struct ChangeRecord
{
  std::string mBy;
  WallTime mAt;
  Generation mFrom;
  std::vector<std::string> mChanges;

  bool operator==(const ChangeRecord&) const = default;
};

/// The configuration of one deployment.
struct Document
{
  std::string mDeployment;
  Generation mGeneration;
  SubmissionId mSubmission;
  ChangeRecord mChange;
  std::vector<Service> mServices;
  std::vector<FailureDomain> mDomains;
  std::vector<BackendRule> mBackends;
  std::vector<PlannedChange> mPlanned;

  bool operator==(const Document&) const = default;
};

/// An error in a document and its location (JSON pointer, RFC 6901).
struct DocumentError
{
  std::string mPointer;
  std::string mText;

  bool operator==(const DocumentError&) const = default;
};

} // namespace snipepost
