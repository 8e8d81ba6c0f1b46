#pragma once

#include <cstdint>
#include <cstring>
#include <span>
#include <type_traits>
#include <vector>

#include <snipepost/Flow/Packet.h>

namespace snipepost::flow {

// The models encode a packet as a copy of the struct.
static_assert(std::is_trivially_copyable_v<Packet>);

inline std::vector<uint8_t>
Encode(const Packet& aPacket)
{
  std::vector<uint8_t> bytes(sizeof aPacket);
  std::memcpy(bytes.data(), &aPacket, sizeof aPacket);
  return bytes;
}

inline Packet
Decode(std::span<const uint8_t> aBytes)
{
  Packet packet;
  std::memcpy(&packet, aBytes.data(), sizeof packet);
  return packet;
}

} // namespace snipepost::flow
