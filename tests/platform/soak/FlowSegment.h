#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include <snipepost/Flow/Packet.h>

namespace snipepost::soak {

/// A packet that a caller or a backend server sends.
struct FlowSegment
{
  Address mFrom;
  Address mTo;
  uint32_t mSequence = 0;
  uint32_t mAck = 0;
  bool mSyn = false;
  bool mHasAck = false;
  bool mFin = false;
  bool mReset = false;
  std::string mData;
};

/// Encodes the packet, with the checksum that callers and backend servers use.
std::vector<uint8_t>
Encode(const FlowSegment& aSegment);

/// The sender of a received packet, according to its checksum.
enum class Origin
{
  /// A caller or a backend server; the packet arrived unmodified.
  Endpoint,
  /// The load balancer; it creates no other packets than resets.
  LoadBalancer,
  /// The checksum does not match, e.g. because the packet was modified.
  Unknown,
};

Origin
OriginOf(std::span<const uint8_t> aBytes);

/// The payload of a packet.
std::string
DataOf(std::span<const uint8_t> aBytes);

/// A copy of the packet with the flag by which a backend server returns packets
/// that it does not accept.
std::vector<uint8_t>
MarkReturned(std::span<const uint8_t> aBytes);

} // namespace snipepost::soak
