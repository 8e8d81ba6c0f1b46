#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/KeyedTag.h>
#include <snipepost/Base/Types.h>

namespace snipepost {

/// Length in bytes of every connection ID that an agent issues.
constexpr size_t kRouteIdSize = 20;

/// The route encoded in a connection ID that an agent issued (docs/design.md,
/// section 6). Any entry instance can forward a packet by it without state.
struct RouteId
{
  ServiceId mService;
  DomainId mDomain;
  Address mAgent;
  uint16_t mIncarnation = 0;
  /// Only the low 24 bits are encoded.
  uint32_t mNonce = 0;

  bool operator==(const RouteId&) const = default;
};

/// Writes the ID, tagged with the ring's active key. The tag is the low
/// 40 bits of SipHash-2-4 over the bytes before it.
std::array<uint8_t, kRouteIdSize>
EncodeRouteId(const RouteId& aRoute, const KeyRing& aKeys);

/// Reads an ID of exactly kRouteIdSize bytes. Returns nothing when the length,
/// the format version, the key slot or the tag is wrong.
std::optional<RouteId>
DecodeRouteId(std::span<const uint8_t> aBytes, const KeyRing& aKeys);

} // namespace snipepost
