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
  /// From an agent to the next candidate.
  DaisyChain = 1,
  Reply = 2,
  Probe = 3,
  ProbeReply = 4,
  /// Reserved; not sent at present.
  Refuse = 5,
};

/// Whether an agent accepts new flows, as stated in its load report: Ready when
/// it does, Draining when it does not. Headers without a load report contain
/// Cold; Out is reserved.
enum class AgentState : uint8_t
{
  Cold = 0,
  Ready = 1,
  Draining = 2,
  Out = 3,
};

/// Load of an agent: the slots that are used by requests in progress and the
/// length of the queue, both in 1/256 of their limits.
struct LoadReport
{
  uint8_t mUsedSlots = 0;
  uint8_t mQueue = 0;
  AgentState mState = AgentState::Cold;
  /// Not part of the load: in packets to agents, the number of leading
  /// candidates that come from the sender's current table; 0 when the sender
  /// does not state it.
  uint8_t mFromCurrentTable = 0;

  bool operator==(const LoadReport&) const = default;
};

/// Header of a datagram between snipepost processes (docs/design.md, section
/// 6). It precedes the caller's datagram.
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

/// Number of the header's candidates that come from the sender's current table.
/// Older senders do not state it; at most two are assumed for them.
uint8_t
CandidatesFromCurrentTable(const PacketHeader& aHeader);

/// Size in bytes of a header with no candidates, including the tag.
constexpr size_t kMinPacketHeaderSize = 37;

/// Size in bytes of a header with a full candidate list, including the tag.
constexpr size_t kMaxPacketHeaderSize =
  kMinPacketHeaderSize + 6 * CandidateList::kCapacity;

/// Number of leading payload bytes that the tag covers.
constexpr size_t kTaggedPayloadSize = 32;

/// Why a datagram was not accepted as a packet of a peer.
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

/// Writes header and payload to aOut, tagged with the ring's active key,
/// and returns the number of bytes written. Returns 0 when aOut is too small or
/// the payload is longer than 65,535 bytes.
size_t
EncodePacket(const PacketHeader& aHeader,
             std::span<const uint8_t> aPayload,
             std::span<uint8_t> aOut,
             const KeyRing& aKeys);

/// Reads a datagram that consists of exactly one packet. Payload bytes after
/// the first kTaggedPayloadSize are not authenticated here, but by QUIC.
std::variant<Packet, PacketError>
DecodePacket(std::span<const uint8_t> aDatagram, const KeyRing& aKeys);

} // namespace snipepost
