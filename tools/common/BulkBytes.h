#pragma once

#include <array>
#include <bit>
#include <cstdint>
#include <cstring>
#include <span>
#include <string>

#include <xxhash.h>

namespace snipepost::tools {

static_assert(std::endian::native == std::endian::little);

/// Writes the bytes of the bulk body with seed aSeed from aOffset on. Byte i of
/// the body is byte i % 8 (little-endian) of the XXH64 hash, with that seed, of
/// the 8-byte little-endian block number i / 8. `backend` sends these bytes and
/// `callers` verifies them.
inline void
FillBulkBytes(uint64_t aSeed, uint64_t aOffset, std::span<uint8_t> aOut)
{
  size_t done = 0;
  while (done < aOut.size()) {
    const uint64_t at = aOffset + done;
    const uint64_t block = at / 8;
    const uint64_t hash = XXH64(&block, sizeof block, aSeed);
    std::array<uint8_t, 8> bytes;
    std::memcpy(bytes.data(), &hash, sizeof hash);
    for (size_t i = at % 8; i < 8 && done < aOut.size(); ++i) {
      aOut[done++] = bytes[i];
    }
  }
}

/// Generates a bulk body from its start, chunk by chunk.
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
    std::string bytes(aCount, '\0');
    FillBulkBytes(mSeed,
                  mOffset,
                  { reinterpret_cast<uint8_t*>(bytes.data()), bytes.size() });
    mOffset += aCount;
    return bytes;
  }

private:
  uint64_t mSeed;
  uint64_t mOffset = 0;
};

} // namespace snipepost::tools
