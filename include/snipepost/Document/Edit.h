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

/// Removes a service with its rules and planned changes.
struct RemoveService
{
  std::string mName;
};

struct SetService
{
  std::string mName;
  FieldTexts mFields;
};

/// Adds a failure domain that is in. Without an ID it gets the highest plus 1.
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

/// A planned change that names its target by text: a failure domain's name or
/// "<service>/<ip>:<port>".
struct PlanText
{
  WallTime mAt;
  PlannedAction mAction = PlannedAction::DomainOut;
  std::string mTarget;
};

struct AddPlanned
{
  PlanText mPlan;
};

struct RemovePlanned
{
  PlanText mPlan;
};

using Edit = std::variant<AddService,
                          RemoveService,
                          SetService,
                          AddDomain,
                          SetDomain,
                          SetBackend,
                          AddPlanned,
                          RemovePlanned>;

/// Returns the edited document or why the edit does not apply; pointers are
/// empty or relative to the service. Planned changes whose time is aNow or
/// earlier are applied first. The result is not validated.
Parsed<Document>
ApplyEdit(const Document& aDocument, const Edit& aEdit, WallTime aNow);

} // namespace snipepost
