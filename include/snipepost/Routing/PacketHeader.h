#pragma once

#include <cstdint>
#include <span>
#include <variant>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/KeyedTag.h>
#include <snipepost/Base/Types.h>
#include <snipepost/Routing/CandidateList.h>

namespace snipepost {

enum class PacketType : uint8_t
{
  Forward = 0,
  HandOn = 1,
  Reply = 2,
  Probe = 3,
  ProbeReply = 4,
  Refuse = 5,
};

/// What an agent says about new flows in its load report.
enum class AgentState : uint8_t
{
  Cold = 0,
  Ready = 1,
  Draining = 2,
  Out = 3,
};

/// Load of an agent. Used slots and queue length are in 1/256 of their limits.
struct LoadReport
{
  uint8_t mUsedSlots = 0;
  uint8_t mQueue = 0;
  AgentState mState = AgentState::Cold;
  /// In packets towards agents, how many candidates at the head of the list the
  /// sender's present table gave; 0 when the sender does not say.
  uint8_t mPresent = 0;

  bool operator==(const LoadReport&) const = default;
};

/// Header of a datagram between snipepost processes (section 6 of the design
/// page). It precedes the caller's datagram.
struct PacketHeader
{
  PacketType mType = PacketType::Forward;
  uint8_t mHopCount = 0;
  ServiceId mService;
  Generation mGeneration;
  Address mCaller;
  LoadReport mLoad;
  CandidateList mCandidates;

  bool operator==(const PacketHeader&) const = default;
};

/// Candidates of the header that come from the sender's present table. Older
/// senders do not say; then they are the first two.
uint8_t
PresentCandidates(const PacketHeader& aHeader);

/// Bytes of a header with no candidates, tag included.
constexpr size_t kMinPacketHeaderSize = 37;

/// Bytes of a header with a full candidate list, tag included.
constexpr size_t kMaxPacketHeaderSize =
  kMinPacketHeaderSize + 6 * CandidateList::kCapacity;

/// Number of leading payload bytes that the tag covers.
constexpr size_t kTaggedPayloadSize = 32;

/// Why a datagram is not a packet of a peer.
enum class PacketError : uint8_t
{
  Truncated,
  BadMagic,
  BadVersion,
  BadField,
  BadLength,
  BadTag,
};

/// A decoded packet. The payload is a view into the datagram.
struct Packet
{
  PacketHeader mHeader;
  std::span<const uint8_t> mPayload;
};

/// Writes header and payload to aOut, tagged under the ring's active secret,
/// and returns the number of bytes written. Returns 0 when aOut is too small or
/// the payload is longer than 65,535 bytes.
size_t
EncodePacket(const PacketHeader& aHeader,
             std::span<const uint8_t> aPayload,
             std::span<uint8_t> aOut,
             const KeyRing& aKeys);

/// Reads a datagram that consists of exactly one packet. Payload bytes after
/// the first kTaggedPayloadSize are not authenticated here; QUIC does that.
std::variant<Packet, PacketError>
DecodePacket(std::span<const uint8_t> aDatagram, const KeyRing& aKeys);

} // namespace snipepost
