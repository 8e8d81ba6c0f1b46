#pragma once

#include <cstdint>
#include <span>

#include <snipepost/Base/Types.h>
#include <snipepost/Flow/Packet.h>

namespace snipepost::flow {

/// Sends an entry instance's packets.
class EntryOutput
{
public:
  virtual ~EntryOutput() = default;

  /// Sends a caller's packet to an agent with the given transit fields.
  /// aReadsWaits is Packet::mReadsWaits; it is true for offers only.
  virtual void SendToAgent(std::span<const uint8_t> aBytes,
                           const Address& aAgent,
                           uint32_t aServiceTag,
                           TransitMark aMark,
                           bool aReadsWaits) = 0;
  /// Responds to a caller's packet with a reset.
  virtual void SendReset(const Packet& aPacket) = 0;
};

} // namespace snipepost::flow
