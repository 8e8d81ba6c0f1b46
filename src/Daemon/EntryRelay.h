#pragma once

#include <memory>
#include <unordered_map>

#include <snipepost/Metrics/Registry.h>
#include <snipepost/Net/DatagramSocket.h>
#include <snipepost/Routing/EntryRouter.h>
#include <snipepost/Routing/PacketHeader.h>
#include <snipepost/Routing/RoutingSnapshot.h>

namespace snipepost {

/// The packet path of an entry instance: forwards datagrams from the fabric to
/// agents and the agents' replies to the fabric. Used by the daemon and by the
/// relay benchmark.
class EntryRelay
{
public:
  using ServiceAddresses = std::unordered_map<ServiceId, Address>;

  /// aSocket must outlive the relay. Replies are sent to aFabricAddress.
  EntryRelay(const KeyRing& aKeys,
             DatagramSocket& aSocket,
             Registry& aRegistry,
             const Address& aFabricAddress);

  /// Replaces the routing snapshot and the services' addresses. Until the first
  /// call, datagrams from the fabric are dropped.
  void SetSnapshot(std::shared_ptr<const RoutingSnapshot> aSnapshot,
                   ServiceAddresses aAddresses);

  /// Routes one datagram from the fabric and queues it for the agent.
  /// aGeneration is the generation of the current document.
  void RelayFromFabric(std::span<const uint8_t> aBytes, Generation aGeneration);

  /// Queues the payload of an agent's reply packet for the fabric.
  void RelayToFabric(const Packet& aPacket);

  /// Counts a datagram that is malformed or has a wrong tag.
  void CountBadPacket() { mCounters.mBadPackets.Add(); }

  const EntryRouter& Router() const { return mRouter; }
  const RoutingSnapshot* Snapshot() const { return mSnapshot.get(); }

private:
  struct Counters
  {
    explicit Counters(Registry& aRegistry);
    Counter& mForwarded;
    Counter& mForwardedById;
    Counter& mReplied;
    Counter& mBadPackets;
    Counter& mUnknownReplies;
  };

  KeyRing mKeys;
  EntryRouter mRouter;
  DatagramSocket& mSocket;
  Address mFabricAddress;
  Counters mCounters;
  std::shared_ptr<const RoutingSnapshot> mSnapshot;
  ServiceAddresses mServiceAddresses;
};

} // namespace snipepost
