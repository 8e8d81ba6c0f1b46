#include <snipepost/Routing/RouteId.h>

#include <snipepost/Base/Bytes.h>

namespace snipepost {

namespace {

constexpr uint8_t kFormatVersion = 1;
constexpr size_t kTaggedSize = 15;
constexpr uint64_t kTagMask = (uint64_t{ 1 } << 40) - 1;

uint64_t
ReadTag(ByteReader& aReader)
{
  const uint64_t high = aReader.U8();
  return (high << 32) | aReader.U32();
}

} // namespace

std::array<uint8_t, kRouteIdSize>
EncodeRouteId(const RouteId& aRoute, const KeyRing& aKeys)
{
  std::array<uint8_t, kRouteIdSize> bytes{};
  ByteWriter writer(bytes);
  const uint8_t slot = aKeys.ActiveSlot();
  writer.U8(static_cast<uint8_t>((kFormatVersion << 4) | slot));
  writer.U16(aRoute.mService.Value());
  writer.U8(aRoute.mDomain.Value());
  writer.U32(aRoute.mAgent.mIp);
  writer.U16(aRoute.mAgent.mPort);
  writer.U16(aRoute.mIncarnation);
  writer.U8(static_cast<uint8_t>(aRoute.mNonce >> 16));
  writer.U16(static_cast<uint16_t>(aRoute.mNonce));
  const auto tag = aKeys.Tag(slot, std::span(bytes).first(kTaggedSize));
  writer.U8(static_cast<uint8_t>(tag.value() >> 32));
  writer.U32(static_cast<uint32_t>(tag.value()));
  return bytes;
}

std::optional<RouteId>
DecodeRouteId(std::span<const uint8_t> aBytes, const KeyRing& aKeys)
{
  if (aBytes.size() != kRouteIdSize || aBytes[0] >> 4 != kFormatVersion) {
    return std::nullopt;
  }
  const auto tag = aKeys.Tag(aBytes[0] & 0xf, aBytes.first(kTaggedSize));
  if (!tag) {
    return std::nullopt;
  }
  ByteReader tagReader(aBytes.subspan(kTaggedSize));
  if (!TagsEqual(ReadTag(tagReader), *tag & kTagMask)) {
    return std::nullopt;
  }
  ByteReader reader(aBytes.subspan(1));
  std::optional<RouteId> route(std::in_place);
  route->mService = ServiceId(reader.U16());
  route->mDomain = DomainId(reader.U8());
  route->mAgent.mIp = reader.U32();
  route->mAgent.mPort = reader.U16();
  route->mIncarnation = reader.U16();
  const uint32_t high = reader.U8();
  route->mNonce = (high << 16) | reader.U16();
  return route;
}

} // namespace snipepost
