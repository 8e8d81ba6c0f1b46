#pragma once

#include <cstdint>
#include <optional>
#include <span>

namespace snipepost {

/// Kind of the first packet of a datagram, as routing distinguishes them.
enum class QuicPacketKind : uint8_t
{
  /// Short header. The destination connection ID was issued by an agent, so its
  /// length is known.
  Short,
  /// Long header sent before the caller knows an ID that an agent issued:
  /// Initial, 0-RTT, or any packet of a version whose types are unknown here.
  First,
  /// Handshake packet of a known version, which also has a long header.
  Handshake,
};

/// Version-independent fields of a QUIC packet (RFC 8999), and the kind of the
/// packet for versions 1 (RFC 9000) and 2 (RFC 9369).
struct QuicInvariants
{
  QuicPacketKind mKind = QuicPacketKind::Short;
  /// 0 for a short header, which carries no version.
  uint32_t mVersion = 0;
  bool mIsInitial = false;
  /// The bit 0x40 of the first byte, set by versions 1 and 2 unless greased
  /// (RFC 9287). Its absence suggests that the datagram isn't QUIC.
  bool mFixedBit = false;
  /// View into the datagram.
  std::span<const uint8_t> mDestinationId;
};

/// Parses the first packet of a datagram. The connection ID of a short header
/// is assumed to be kRouteIdSize bytes long. Returns nothing when the datagram
/// ends before the ID does, for a Version Negotiation or Retry packet, which
/// callers never send, and for an ID length that version 1 or 2 forbids.
std::optional<QuicInvariants>
ParseQuicInvariants(std::span<const uint8_t> aDatagram);

} // namespace snipepost
