#include <snipepost/Document/Edit.h>

#include <algorithm>
#include <limits>

#include <snipepost/Document/Effective.h>

namespace snipepost {

namespace {

Parsed<Document>
Failed(std::string aText)
{
  return { std::nullopt, { { "", std::move(aText) } } };
}

template<typename T>
T*
FindByName(std::vector<T>& aItems, const std::string& aName)
{
  const auto found = std::ranges::find(aItems, aName, &T::mName);
  return found == aItems.end() ? nullptr : &*found;
}

/// Returns the highest ID plus 1, or nothing if the highest ID is the maximum.
template<typename T, typename Id>
std::optional<Id>
NextId(const std::vector<T>& aItems, Id T::*aMember)
{
  Id highest;
  for (const T& item : aItems) {
    highest = std::max(highest, item.*aMember);
  }
  using Rep = typename Id::Representation;
  if (highest.Value() == std::numeric_limits<Rep>::max()) {
    return std::nullopt;
  }
  return Id(static_cast<Rep>(highest.Value() + 1));
}

std::optional<PlannedTarget>
ResolveTarget(Document& aDocument, const PlannedChangeText& aChangeText)
{
  if (aChangeText.mAction == PlannedAction::DomainOut ||
      aChangeText.mAction == PlannedAction::DomainIn) {
    const auto* domain = FindByName(aDocument.mDomains, aChangeText.mTarget);
    if (!domain) {
      return std::nullopt;
    }
    return DomainTarget{ domain->mId };
  }
  const size_t slash = aChangeText.mTarget.find('/');
  if (slash == std::string::npos) {
    return std::nullopt;
  }
  const auto* service =
    FindByName(aDocument.mServices, aChangeText.mTarget.substr(0, slash));
  const auto address = ParseAddress(aChangeText.mTarget.substr(slash + 1));
  if (!service || !address) {
    return std::nullopt;
  }
  return BackendTarget{ service->mId, *address };
}

/// Applies an edit to mDocument, a copy of the document; one overload per edit.
struct Editor
{
  Document mDocument;

  Parsed<Document> Done() { return { std::move(mDocument), {} }; }

  Parsed<Document> operator()(const AddService& aEdit)
  {
    if (FindByName(mDocument.mServices, aEdit.mName)) {
      return Failed("service " + aEdit.mName + " already exists");
    }
    Service service;
    service.mName = aEdit.mName;
    // If there is no next ID, the service gets ID 0, which validation rejects.
    const auto id = NextId(mDocument.mServices, &Service::mId);
    service.mId = id.value_or(ServiceId());
    auto parsed = WithFields(service, aEdit.mFields);
    if (!parsed.mValue) {
      return { std::nullopt, std::move(parsed.mErrors) };
    }
    mDocument.mServices.push_back(*std::move(parsed.mValue));
    return Done();
  }

  Parsed<Document> operator()(const RemoveService& aEdit)
  {
    const auto* service = FindByName(mDocument.mServices, aEdit.mName);
    if (!service) {
      return Failed("unknown service " + aEdit.mName);
    }
    const ServiceId id = service->mId;
    std::erase_if(mDocument.mServices,
                  [&](const auto& aItem) { return aItem.mId == id; });
    std::erase_if(mDocument.mBackends,
                  [&](const auto& aRule) { return aRule.mService == id; });
    std::erase_if(mDocument.mPlanned, [&](const auto& aChange) {
      const auto* target = std::get_if<BackendTarget>(&aChange.mTarget);
      return target && target->mService == id;
    });
    return Done();
  }

  Parsed<Document> operator()(const SetService& aEdit)
  {
    auto* service = FindByName(mDocument.mServices, aEdit.mName);
    if (!service) {
      return Failed("unknown service " + aEdit.mName);
    }
    auto parsed = WithFields(*service, aEdit.mFields);
    if (!parsed.mValue) {
      return { std::nullopt, std::move(parsed.mErrors) };
    }
    if (parsed.mValue->mId != service->mId) {
      return Failed("the ID of a service can't be changed, because the "
                    "connection IDs of its open flows contain it; remove the "
                    "service and add a new one");
    }
    *service = *std::move(parsed.mValue);
    return Done();
  }

  Parsed<Document> operator()(const AddDomain& aEdit)
  {
    if (FindByName(mDocument.mDomains, aEdit.mName)) {
      return Failed("failure domain " + aEdit.mName + " already exists");
    }
    const auto id =
      aEdit.mId ? aEdit.mId : NextId(mDocument.mDomains, &FailureDomain::mId);
    mDocument.mDomains.push_back(
      { id.value_or(DomainId()), aEdit.mName, DomainState::In, aEdit.mRegion });
    return Done();
  }

  Parsed<Document> operator()(const SetDomain& aEdit)
  {
    auto* domain = FindByName(mDocument.mDomains, aEdit.mName);
    if (!domain) {
      return Failed("unknown failure domain " + aEdit.mName);
    }
    domain->mState = aEdit.mState;
    return Done();
  }

  Parsed<Document> operator()(const SetBackend& aEdit)
  {
    const auto* service = FindByName(mDocument.mServices, aEdit.mService);
    if (!service) {
      return Failed("unknown service " + aEdit.mService);
    }
    const auto rule =
      std::ranges::find_if(mDocument.mBackends, [&](const auto& aItem) {
        return aItem.mService == service->mId &&
               aItem.mAddress == aEdit.mAddress;
      });
    if (rule != mDocument.mBackends.end()) {
      rule->mState = aEdit.mState;
    } else {
      mDocument.mBackends.push_back(
        { service->mId, aEdit.mAddress, aEdit.mState });
    }
    return Done();
  }

  Parsed<Document> operator()(const AddPlannedChange& aEdit)
  {
    const auto target = ResolveTarget(mDocument, aEdit.mChange);
    if (!target) {
      return Failed("unknown target " + aEdit.mChange.mTarget +
                    " (domainOut, domainIn: name of a failure domain; drain, "
                    "admit: SERVICE/IP:PORT)");
    }
    const PlannedChange change{ aEdit.mChange.mAt,
                                aEdit.mChange.mAction,
                                *target };
    if (std::ranges::count(mDocument.mPlanned, change) > 0) {
      return Failed("this change is already planned");
    }
    mDocument.mPlanned.push_back(change);
    return Done();
  }

  Parsed<Document> operator()(const RemovePlannedChange& aEdit)
  {
    const auto target = ResolveTarget(mDocument, aEdit.mChange);
    if (!target) {
      return Failed("unknown target " + aEdit.mChange.mTarget +
                    " (domainOut, domainIn: name of a failure domain; drain, "
                    "admit: SERVICE/IP:PORT)");
    }
    const PlannedChange change{ aEdit.mChange.mAt,
                                aEdit.mChange.mAction,
                                *target };
    if (std::erase(mDocument.mPlanned, change) == 0) {
      return Failed("no such planned change; it may have taken effect already");
    }
    return Done();
  }
};

} // namespace

Parsed<Document>
ApplyEdit(const Document& aDocument, const Edit& aEdit, WallTime aNow)
{
  return std::visit(Editor{ WithDueChangesApplied(aDocument, aNow) }, aEdit);
}

} // namespace snipepost
