#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace snipepost::tools {

/// The decoded parts of a request target.
struct Target
{
  std::string mPath;
  std::map<std::string, std::string> mQuery;
};

/// Splits a request target and decodes its percent-encoding.
Target
ParseTarget(std::string_view aText);

/// Parses a decimal number; nothing for any other text.
std::optional<uint64_t>
ParseNumber(std::string_view aText);

} // namespace snipepost::tools
