#pragma once

#include <string>
#include <vector>

#include <snipepost/Document/Document.h>

namespace snipepost {

/// One line per difference that operators made, for example
/// "service sizing-desk: minEndpoints 3 -> 4". Generation, submission ID and
/// change record are not compared.
std::vector<std::string>
Diff(const Document& aFrom, const Document& aTo);

} // namespace snipepost
