#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include <snipepost/Cluster/GossipCore.h>
#include <snipepost/Flow/Packet.h>

namespace snipepost::flow {

/// Why an agent did not take an opening packet.
enum class Refusal : uint8_t
{
  /// No reason: the packet was taken.
  None,
  /// Load is above what this offer accepts; a later offer may be taken.
  Busy,
  /// The backend server holds or queues no more.
  Full,
  /// A cold backend server has had its share of this second.
  Cold,
  Draining,
  Evacuated,
  /// The address belongs to another service now.
  WrongService,
  /// The agent knows too little since its start.
  NotReady,
  /// The backend server does not answer.
  Silent,
};

std::string_view
ToString(Refusal aRefusal);

/// An agent's answer to an opening packet.
struct OfferReply
{
  FlowId mFlow;
  /// The caller's initial sequence number tells flows of one port apart.
  uint32_t mCallerSequence = 0;
  Refusal mRefusal = Refusal::None;
  /// The backend server's initial sequence number, when taken.
  uint32_t mBackendSequence = 0;
  /// Requests that the backend server processes or queues.
  uint16_t mLoad = 0;
  uint16_t mSlots = 1;
  /// The backend server started a short while ago and is slow.
  bool mCold = false;

  bool operator==(const OfferReply&) const = default;
};

/// An agent tells an entry instance whether it owns a flow that the entry
/// instance sent a packet of.
struct OwnerNotice
{
  FlowId mFlow;
  bool mOwned = false;

  bool operator==(const OwnerNotice&) const = default;
};

/// Everything that nodes send each other on the internal UDP port.
using NodeMessage = std::variant<cluster::Digest, OfferReply, OwnerNotice>;

/// Largest encoded message in bytes.
constexpr size_t kMaxNodeMessage = 256;

std::vector<uint8_t>
EncodeMessage(const NodeMessage& aMessage);

/// Nothing when the bytes are not a whole message of this version.
std::optional<NodeMessage>
DecodeMessage(std::span<const uint8_t> aBytes);

} // namespace snipepost::flow
