#pragma once

#include <cstdint>
#include <span>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <snipepost/Base/Address.h>

namespace snipepost {

inline uint64_t
HashBytes(std::span<const uint8_t> aBytes, uint64_t aSeed = 0)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

inline uint64_t
HashWord(uint64_t aWord, uint64_t aSeed)
{
  return XXH3_64bits_withSeed(&aWord, sizeof aWord, aSeed);
}

inline uint64_t
HashAddress(const Address& aAddress, uint64_t aSeed)
{
  return HashWord((uint64_t{ aAddress.mIp } << 16) | aAddress.mPort, aSeed);
}

} // namespace snipepost
