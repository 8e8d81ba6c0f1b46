#include "src/Ctl/EditCommands.h"

#include <algorithm>
#include <charconv>

namespace snipepost {

namespace {

using Arguments = std::vector<std::string>;
using Result = std::variant<Edit, std::string>;

/// Parses the "field=value" arguments, from the fourth argument on.
std::optional<FieldTexts>
ParseFields(const Arguments& aArguments)
{
  FieldTexts fields;
  for (size_t i = 3; i < aArguments.size(); ++i) {
    const size_t equals = aArguments[i].find('=');
    if (equals == std::string::npos || equals == 0) {
      return std::nullopt;
    }
    fields.emplace_back(aArguments[i].substr(0, equals),
                        aArguments[i].substr(equals + 1));
  }
  return fields;
}

template<typename E>
Result
ParseServiceFields(const Options& aOptions)
{
  const auto fields = ParseFields(aOptions.mPositional);
  if (!fields || fields->empty()) {
    return "service add|set NAME FIELD=VALUE...";
  }
  return Edit(E{ aOptions.mPositional[2], *fields });
}

Result
ParseServiceRemove(const Options& aOptions)
{
  return Edit(RemoveService{ aOptions.mPositional[2] });
}

Result
ParseDomainAdd(const Options& aOptions)
{
  const Arguments& arguments = aOptions.mPositional;
  AddDomain edit{ arguments[2], arguments[3], std::nullopt };
  if (arguments.size() == 5) {
    uint8_t id = 0;
    const char* end = arguments[4].data() + arguments[4].size();
    const auto [rest, error] = std::from_chars(arguments[4].data(), end, id);
    if (error != std::errc{} || rest != end) {
      return "domain add NAME REGION [ID], with an ID from 1 to 255";
    }
    edit.mId = DomainId(id);
  }
  return Edit(edit);
}

template<DomainState State>
Result
ParseDomainSet(const Options& aOptions)
{
  return Edit(SetDomain{ aOptions.mPositional[2], State });
}

template<BackendRuleState State>
Result
ParseBackendSet(const Options& aOptions)
{
  const auto address = ParseAddress(aOptions.mPositional[3]);
  if (!address) {
    return "backend drain|admit SERVICE IP:PORT";
  }
  return Edit(SetBackend{ aOptions.mPositional[2], *address, State });
}

template<typename E>
Result
ParsePlannedChange(const Options& aOptions)
{
  static constexpr std::pair<const char*, PlannedAction> kActions[] = {
    { "domainOut", PlannedAction::DomainOut },
    { "domainIn", PlannedAction::DomainIn },
    { "drain", PlannedAction::Drain },
    { "admit", PlannedAction::Admit },
  };
  for (const auto& [name, action] : kActions) {
    if (aOptions.mPositional[2] == name && aOptions.mAt) {
      return Edit(E{ { *aOptions.mAt, action, aOptions.mPositional[3] } });
    }
  }
  return "plan add|remove domainOut|domainIn|drain|admit TARGET --at TIME";
}

struct EditCommand
{
  const char* mNoun;
  const char* mVerb;
  size_t mMinArguments;
  size_t mMaxArguments;
  Result (*mParse)(const Options&);
};

constexpr size_t kMaxArguments = 64;
constexpr EditCommand kCommands[] = {
  { "service", "add", 4, kMaxArguments, ParseServiceFields<AddService> },
  { "service", "set", 4, kMaxArguments, ParseServiceFields<SetService> },
  { "service", "remove", 3, 3, ParseServiceRemove },
  { "domain", "add", 4, 5, ParseDomainAdd },
  { "domain", "out", 3, 3, ParseDomainSet<DomainState::Out> },
  { "domain", "in", 3, 3, ParseDomainSet<DomainState::In> },
  { "backend", "drain", 4, 4, ParseBackendSet<BackendRuleState::Draining> },
  { "backend", "admit", 4, 4, ParseBackendSet<BackendRuleState::Admitted> },
  { "plan", "add", 4, 4, ParsePlannedChange<AddPlannedChange> },
  { "plan", "remove", 4, 4, ParsePlannedChange<RemovePlannedChange> },
};

const EditCommand*
FindCommand(const Arguments& aArguments)
{
  for (const EditCommand& command : kCommands) {
    if (aArguments.size() >= 2 && aArguments[0] == command.mNoun &&
        aArguments[1] == command.mVerb) {
      return &command;
    }
  }
  return nullptr;
}

} // namespace

bool
IsEdit(const Options& aOptions)
{
  return FindCommand(aOptions.mPositional) != nullptr;
}

Result
ParseEdit(const Options& aOptions)
{
  const EditCommand* command = FindCommand(aOptions.mPositional);
  const size_t count = aOptions.mPositional.size();
  if (!command || count < command->mMinArguments ||
      count > command->mMaxArguments) {
    return "see --help (wrong number of arguments)";
  }
  return command->mParse(aOptions);
}

} // namespace snipepost
