#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace snipepost {

/// A 16-byte secret shared by all processes of a deployment.
using SecretKey = std::array<uint8_t, 16>;

/// Parses 32 hexadecimal digits. Returns nothing for any other text.
std::optional<SecretKey>
ParseSecretKey(std::string_view aText);

/// Up to two secrets, so that a key can be rotated: tags of both are accepted,
/// new tags use the active one. Each tag is sent with the slot (0 or 1) of its
/// secret.
class KeyRing
{
public:
  static constexpr size_t kSlots = 2;

  /// Creates a ring with one secret, in aSlot (0 or 1).
  explicit KeyRing(const SecretKey& aKey, uint8_t aSlot = 0);

  /// Adds or replaces the secret in aSlot (0 or 1); its tags are then accepted.
  void Install(const SecretKey& aKey, uint8_t aSlot);

  /// Uses the secret in aSlot for new tags. The slot must hold a secret.
  void Activate(uint8_t aSlot);

  uint8_t ActiveSlot() const { return mActive; }

  /// SipHash-2-4 (Aumasson and Bernstein, 2012) of the bytes under the secret
  /// in aSlot; nothing when the slot is empty or out of range.
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
