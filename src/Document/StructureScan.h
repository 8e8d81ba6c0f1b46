#pragma once

#include <string_view>
#include <vector>

#include <snipepost/Document/Document.h>

namespace snipepost {

/// Scans JSON text for errors that a parsed value no longer shows: repeated
/// fields in an object, nesting deeper than kMaxDocumentDepth, and a syntax
/// error with its position.
std::vector<DocumentError>
ScanStructure(std::string_view aText);

} // namespace snipepost
