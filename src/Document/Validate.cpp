#include <snipepost/Document/Validate.h>

#include <algorithm>
#include <map>
#include <string>

#include "src/Document/CapacityCheck.h"

namespace snipepost {

namespace {

/// Limits names, because they become part of object keys and command lines.
constexpr size_t kMaxNameBytes = 64;

using Errors = std::vector<DocumentError>;

struct Range
{
  const char* mKey;
  uint64_t (*mValue)(const Service&);
  uint64_t mMin;
  uint64_t mMax;
};

// The limits of slots and connections bound the agent's memory. A deadline over
// a day or a ramp over an hour is probably given in the wrong unit.
constexpr Range kServiceRanges[] = {
  { "id",
    [](const Service& aService) -> uint64_t { return aService.mId.Value(); },
    1,
    65535 },
  { "slots",
    [](const Service& aService) -> uint64_t { return aService.mSlots; },
    1,
    4096 },
  { "connections",
    [](const Service& aService) -> uint64_t { return aService.mConnections; },
    1,
    1000000 },
  { "deadlineMs",
    [](const Service& aService) -> uint64_t {
      return aService.mDeadline.count();
    },
    1,
    86400000 },
  { "rampSeconds",
    [](const Service& aService) -> uint64_t { return aService.mRamp.count(); },
    0,
    3600 },
  { "minEndpoints",
    [](const Service& aService) -> uint64_t { return aService.mMinEndpoints; },
    0,
    65535 },
};

std::string
PointerTo(const char* aList, size_t aIndex, const char* aField)
{
  return std::string("/") + aList + "/" + std::to_string(aIndex) + aField;
}

void
CheckName(const std::string& aName, std::string aPointer, Errors& aErrors)
{
  const bool valid = std::ranges::all_of(aName, [](char aChar) {
    return (aChar >= 'a' && aChar <= 'z') || (aChar >= '0' && aChar <= '9') ||
           aChar == '-';
  });
  if (aName.empty() || aName.size() > kMaxNameBytes || !valid) {
    aErrors.push_back(
      { std::move(aPointer), "must be 1 to 64 characters of a-z, 0-9 and -" });
  }
}

/// Reports aValue if an earlier item of the same list has it, too.
template<typename T>
void
CheckUnique(std::map<T, size_t>& aSeen,
            const T& aValue,
            size_t aIndex,
            std::string aPointer,
            Errors& aErrors)
{
  const auto [seen, isNew] = aSeen.emplace(aValue, aIndex);
  if (!isNew) {
    aErrors.push_back(
      { std::move(aPointer),
        "has the same ID, name, address, or time and target as item " +
          std::to_string(seen->second) });
  }
}

void
CheckServices(const Document& aDocument, Errors& aErrors)
{
  std::map<ServiceId, size_t> ids;
  std::map<std::string, size_t> names;
  std::map<Address, size_t> addresses;
  const char* list = "services";
  for (size_t i = 0; i < aDocument.mServices.size(); ++i) {
    const Service& service = aDocument.mServices[i];
    CheckName(service.mName, PointerTo(list, i, "/name"), aErrors);
    CheckUnique(ids, service.mId, i, PointerTo(list, i, "/id"), aErrors);
    CheckUnique(names, service.mName, i, PointerTo(list, i, "/name"), aErrors);
    CheckUnique(
      addresses, service.mAddress, i, PointerTo(list, i, "/address"), aErrors);
    for (const Range& range : kServiceRanges) {
      const uint64_t value = range.mValue(service);
      if (value < range.mMin || value > range.mMax) {
        aErrors.push_back({ PointerTo(list, i, "/") + range.mKey,
                            "is " + std::to_string(value) + ", must be from " +
                              std::to_string(range.mMin) + " to " +
                              std::to_string(range.mMax) });
      }
    }
  }
}

void
CheckDomains(const Document& aDocument, Errors& aErrors)
{
  std::map<DomainId, size_t> ids;
  std::map<std::string, size_t> names;
  const char* list = "failureDomains";
  for (size_t i = 0; i < aDocument.mDomains.size(); ++i) {
    const FailureDomain& domain = aDocument.mDomains[i];
    CheckName(domain.mName, PointerTo(list, i, "/name"), aErrors);
    CheckName(domain.mRegion, PointerTo(list, i, "/region"), aErrors);
    CheckUnique(ids, domain.mId, i, PointerTo(list, i, "/id"), aErrors);
    CheckUnique(names, domain.mName, i, PointerTo(list, i, "/name"), aErrors);
    if (domain.mId.Value() == 0) {
      aErrors.push_back(
        { PointerTo(list, i, "/id"), "is 0, must be from 1 to 255" });
    }
  }
}

bool
HasService(const Document& aDocument, ServiceId aId)
{
  return std::ranges::count(aDocument.mServices, aId, &Service::mId) > 0;
}

void
CheckBackends(const Document& aDocument, Errors& aErrors)
{
  std::map<BackendTarget, size_t> seen;
  const char* list = "backends";
  for (size_t i = 0; i < aDocument.mBackends.size(); ++i) {
    const BackendRule& rule = aDocument.mBackends[i];
    const BackendTarget target{ rule.mService, rule.mAddress };
    CheckUnique(seen, target, i, PointerTo(list, i, ""), aErrors);
    if (!HasService(aDocument, rule.mService)) {
      aErrors.push_back(
        { PointerTo(list, i, "/service"),
          "no service has ID " + std::to_string(rule.mService.Value()) });
    }
  }
}

void
CheckTarget(const Document& aDocument,
            const PlannedChange& aChange,
            const std::string& aPointer,
            Errors& aErrors)
{
  const bool needsDomain = aChange.mAction == PlannedAction::DomainOut ||
                           aChange.mAction == PlannedAction::DomainIn;
  const auto* domain = std::get_if<DomainTarget>(&aChange.mTarget);
  if (needsDomain != (domain != nullptr)) {
    aErrors.push_back({ aPointer,
                        needsDomain ? "this action needs a failure domain"
                                    : "this action needs a backend server" });
    return;
  }
  if (domain && std::ranges::count(aDocument.mDomains,
                                   domain->mDomain,
                                   &FailureDomain::mId) == 0) {
    aErrors.push_back({ aPointer + "/domain",
                        "no failure domain has ID " +
                          std::to_string(domain->mDomain.Value()) });
  }
  const auto* backend = std::get_if<BackendTarget>(&aChange.mTarget);
  if (backend && !HasService(aDocument, backend->mService)) {
    aErrors.push_back(
      { aPointer + "/service",
        "no service has ID " + std::to_string(backend->mService.Value()) });
  }
}

void
CheckPlannedChanges(const Document& aDocument, Errors& aErrors)
{
  std::map<std::pair<WallTime, PlannedTarget>, size_t> seen;
  const char* list = "plannedChanges";
  for (size_t i = 0; i < aDocument.mPlanned.size(); ++i) {
    const PlannedChange& change = aDocument.mPlanned[i];
    CheckTarget(aDocument, change, PointerTo(list, i, "/target"), aErrors);
    // The result of two changes of one target at the same time would depend on
    // the order of the list.
    CheckUnique(seen,
                std::pair(change.mAt, change.mTarget),
                i,
                PointerTo(list, i, ""),
                aErrors);
  }
}

} // namespace

Errors
Validate(const Document& aDocument, const ValidationContext& aContext)
{
  Errors errors;
  CheckName(aDocument.mDeployment, "/deployment", errors);
  CheckServices(aDocument, errors);
  CheckDomains(aDocument, errors);
  CheckBackends(aDocument, errors);
  CheckPlannedChanges(aDocument, errors);
  CheckCapacity(aDocument, aContext, errors);
  return errors;
}

} // namespace snipepost
