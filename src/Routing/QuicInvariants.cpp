#include <snipepost/Routing/QuicInvariants.h>

#include <snipepost/Base/Bytes.h>
#include <snipepost/Routing/RouteId.h>

namespace snipepost {

namespace {

constexpr uint8_t kLongHeaderBit = 0x80;
constexpr uint8_t kFixedBit = 0x40;
constexpr uint32_t kVersion1 = 0x00000001;
constexpr uint32_t kVersion2 = 0x6b3343cf;
// Limits of the connection ID's length in versions 1 and 2. The minimum is that
// of the first Initial (RFC 9000, section 7.2). Every later ID that a caller
// uses was issued by an agent and is longer.
constexpr size_t kMaxIdSize = 20;
constexpr size_t kMinIdSize = 8;

enum class LongType : uint8_t
{
  Initial = 0,
  ZeroRtt = 1,
  Handshake = 2,
  Retry = 3,
};

// Version 2 shifts the type numbers of version 1 by one (RFC 9369, 3.2).
LongType
LongTypeOf(uint8_t aFirstByte, uint32_t aVersion)
{
  const int code = (aFirstByte >> 4) & 3;
  return static_cast<LongType>(aVersion == kVersion2 ? (code + 3) & 3 : code);
}

bool
ClassifyKnownVersion(uint8_t aFirstByte, QuicInvariants& aPacket)
{
  const LongType type = LongTypeOf(aFirstByte, aPacket.mVersion);
  const size_t size = aPacket.mDestinationId.size();
  if (type == LongType::Retry || size > kMaxIdSize || size < kMinIdSize) {
    return false;
  }
  aPacket.mIsInitial = type == LongType::Initial;
  aPacket.mKind = type == LongType::Handshake ? QuicPacketKind::Handshake
                                              : QuicPacketKind::First;
  return true;
}

} // namespace

std::optional<QuicInvariants>
ParseQuicInvariants(std::span<const uint8_t> aDatagram)
{
  ByteReader reader(aDatagram);
  QuicInvariants packet;
  const uint8_t first = reader.U8();
  packet.mFixedBit = (first & kFixedBit) != 0;
  if ((first & kLongHeaderBit) == 0) {
    packet.mDestinationId = reader.Take(kRouteIdSize);
    return reader.Ok() ? std::optional(packet) : std::nullopt;
  }
  packet.mVersion = reader.U32();
  packet.mDestinationId = reader.Take(reader.U8());
  if (!reader.Ok() || packet.mVersion == 0) {
    return std::nullopt;
  }
  if (packet.mVersion == kVersion1 || packet.mVersion == kVersion2) {
    return ClassifyKnownVersion(first, packet) ? std::optional(packet)
                                               : std::nullopt;
  }
  packet.mKind = QuicPacketKind::First;
  return packet;
}

} // namespace snipepost
