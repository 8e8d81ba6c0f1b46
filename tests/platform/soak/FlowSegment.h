#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include <snipepost/Flow/Packet.h>

namespace snipepost::soak {

/// A packet as an end of a flow writes it.
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

/// Encodes the packet with the checksum of the ends.
std::vector<uint8_t>
Encode(const FlowSegment& aSegment);

/// What the checksum of a received packet says.
enum class Origin
{
  /// Written by an end of the flow and unchanged.
  End,
  /// A reset of the system.
  System,
  Forged,
};

Origin
OriginOf(std::span<const uint8_t> aBytes);

/// The data of a packet.
std::string
DataOf(std::span<const uint8_t> aBytes);

/// The packet as a backend server returns it that does not take it.
std::vector<uint8_t>
Returned(std::span<const uint8_t> aBytes);

} // namespace snipepost::soak
