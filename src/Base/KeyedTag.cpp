#include <snipepost/Base/KeyedTag.h>

#include <cassert>
#include <charconv>
#include <cstring>

#include <sodium.h>

namespace snipepost {

static_assert(crypto_shorthash_KEYBYTES == sizeof(SecretKey));
static_assert(crypto_shorthash_BYTES == sizeof(uint64_t));

std::optional<SecretKey>
ParseSecretKey(std::string_view aText)
{
  SecretKey key;
  size_t length = 0;
  const char* end = nullptr;
  if (aText.size() != 2 * key.size() ||
      sodium_hex2bin(key.data(),
                     key.size(),
                     aText.data(),
                     aText.size(),
                     nullptr,
                     &length,
                     &end) != 0 ||
      length != key.size() || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return key;
}

KeyRing::KeyRing(const SecretKey& aKey, uint8_t aSlot)
{
  Install(aKey, aSlot);
  Activate(aSlot);
}

void
KeyRing::Install(const SecretKey& aKey, uint8_t aSlot)
{
  assert(aSlot < kSlots);
  mKeys[aSlot] = aKey;
}

void
KeyRing::Activate(uint8_t aSlot)
{
  assert(aSlot < kSlots && mKeys[aSlot]);
  mActive = aSlot;
}

std::optional<uint64_t>
KeyRing::Tag(uint8_t aSlot, std::span<const uint8_t> aBytes) const
{
  if (aSlot >= kSlots || !mKeys[aSlot]) {
    return std::nullopt;
  }
  std::array<uint8_t, crypto_shorthash_BYTES> hash;
  crypto_shorthash(
    hash.data(), aBytes.data(), aBytes.size(), mKeys[aSlot]->data());
  uint64_t tag = 0;
  std::memcpy(&tag, hash.data(), sizeof tag);
  return tag;
}

bool
TagsEqual(uint64_t aLeft, uint64_t aRight)
{
  return sodium_memcmp(&aLeft, &aRight, sizeof aLeft) == 0;
}

} // namespace snipepost
