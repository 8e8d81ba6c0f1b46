#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string_view>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/Types.h>

namespace snipepost::flow {

/// Identifies a flow: the caller's address and the service address it called.
struct FlowId
{
  Address mCaller;
  Address mService;

  auto operator<=>(const FlowId&) const = default;
};

/// How an agent is to treat a packet of a flow that it does not know.
enum class TransitMark : uint8_t
{
  /// The sender takes the receiver for the owner of the flow.
  Owner = 0,
  /// The sender asks several agents; only the owner delivers the packet.
  Locate = 1,
  /// Opening packets: take the flow only when a slot is free.
  OfferFree = 2,
  /// Opening packets: no other agent has a free slot; take the flow when it
  /// can be served in time.
  OfferLast = 3,
};

/// The header of a packet, decoded by the platform adapter.
struct Packet
{
  Address mSource;
  Address mDestination;
  uint32_t mSequence = 0;
  /// In an opening packet the number of the copy, from 0.
  uint32_t mAcknowledgement = 0;
  bool mSyn = false;
  bool mAck = false;
  bool mFin = false;
  bool mReset = false;
  /// Set by a backend server that does not take the packet.
  bool mReturned = false;
  uint16_t mLength = 0;
  /// Free for the nodes; in opening packets the tag of the service.
  uint32_t mNote = 0;
  TransitMark mMark = TransitMark::Owner;

  bool Opens() const { return mSyn && !mAck; }
  bool Answers() const { return mSyn && mAck; }
};

/// The flow of a packet that a caller sent, or that a backend server returned.
inline FlowId
CallerFlow(const Packet& aPacket)
{
  return { aPacket.mSource, aPacket.mDestination };
}

/// The flow of a packet that a backend server sent.
inline FlowId
BackendFlow(const Packet& aPacket)
{
  return { aPacket.mDestination, aPacket.mSource };
}

/// Hash of a flow that every node computes alike.
uint64_t
FlowHash(const FlowId& aFlow);

/// Tag of a service name, by which an agent notices that an opening packet was
/// meant for another service that used its address before.
uint32_t
ServiceTag(std::string_view aService);

} // namespace snipepost::flow

template<>
struct std::hash<snipepost::flow::FlowId>
{
  size_t operator()(const snipepost::flow::FlowId& aFlow) const noexcept
  {
    return snipepost::flow::FlowHash(aFlow);
  }
};
