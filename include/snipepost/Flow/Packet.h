#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string_view>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/Types.h>

namespace snipepost::flow {

/// Identifies a flow by the caller's address and the service address.
struct FlowTuple
{
  Address mCaller;
  Address mService;

  auto operator<=>(const FlowTuple&) const = default;
};

/// How an agent handles a packet. For flows in its table, only OwnerLookup has
/// an effect.
enum class TransitMark : uint8_t
{
  /// The sender considers the receiver the owner of the flow.
  Owner = 0,
  /// The packet is sent to several agents; only the owner delivers it.
  OwnerLookup = 1,
  /// SYN: accept the flow only when a slot is free.
  OfferIfFree = 2,
  /// SYN: no other agent has a free slot; accept the flow when it can be served
  /// in time.
  OfferFinal = 3,
};

/// The header of a packet, decoded by the platform adapter.
struct Packet
{
  Address mSource;
  Address mDestination;
  uint32_t mSequence = 0;
  /// In a SYN the number of the retransmission; 0 in the first SYN.
  uint32_t mAcknowledgement = 0;
  bool mSyn = false;
  bool mAck = false;
  bool mFin = false;
  bool mReset = false;
  /// The backend server did not accept the packet and returned it.
  bool mReturned = false;
  uint16_t mLength = 0;
  /// Header field for use between nodes: ServiceTag() in a SYN, else 0.
  uint32_t mServiceTag = 0;
  TransitMark mMark = TransitMark::Owner;
  /// SYN: the sender offers flows only to their candidates (CandidateTable).
  /// Entry instances of the previous version do not.
  bool mOfferedToCandidate = false;
  /// SYN: the sender decodes replies with waits and Refusal::Queued. Set only
  /// for agents that have announced support (OfferReply::mAnnouncesWaits);
  /// others would take the mark for an unknown one.
  bool mReadsWaits = false;

  bool IsSyn() const { return mSyn && !mAck; }
  bool IsSynAck() const { return mSyn && mAck; }
};

/// The flow of a packet that a caller sent, or that a backend server returned.
inline FlowTuple
CallerFlow(const Packet& aPacket)
{
  return { aPacket.mSource, aPacket.mDestination };
}

/// The flow of a packet that a backend server sent.
inline FlowTuple
BackendFlow(const Packet& aPacket)
{
  return { aPacket.mDestination, aPacket.mSource };
}

/// Hash of a flow; the same on every node.
uint64_t
FlowHash(const FlowTuple& aFlow);

/// Hash of a service name, by which an agent detects a SYN for another service
/// that used its address before.
uint32_t
ServiceTag(std::string_view aService);

} // namespace snipepost::flow

template<>
struct std::hash<snipepost::flow::FlowTuple>
{
  size_t operator()(const snipepost::flow::FlowTuple& aFlow) const noexcept
  {
    return snipepost::flow::FlowHash(aFlow);
  }
};
