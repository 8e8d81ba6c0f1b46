#include <snipepost/Routing/ProxyHeader.h>

#include <algorithm>

#include <snipepost/Base/Bytes.h>

namespace snipepost {

namespace {

constexpr std::array<uint8_t, 12> kSignature{ 0x0d, 0x0a, 0x0d, 0x0a,
                                              0x00, 0x0d, 0x0a, 0x51,
                                              0x55, 0x49, 0x54, 0x0a };
constexpr uint8_t kVersion2Proxy = 0x21;
constexpr uint8_t kDgramOverIpv4 = 0x12;
constexpr uint16_t kAddressBytes = 12;

} // namespace

std::array<uint8_t, kProxyHeaderSize>
EncodeProxyHeader(const ProxyHeader& aHeader)
{
  std::array<uint8_t, kProxyHeaderSize> bytes{};
  ByteWriter writer(bytes);
  writer.Copy(kSignature);
  writer.U8(kVersion2Proxy);
  writer.U8(kDgramOverIpv4);
  writer.U16(kAddressBytes);
  writer.U32(aHeader.mSource.mIp);
  writer.U32(aHeader.mDestination.mIp);
  writer.U16(aHeader.mSource.mPort);
  writer.U16(aHeader.mDestination.mPort);
  return bytes;
}

std::optional<ProxiedDatagram>
DecodeProxied(std::span<const uint8_t> aDatagram)
{
  ByteReader reader(aDatagram);
  const auto signature = reader.Take(kSignature.size());
  const uint8_t command = reader.U8();
  const uint8_t family = reader.U8();
  const auto block = reader.Take(reader.U16());
  if (!reader.Ok() || !std::ranges::equal(signature, kSignature) ||
      command != kVersion2Proxy || family != kDgramOverIpv4 ||
      block.size() < kAddressBytes) {
    return std::nullopt;
  }
  ByteReader addresses(block);
  ProxiedDatagram proxied;
  proxied.mHeader.mSource.mIp = addresses.U32();
  proxied.mHeader.mDestination.mIp = addresses.U32();
  proxied.mHeader.mSource.mPort = addresses.U16();
  proxied.mHeader.mDestination.mPort = addresses.U16();
  proxied.mPayload = reader.Rest();
  return proxied;
}

} // namespace snipepost
