#include "src/Ctl/EditWords.h"

#include <algorithm>
#include <charconv>

namespace snipepost {

namespace {

using Words = std::vector<std::string>;
using Result = std::variant<Edit, std::string>;

/// Parses "field=value" words from the fourth one on.
std::optional<FieldTexts>
Fields(const Words& aWords)
{
  FieldTexts fields;
  for (size_t i = 3; i < aWords.size(); ++i) {
    const size_t equals = aWords[i].find('=');
    if (equals == std::string::npos || equals == 0) {
      return std::nullopt;
    }
    fields.emplace_back(aWords[i].substr(0, equals),
                        aWords[i].substr(equals + 1));
  }
  return fields;
}

template<typename E>
Result
ServiceFields(const Options& aOptions)
{
  const auto fields = Fields(aOptions.mWords);
  if (!fields || fields->empty()) {
    return "service add|set NAME FIELD=VALUE...";
  }
  return Edit(E{ aOptions.mWords[2], *fields });
}

Result
ServiceRemove(const Options& aOptions)
{
  return Edit(RemoveService{ aOptions.mWords[2] });
}

Result
DomainAdd(const Options& aOptions)
{
  const Words& words = aOptions.mWords;
  AddDomain edit{ words[2], words[3], std::nullopt };
  if (words.size() == 5) {
    uint8_t id = 0;
    const char* end = words[4].data() + words[4].size();
    const auto [rest, error] = std::from_chars(words[4].data(), end, id);
    if (error != std::errc{} || rest != end) {
      return "domain add NAME REGION [ID], with an ID from 1 to 255";
    }
    edit.mId = DomainId(id);
  }
  return Edit(edit);
}

template<DomainState State>
Result
DomainSet(const Options& aOptions)
{
  return Edit(SetDomain{ aOptions.mWords[2], State });
}

template<BackendState State>
Result
BackendSet(const Options& aOptions)
{
  const auto address = ParseAddress(aOptions.mWords[3]);
  if (!address) {
    return "backend drain|admit SERVICE IP:PORT";
  }
  return Edit(SetBackend{ aOptions.mWords[2], *address, State });
}

template<typename E>
Result
Plan(const Options& aOptions)
{
  static constexpr std::pair<const char*, PlannedAction> kActions[] = {
    { "domainOut", PlannedAction::DomainOut },
    { "domainIn", PlannedAction::DomainIn },
    { "drain", PlannedAction::Drain },
    { "admit", PlannedAction::Admit },
  };
  for (const auto& [name, action] : kActions) {
    if (aOptions.mWords[2] == name && aOptions.mAt) {
      return Edit(E{ { *aOptions.mAt, action, aOptions.mWords[3] } });
    }
  }
  return "plan add|remove domainOut|domainIn|drain|admit TARGET --at TIME";
}

struct EditCommand
{
  const char* mNoun;
  const char* mVerb;
  size_t mMinWords;
  size_t mMaxWords;
  Result (*mParse)(const Options&);
};

constexpr size_t kAny = 64;
constexpr EditCommand kCommands[] = {
  { "service", "add", 4, kAny, ServiceFields<AddService> },
  { "service", "set", 4, kAny, ServiceFields<SetService> },
  { "service", "remove", 3, 3, ServiceRemove },
  { "domain", "add", 4, 5, DomainAdd },
  { "domain", "out", 3, 3, DomainSet<DomainState::Out> },
  { "domain", "in", 3, 3, DomainSet<DomainState::In> },
  { "backend", "drain", 4, 4, BackendSet<BackendState::Draining> },
  { "backend", "admit", 4, 4, BackendSet<BackendState::Admitted> },
  { "plan", "add", 4, 4, Plan<AddPlanned> },
  { "plan", "remove", 4, 4, Plan<RemovePlanned> },
};

const EditCommand*
Find(const Words& aWords)
{
  for (const EditCommand& command : kCommands) {
    if (aWords.size() >= 2 && aWords[0] == command.mNoun &&
        aWords[1] == command.mVerb) {
      return &command;
    }
  }
  return nullptr;
}

} // namespace

bool
IsEdit(const Options& aOptions)
{
  return Find(aOptions.mWords) != nullptr;
}

Result
ParseEdit(const Options& aOptions)
{
  const EditCommand* command = Find(aOptions.mWords);
  const size_t count = aOptions.mWords.size();
  if (!command || count < command->mMinWords || count > command->mMaxWords) {
    return "wrong number of arguments; see --help";
  }
  return command->mParse(aOptions);
}

} // namespace snipepost
