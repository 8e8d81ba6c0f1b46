#pragma once

#include <optional>
#include <string>
#include <variant>

#include <snipepost/Document/Edit.h>

#include "src/Ctl/Options.h"

namespace snipepost {

/// True when the first two words are an edit command.
bool
IsEdit(const Options& aOptions);

/// The edit that the words describe, or how they should read.
std::variant<Edit, std::string>
ParseEdit(const Options& aOptions);

} // namespace snipepost
