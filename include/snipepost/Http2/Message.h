#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snipepost::http2 {

/// Header fields in order, names in lower case, without pseudo-headers.
using Headers = std::vector<std::pair<std::string, std::string>>;

/// A piece of a body, valid only during the call that passes it.
using Chunk = std::span<const uint8_t>;

/// The value of the first field with the name aName, or an empty view.
inline std::string_view
FindHeader(const Headers& aHeaders, std::string_view aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (name == aName) {
      return value;
    }
  }
  return {};
}

/// The bytes of a chunk as text.
inline std::string_view
AsText(Chunk aChunk)
{
  return { reinterpret_cast<const char*>(aChunk.data()), aChunk.size() };
}

} // namespace snipepost::http2
