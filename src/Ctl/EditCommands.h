#pragma once

#include <optional>
#include <string>
#include <variant>

#include <snipepost/Document/Edit.h>

#include "src/Ctl/Options.h"

namespace snipepost {

/// True if the first two positional arguments are an edit command.
bool
IsEdit(const Options& aOptions);

/// Parses an edit command. Returns the edit, or the usage of the command.
std::variant<Edit, std::string>
ParseEdit(const Options& aOptions);

} // namespace snipepost
