#pragma once

#include <algorithm>
#include <bit>
#include <cstdint>
#include <cstring>
#include <string>

#include <xxhash.h>

namespace snipepost::tools {

/// The bytes that a backend server sends for /bulk/<bytes>/<seed>, so that a
/// caller can check each one. Block i of 8 bytes is XXH3-64 with that seed of i
/// as a little-endian 64-bit number, stored in little-endian order.
class BulkBytes
{
public:
  explicit BulkBytes(uint64_t aSeed)
    : mSeed(aSeed)
  {
  }

  /// The next aCount bytes.
  std::string Next(size_t aCount)
  {
    static_assert(std::endian::native == std::endian::little);
    std::string bytes(aCount, '\0');
    for (size_t at = 0; at < aCount;) {
      const uint64_t index = mOffset / sizeof mSeed;
      const uint64_t block = XXH3_64bits_withSeed(&index, sizeof index, mSeed);
      const size_t skip = mOffset % sizeof block;
      const size_t count = std::min(sizeof block - skip, aCount - at);
      std::memcpy(
        bytes.data() + at, reinterpret_cast<const char*>(&block) + skip, count);
      at += count;
      mOffset += count;
    }
    return bytes;
  }

private:
  uint64_t mSeed;
  uint64_t mOffset = 0;
};

} // namespace snipepost::tools
