#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/KeyedTag.h>
#include <snipepost/Base/Types.h>

namespace snipepost {

/// The scope of idempotency keys: identifies the agent that keeps their
/// records.
struct KeyScope
{
  Address mAgent;
  Incarnation mIncarnation;
  /// Issue time in whole seconds of the agent's monotonic clock.
  uint32_t mIssued = 0;

  bool operator==(const KeyScope&) const = default;
};

/// Length of a scope token: 27 bytes as hexadecimal digits.
constexpr size_t kKeyScopeLength = 54;

/// Encodes a scope as a token: lower-case hexadecimal digits of the address (4
/// bytes), port (2), incarnation (8), issue time (4), key ring slot (1) and
/// SipHash-2-4 tag (8).
std::string
WriteKeyScope(const KeyScope& aScope, const KeyRing& aKeys);

/// Why a token was not accepted as a scope of this deployment.
enum class KeyScopeError : uint8_t
{
  /// The text doesn't have the format of a token.
  Malformed,
  /// The tag doesn't verify; the secret may have been replaced since the token
  /// was issued.
  Unverified
};

/// Result of parsing. mError is valid only without a scope.
struct ParsedKeyScope
{
  std::optional<KeyScope> mScope;
  KeyScopeError mError = KeyScopeError::Malformed;
};

ParsedKeyScope
ParseKeyScope(std::string_view aToken, const KeyRing& aKeys);

/// Parses the scope of an idempotency key "<scope>.<caller's unique part>".
/// The unique part consists of 1 or more printable ASCII characters.
ParsedKeyScope
ParseIdempotencyKey(std::string_view aKey, const KeyRing& aKeys);

} // namespace snipepost
