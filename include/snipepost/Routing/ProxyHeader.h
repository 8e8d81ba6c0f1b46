#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>

#include <snipepost/Base/Address.h>

namespace snipepost {

/// Addresses in the PROXY protocol version 2 header (command PROXY, DGRAM over
/// IPv4) of datagrams between entry instances and the fabric, the network that
/// connects them to callers.
struct ProxyHeader
{
  Address mSource;
  Address mDestination;

  bool operator==(const ProxyHeader&) const = default;
};

/// Size in bytes of the header that EncodeProxyHeader writes.
constexpr size_t kProxyHeaderSize = 28;

/// A datagram from the fabric. The payload is a view into it.
struct ProxiedDatagram
{
  ProxyHeader mHeader;
  std::span<const uint8_t> mPayload;
};

/// Writes the header, without TLVs. The payload follows it in the datagram.
std::array<uint8_t, kProxyHeaderSize>
EncodeProxyHeader(const ProxyHeader& aHeader);

/// Reads a datagram with its header; TLVs are skipped. Returns nothing for
/// another signature, version, command, address family or transport, and for a
/// header that is longer than the datagram.
std::optional<ProxiedDatagram>
DecodeProxied(std::span<const uint8_t> aDatagram);

} // namespace snipepost
