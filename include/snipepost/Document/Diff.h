#pragma once

#include <string>
#include <vector>

#include <snipepost/Document/Document.h>

namespace snipepost {

/// Returns one line per difference, for example
/// "service sizing-desk: minEndpoints 3 -> 4". Generation, submission ID and
/// change record are not compared, because operators do not edit them.
std::vector<std::string>
Diff(const Document& aFrom, const Document& aTo);

} // namespace snipepost
