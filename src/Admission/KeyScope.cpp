#include <snipepost/Admission/KeyScope.h>

#include <array>
#include <iterator>
#include <span>

#include <boost/algorithm/hex.hpp>

#include <snipepost/Base/Bytes.h>

namespace snipepost {

namespace {

constexpr size_t kTagBytes = 8;
constexpr size_t kTokenBytes = kKeyScopeLength / 2;
constexpr size_t kAuthenticatedBytes = kTokenBytes - kTagBytes;

using TokenBytes = std::array<uint8_t, kTokenBytes>;

/// The tag also covers a label (domain separation), because the same secrets
/// authenticate connection IDs and packet headers.
std::optional<uint64_t>
ScopeTag(const KeyRing& aKeys,
         uint8_t aSlot,
         std::span<const uint8_t> aAuthenticated)
{
  static constexpr std::array<uint8_t, 9> kLabel{ 'k', 'e', 'y', '-', 's',
                                                  'c', 'o', 'p', 'e' };
  std::array<uint8_t, kLabel.size() + kAuthenticatedBytes> input{};
  ByteWriter writer(input);
  writer.Copy(kLabel);
  writer.Copy(aAuthenticated);
  return aKeys.Tag(aSlot, input);
}

std::optional<TokenBytes>
DecodeHex(std::string_view aToken)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  if (aToken.size() != kKeyScopeLength ||
      aToken.find_first_not_of(kDigits) != std::string_view::npos) {
    return std::nullopt;
  }
  TokenBytes bytes{};
  boost::algorithm::unhex(aToken.begin(), aToken.end(), bytes.begin());
  return bytes;
}

} // namespace

std::string
WriteKeyScope(const KeyScope& aScope, const KeyRing& aKeys)
{
  TokenBytes bytes{};
  ByteWriter writer(bytes);
  writer.U32(aScope.mAgent.mIp);
  writer.U16(aScope.mAgent.mPort);
  writer.U64(aScope.mIncarnation.Value());
  writer.U32(aScope.mIssued);
  writer.U8(aKeys.ActiveSlot());
  const auto tag = ScopeTag(
    aKeys, aKeys.ActiveSlot(), std::span(bytes).first(kAuthenticatedBytes));
  writer.U64(tag.value_or(0));
  std::string token;
  token.reserve(kKeyScopeLength);
  boost::algorithm::hex_lower(
    bytes.begin(), bytes.end(), std::back_inserter(token));
  return token;
}

ParsedKeyScope
ParseKeyScope(std::string_view aToken, const KeyRing& aKeys)
{
  const auto bytes = DecodeHex(aToken);
  if (!bytes) {
    return { std::nullopt, KeyScopeError::Malformed };
  }
  ByteReader reader(*bytes);
  KeyScope scope;
  scope.mAgent.mIp = reader.U32();
  scope.mAgent.mPort = reader.U16();
  scope.mIncarnation = Incarnation(reader.U64());
  scope.mIssued = reader.U32();
  const uint8_t slot = reader.U8();
  const auto tag =
    ScopeTag(aKeys, slot, std::span(*bytes).first(kAuthenticatedBytes));
  if (!tag || !TagsEqual(*tag, reader.U64())) {
    return { std::nullopt, KeyScopeError::Unverified };
  }
  return { scope, {} };
}

ParsedKeyScope
ParseIdempotencyKey(std::string_view aKey, const KeyRing& aKeys)
{
  const size_t dot = aKey.find('.');
  if (dot == std::string_view::npos || dot + 1 == aKey.size()) {
    return { std::nullopt, KeyScopeError::Malformed };
  }
  for (const char character : aKey.substr(dot + 1)) {
    if (character < '!' || character > '~') {
      return { std::nullopt, KeyScopeError::Malformed };
    }
  }
  return ParseKeyScope(aKey.substr(0, dot), aKeys);
}

} // namespace snipepost
