#pragma once

#include <optional>
#include <string>
#include <variant>

#include <snipepost/Document/Codec.h>
#include <snipepost/Document/Document.h>

namespace snipepost {

/// Adds a service. Without an "id" field it gets the highest ID plus 1.
struct AddService
{
  std::string mName;
  FieldTexts mFields;
};

/// Removes a service together with its rules and planned changes.
struct RemoveService
{
  std::string mName;
};

struct SetService
{
  std::string mName;
  FieldTexts mFields;
};

/// Adds a failure domain in state DomainState::In. Without an ID it gets the
/// highest ID plus 1.
struct AddDomain
{
  std::string mName;
  std::string mRegion;
  std::optional<DomainId> mId;
};

struct SetDomain
{
  std::string mName;
  DomainState mState = DomainState::In;
};

struct SetBackend
{
  std::string mService;
  Address mAddress;
  BackendRuleState mState = BackendRuleState::Admitted;
};

/// A planned change whose target is given as text: the name of a failure domain
/// or "<service>/<ip>:<port>".
struct PlannedChangeText
{
  WallTime mAt;
  PlannedAction mAction = PlannedAction::DomainOut;
  std::string mTarget;
};

struct AddPlannedChange
{
  PlannedChangeText mChange;
};

struct RemovePlannedChange
{
  PlannedChangeText mChange;
};

using Edit = std::variant<AddService,
                          RemoveService,
                          SetService,
                          AddDomain,
                          SetDomain,
                          SetBackend,
                          AddPlannedChange,
                          RemovePlannedChange>;

/// Returns the edited document, or the errors if the edit can't be applied;
/// their pointers are empty or relative to the service. Planned changes whose
/// time is aNow or earlier are applied first. The result is not validated.
Parsed<Document>
ApplyEdit(const Document& aDocument, const Edit& aEdit, WallTime aNow);

} // namespace snipepost
