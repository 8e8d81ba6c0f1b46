#include "tests/platform/soak/FlowSegment.h"

#include <algorithm>

#include <xxhash.h>

#include <snipepost/Base/Bytes.h>

#include "platform/PacketCodec.h"

namespace snipepost::soak {

namespace {

constexpr uint32_t kChecksumSeed = 0x5eed1234;
constexpr size_t kFlagsOffset = 8;
constexpr size_t kMarkOffset = 9;
constexpr size_t kServiceTagOffset = 10;
constexpr size_t kChecksumOffset = 28;
constexpr uint8_t kReturnedFlag = 1;
constexpr uint8_t kResetFlag = 16;

uint32_t
Checksum(std::span<const uint8_t> aBytes)
{
  std::vector<uint8_t> covered(aBytes.begin(), aBytes.end());
  // Fields that the load balancer and the backend server change are not
  // covered.
  covered[kFlagsOffset] &= static_cast<uint8_t>(~kReturnedFlag);
  covered[kMarkOffset] = 0;
  std::fill_n(covered.begin() + kServiceTagOffset, 4, 0);
  std::fill_n(covered.begin() + kChecksumOffset, 4, 0);
  // Never 0, which marks resets of the load balancer.
  return XXH32(covered.data(), covered.size(), kChecksumSeed) | 1U;
}

} // namespace

std::vector<uint8_t>
Encode(const FlowSegment& aSegment)
{
  std::vector<uint8_t> bytes(platform::kPacketHeaderSize +
                             aSegment.mData.size());
  ByteWriter out(bytes);
  out.U32(aSegment.mSequence);
  out.U32(aSegment.mAck);
  out.U8(static_cast<uint8_t>(
    (aSegment.mSyn ? 64 : 0) | (aSegment.mHasAck ? 32 : 0) |
    (aSegment.mFin ? 8 : 0) | (aSegment.mReset ? 16 : 0)));
  out.U8(0);  // Transit mark.
  out.U32(0); // Service tag.
  out.U16(aSegment.mTo.mPort);
  out.U16(aSegment.mFrom.mPort);
  out.U32(aSegment.mFrom.mIp);
  out.U32(aSegment.mTo.mIp);
  out.U16(static_cast<uint16_t>(aSegment.mData.size()));
  out.U32(0); // Checksum; written below.
  std::ranges::copy(aSegment.mData,
                    bytes.begin() + platform::kPacketHeaderSize);
  ByteWriter(std::span(bytes).subspan(kChecksumOffset)).U32(Checksum(bytes));
  return bytes;
}

Origin
OriginOf(std::span<const uint8_t> aBytes)
{
  if (aBytes.size() < platform::kPacketHeaderSize) {
    return Origin::Unknown;
  }
  const uint32_t checksum = ByteReader(aBytes.subspan(kChecksumOffset)).U32();
  if (checksum == 0 && aBytes.size() == platform::kPacketHeaderSize &&
      aBytes[kFlagsOffset] == kResetFlag) {
    return Origin::LoadBalancer;
  }
  return checksum == Checksum(aBytes) ? Origin::Endpoint : Origin::Unknown;
}

std::string
DataOf(std::span<const uint8_t> aBytes)
{
  const auto data = aBytes.subspan(platform::kPacketHeaderSize);
  return { data.begin(), data.end() };
}

std::vector<uint8_t>
MarkReturned(std::span<const uint8_t> aBytes)
{
  std::vector<uint8_t> bytes(aBytes.begin(), aBytes.end());
  bytes[kFlagsOffset] |= kReturnedFlag;
  bytes[kMarkOffset] = 0;
  return bytes;
}

} // namespace snipepost::soak
