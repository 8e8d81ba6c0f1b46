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

/// Why an agent refused a SYN.
enum class Refusal : uint8_t
{
  /// The SYN was accepted.
  None,
  /// No free slot, or the backend server has reset a flow and the request is
  /// not idempotent; the final offer may still be accepted.
  Busy,
  /// The limit of flows or the queue limit is reached, or the wait is too long.
  Full,
  /// The cold backend server's limit for this second is reached.
  Cold,
  Draining,
  Evacuated,
  /// The address now belongs to another service.
  WrongService,
  /// The agent has not received the shared state or the first heartbeat yet.
  NotReady,
  /// The backend server does not respond.
  Silent,
  /// The backend server resets its flows. Entry instances of the previous
  /// version can't decode it and wait for the reply timeout.
  Failing,
  /// The agent holds the SYN, and will forward it to its backend server or
  /// refuse it later. Sent only to entry instances that set
  /// Packet::mReadsWaits.
  Queued,
};

std::string_view
ToString(Refusal aRefusal);

/// The time that a new flow with a given priority would wait at an agent.
struct ReportedWait
{
  /// 0 is the most urgent.
  uint8_t mPriority = 0;
  /// Encoded in whole milliseconds, up to 65,535.
  Duration mWait{};

  bool operator==(const ReportedWait&) const = default;
};

/// An agent's reply to an offered SYN.
struct OfferReply
{
  FlowTuple mFlow;
  /// The caller's initial sequence number, which distinguishes successive flows
  /// from one port.
  uint32_t mCallerSequence = 0;
  Refusal mRefusal = Refusal::None;
  /// The backend server's initial sequence number, when accepted.
  uint32_t mBackendSequence = 0;
  /// Requests that the backend server processes or queues.
  uint16_t mLoad = 0;
  uint16_t mSlots = 1;
  /// The backend server started recently and is still slow.
  bool mCold = false;
  /// Expected waits by priority, most urgent first. A reply with waits, or with
  /// Refusal::Queued, has a type of its own, which entry instances of the
  /// previous version can't decode.
  std::vector<ReportedWait> mWaits;
  /// Mean service time of the backend server; nothing while it is unknown.
  /// Encoded in whole milliseconds from 1 to 65,535, like mUtilisation only in
  /// replies with waits, and only while kMaxWaits allows a further entry.
  std::optional<Duration> mServiceTime;
  /// Utilisation of the backend server in per mille, at most 1000. Encoded
  /// after mServiceTime.
  std::optional<uint16_t> mUtilisation;
  /// The agent reads Packet::mReadsWaits. Not encoded for a cold backend
  /// server, unless the reply has waits or is Refusal::Queued.
  bool mAnnouncesWaits = false;

  /// Limit of the waits and the values after them; further ones are not
  /// encoded.
  static constexpr size_t kMaxWaits = 4;
  /// Least urgent priority that is reported. Less urgent routes count as this
  /// one, because two further values have a meaning of their own in messages.
  static constexpr uint8_t kMaxPriority = 253;
  /// Most slots that a reply with waits reports; more are encoded as this many.
  /// Above it, entry instances would take some replies for callers' packets.
  static constexpr uint16_t kMaxSlots = 511;

  bool operator==(const OfferReply&) const = default;
};

/// Notifies an entry instance whether the agent owns a flow, after the entry
/// instance sent it a packet of that flow.
struct OwnerNotice
{
  FlowTuple mFlow;
  bool mOwned = false;

  bool operator==(const OwnerNotice&) const = default;
};

/// Reply to an owner lookup: no incarnation of the agent's backend server that
/// is still running owns the flow.
struct OwnerExclusion
{
  FlowTuple mFlow;
  /// Version of the agent's records. When they are newer than those of the
  /// entry instance, it may not know the owner yet.
  cluster::PartVersion mRecords;

  bool operator==(const OwnerExclusion&) const = default;
};

/// A message between nodes on the internal UDP port.
using NodeMessage =
  std::variant<cluster::Digest, OfferReply, OwnerNotice, OwnerExclusion>;

/// Largest encoded message in bytes.
constexpr size_t kMaxNodeMessage = 256;

std::vector<uint8_t>
EncodeMessage(const NodeMessage& aMessage);

/// Nothing when the bytes are not exactly one message of this version.
std::optional<NodeMessage>
DecodeMessage(std::span<const uint8_t> aBytes);

} // namespace snipepost::flow
