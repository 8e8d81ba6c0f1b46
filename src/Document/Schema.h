#pragma once

#include <array>
#include <string_view>
#include <tuple>
#include <utility>

#include <snipepost/Document/Codec.h>
#include <snipepost/Document/Document.h>

namespace snipepost {

/// A JSON field and the struct member with its value.
template<typename T, typename M>
struct Field
{
  const char* mKey;
  M T::*mMember;
  bool mRequired = false;
};

template<typename T, typename M>
Field(const char*, M T::*) -> Field<T, M>;

template<typename T, typename M>
Field(const char*, M T::*, bool) -> Field<T, M>;

/// Specialized for each struct: kFields, in the order in which they are
/// written.
template<typename T>
struct StructFields;

/// Specialized for each enum: kNames, the JSON name of each value.
template<typename E>
struct EnumNames;

template<>
struct EnumNames<ServiceClass>
{
  static constexpr std::array<std::pair<ServiceClass, std::string_view>, 2>
    kNames{ { { ServiceClass::Interactive, "interactive" },
              { ServiceClass::Bulk, "bulk" } } };
};

template<>
struct EnumNames<AdmissionMode>
{
  static constexpr std::array<std::pair<AdmissionMode, std::string_view>, 2>
    kNames{ { { AdmissionMode::Automatic, "automatic" },
              { AdmissionMode::Manual, "manual" } } };
};

template<>
struct EnumNames<DomainState>
{
  static constexpr std::array<std::pair<DomainState, std::string_view>, 2>
    kNames{ { { DomainState::In, "in" }, { DomainState::Out, "out" } } };
};

template<>
struct EnumNames<BackendRuleState>
{
  static constexpr std::array<std::pair<BackendRuleState, std::string_view>, 2>
    kNames{ { { BackendRuleState::Admitted, "admitted" },
              { BackendRuleState::Draining, "draining" } } };
};

template<>
struct EnumNames<PlannedAction>
{
  static constexpr std::array<std::pair<PlannedAction, std::string_view>, 4>
    kNames{ { { PlannedAction::DomainOut, "domainOut" },
              { PlannedAction::DomainIn, "domainIn" },
              { PlannedAction::Drain, "drain" },
              { PlannedAction::Admit, "admit" } } };
};

template<>
struct StructFields<Service>
{
  static constexpr auto kFields =
    std::tuple(Field{ "id", &Service::mId, true },
               Field{ "name", &Service::mName, true },
               Field{ "address", &Service::mAddress, true },
               Field{ "class", &Service::mClass },
               Field{ "slots", &Service::mSlots },
               Field{ "connections", &Service::mConnections },
               Field{ "deadlineMs", &Service::mDeadline },
               Field{ "rampSeconds", &Service::mRamp },
               Field{ "minEndpoints", &Service::mMinEndpoints },
               Field{ "admission", &Service::mAdmission });
};

template<>
struct StructFields<FailureDomain>
{
  static constexpr auto kFields =
    std::tuple(Field{ "id", &FailureDomain::mId, true },
               Field{ "name", &FailureDomain::mName, true },
               Field{ "state", &FailureDomain::mState, true },
               Field{ "region", &FailureDomain::mRegion, true });
};

template<>
struct StructFields<BackendRule>
{
  static constexpr auto kFields =
    std::tuple(Field{ "service", &BackendRule::mService, true },
               Field{ "address", &BackendRule::mAddress, true },
               Field{ "state", &BackendRule::mState, true });
};

template<>
struct StructFields<DomainTarget>
{
  static constexpr auto kFields =
    std::tuple(Field{ "domain", &DomainTarget::mDomain, true });
};

template<>
struct StructFields<BackendTarget>
{
  static constexpr auto kFields =
    std::tuple(Field{ "service", &BackendTarget::mService, true },
               Field{ "address", &BackendTarget::mAddress, true });
};

template<>
struct StructFields<PlannedChange>
{
  static constexpr auto kFields =
    std::tuple(Field{ "at", &PlannedChange::mAt, true },
               Field{ "action", &PlannedChange::mAction, true },
               Field{ "target", &PlannedChange::mTarget, true });
};

template<>
struct StructFields<ChangeRecord>
{
  static constexpr auto kFields =
    std::tuple(Field{ "by", &ChangeRecord::mBy, true },
               Field{ "at", &ChangeRecord::mAt, true },
               Field{ "from", &ChangeRecord::mFrom, true },
               Field{ "changes", &ChangeRecord::mChanges, true });
};

template<>
struct StructFields<Document>
{
  static constexpr auto kFields =
    std::tuple(Field{ "deployment", &Document::mDeployment, true },
               Field{ "generation", &Document::mGeneration, true },
               Field{ "submission", &Document::mSubmission, true },
               Field{ "change", &Document::mChange, true },
               Field{ "services", &Document::mServices, true },
               Field{ "failureDomains", &Document::mDomains, true },
               Field{ "backends", &Document::mBackends },
               Field{ "plannedChanges", &Document::mPlanned });
};

template<>
struct StructFields<AuditEntry>
{
  static constexpr auto kFields =
    std::tuple(Field{ "to", &AuditEntry::mTo, true },
               Field{ "submission", &AuditEntry::mSubmission, true },
               Field{ "change", &AuditEntry::mChange, true });
};

} // namespace snipepost
