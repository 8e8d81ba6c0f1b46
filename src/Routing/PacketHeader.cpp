#include <snipepost/Routing/PacketHeader.h>

#include <algorithm>
#include <limits>
#include <optional>

#include <snipepost/Base/Bytes.h>

namespace snipepost {

namespace {

constexpr uint16_t kMagic = 0x5350; // "SP"
constexpr uint8_t kVersion = 1;
constexpr size_t kTagSize = 8;

void
WriteAddress(ByteWriter& aWriter, const Address& aAddress)
{
  aWriter.U32(aAddress.mIp);
  aWriter.U16(aAddress.mPort);
}

Address
ReadAddress(ByteReader& aReader)
{
  Address address;
  address.mIp = aReader.U32();
  address.mPort = aReader.U16();
  return address;
}

// The header and the payload that the tag covers are separated by the tag, so
// they are copied into one buffer.
std::optional<uint64_t>
ComputeTag(uint8_t aSlot,
           std::span<const uint8_t> aHeader,
           std::span<const uint8_t> aPayload,
           const KeyRing& aKeys)
{
  std::array<uint8_t, kMaxPacketHeaderSize - kTagSize + kTaggedPayloadSize>
    covered;
  ByteWriter writer(covered);
  writer.Copy(aHeader);
  writer.Copy(aPayload.first(std::min(aPayload.size(), kTaggedPayloadSize)));
  return aKeys.Tag(aSlot, std::span(covered).first(writer.Used()));
}

// Reads the fields from the hop count to the candidates. Returns false when a
// field has an invalid value.
bool
ReadFields(ByteReader& aReader, uint8_t aType, PacketHeader& aHeader)
{
  if (aType > static_cast<uint8_t>(PacketType::Refuse)) {
    return false;
  }
  aHeader.mType = static_cast<PacketType>(aType);
  aHeader.mHopCount = aReader.U8();
  aHeader.mService = ServiceId(aReader.U16());
  aHeader.mGeneration = Generation(aReader.U64());
  aHeader.mCaller = ReadAddress(aReader);
  aHeader.mLoad.mUsedSlots = aReader.U8();
  aHeader.mLoad.mQueue = aReader.U8();
  const uint8_t state = aReader.U8();
  aHeader.mLoad.mState = static_cast<AgentState>(state);
  aHeader.mLoad.mFromCurrentTable = aReader.U8();
  const uint8_t count = aReader.U8();
  if (state > static_cast<uint8_t>(AgentState::Out) ||
      count > CandidateList::kCapacity) {
    return false;
  }
  for (uint8_t i = 0; i < count; ++i) {
    if (!aHeader.mCandidates.Add(ReadAddress(aReader)) && aReader.Ok()) {
      return false;
    }
  }
  return true;
}

} // namespace

uint8_t
CandidatesFromCurrentTable(const PacketHeader& aHeader)
{
  constexpr uint8_t kDefaultFromCurrentTable = 2;
  const uint8_t stated = aHeader.mLoad.mFromCurrentTable;
  const auto count = static_cast<uint8_t>(aHeader.mCandidates.Size());
  return std::min(count, stated == 0 ? kDefaultFromCurrentTable : stated);
}

size_t
EncodePacket(const PacketHeader& aHeader,
             std::span<const uint8_t> aPayload,
             std::span<uint8_t> aOut,
             const KeyRing& aKeys)
{
  if (aPayload.size() > std::numeric_limits<uint16_t>::max()) {
    return 0;
  }
  ByteWriter writer(aOut);
  writer.U16(kMagic);
  writer.U8(kVersion);
  writer.U8(static_cast<uint8_t>(aHeader.mType));
  writer.U8(aKeys.ActiveSlot());
  writer.U8(aHeader.mHopCount);
  writer.U16(aHeader.mService.Value());
  writer.U64(aHeader.mGeneration.Value());
  WriteAddress(writer, aHeader.mCaller);
  writer.U8(aHeader.mLoad.mUsedSlots);
  writer.U8(aHeader.mLoad.mQueue);
  writer.U8(static_cast<uint8_t>(aHeader.mLoad.mState));
  writer.U8(aHeader.mLoad.mFromCurrentTable);
  writer.U8(static_cast<uint8_t>(aHeader.mCandidates.Size()));
  for (const Address& candidate : aHeader.mCandidates.View()) {
    WriteAddress(writer, candidate);
  }
  writer.U16(static_cast<uint16_t>(aPayload.size()));
  const auto tag =
    ComputeTag(aKeys.ActiveSlot(), aOut.first(writer.Used()), aPayload, aKeys);
  writer.U64(tag.value());
  writer.Copy(aPayload);
  return writer.Ok() ? writer.Used() : 0;
}

std::variant<Packet, PacketError>
DecodePacket(std::span<const uint8_t> aDatagram, const KeyRing& aKeys)
{
  ByteReader reader(aDatagram);
  const uint16_t magic = reader.U16();
  const uint8_t version = reader.U8();
  const uint8_t type = reader.U8();
  const uint8_t slot = reader.U8();
  if (!reader.Ok()) {
    return PacketError::Truncated;
  }
  if (magic != kMagic) {
    return PacketError::BadMagic;
  }
  if (version != kVersion) {
    return PacketError::BadVersion;
  }
  Packet packet;
  if (!ReadFields(reader, type, packet.mHeader)) {
    return PacketError::BadField;
  }
  const size_t length = reader.U16();
  const auto covered = aDatagram.first(aDatagram.size() - reader.Rest().size());
  const uint64_t tag = reader.U64();
  if (!reader.Ok()) {
    return PacketError::Truncated;
  }
  packet.mPayload = reader.Rest();
  if (packet.mPayload.size() != length) {
    return PacketError::BadLength;
  }
  const auto expected = ComputeTag(slot, covered, packet.mPayload, aKeys);
  if (!expected || !TagsEqual(*expected, tag)) {
    return PacketError::BadTag;
  }
  return packet;
}

} // namespace snipepost
