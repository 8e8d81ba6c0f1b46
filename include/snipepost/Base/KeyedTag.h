#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace snipepost {

/// A 16-byte secret key shared by all processes of a deployment.
using SecretKey = std::array<uint8_t, 16>;

/// Parses 32 hexadecimal digits. Returns nothing for any other text.
std::optional<SecretKey>
ParseSecretKey(std::string_view aText);

/// Up to two keys, so that they can be rotated: tags made with either key are
/// accepted, new tags use the active key. Each tag is sent with the slot (0 or
/// 1) of its key.
class KeyRing
{
public:
  static constexpr size_t kSlots = 2;

  /// Creates a ring with one key, in aSlot (0 or 1).
  explicit KeyRing(const SecretKey& aKey, uint8_t aSlot = 0);

  /// Adds or replaces the key in aSlot (0 or 1); its tags are then accepted.
  void Install(const SecretKey& aKey, uint8_t aSlot);

  /// Uses the key in aSlot for new tags. The slot must not be empty.
  void Activate(uint8_t aSlot);

  uint8_t ActiveSlot() const { return mActive; }

  /// SipHash-2-4 (Aumasson and Bernstein, 2012) of the bytes with the key in
  /// aSlot; nothing when the slot is empty or out of range.
  std::optional<uint64_t> Tag(uint8_t aSlot,
                              std::span<const uint8_t> aBytes) const;

private:
  std::array<std::optional<SecretKey>, kSlots> mKeys;
  uint8_t mActive = 0;
};

/// Compares two tags in constant time.
bool
TagsEqual(uint64_t aLeft, uint64_t aRight);

} // namespace snipepost
