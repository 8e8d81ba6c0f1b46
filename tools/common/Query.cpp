#include "Query.h"

#include <algorithm>
#include <charconv>

namespace snipepost::tools {

namespace {

std::string
Decode(std::string_view aText)
{
  std::string decoded;
  for (size_t i = 0; i < aText.size(); ++i) {
    unsigned value = 0;
    const char* begin = aText.data() + i + 1;
    if (aText[i] == '%' && aText.size() - i > 2 &&
        std::from_chars(begin, begin + 2, value, 16).ptr == begin + 2) {
      decoded += static_cast<char>(value);
      i += 2;
    } else {
      decoded += aText[i];
    }
  }
  return decoded;
}

} // namespace

Target
ParseTarget(std::string_view aText)
{
  Target target;
  const size_t mark = aText.find('?');
  target.mPath = Decode(aText.substr(0, mark));
  std::string_view query =
    mark == std::string_view::npos ? "" : aText.substr(mark + 1);
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    const size_t equals = std::min(pair.find('='), pair.size());
    target.mQuery[Decode(pair.substr(0, equals))] =
      Decode(pair.substr(std::min(pair.size(), equals + 1)));
  }
  return target;
}

std::optional<uint64_t>
ParseNumber(std::string_view aText)
{
  uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, value);
  if (error != std::errc{} || rest != end) {
    return std::nullopt;
  }
  return value;
}

} // namespace snipepost::tools
