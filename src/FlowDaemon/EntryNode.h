#pragma once

#include <asio.hpp>

#include <snipepost/Flow/FlowEntryCore.h>
#include <snipepost/Http1/Server.h>
#include <snipepost/Net/DatagramSocket.h>

#include "src/FlowDaemon/DeadlineTimer.h"
#include "src/FlowDaemon/Node.h"

namespace snipepost {

/// An entry instance: receives callers' packets from the routers and forwards
/// them to agents as FlowEntryCore decides.
class EntryNode final
  : public DatagramHandler
  , public NodeRoleHandler
  , public flow::EntryOutput
{
public:
  EntryNode(asio::io_context& aContext, Node& aNode);

  /// Fails the readiness probe from now on, but continues to forward packets.
  void StartShutdown() { mStopping = true; }

  void OnDatagram(std::span<const uint8_t> aBytes,
                  const Address& aFrom) override;
  void OnBatchEnd() override;
  void OnOfferReply(cluster::NodeIp aFrom,
                    const flow::OfferReply& aReply) override;
  void OnOwnerNotice(cluster::NodeIp aFrom,
                     const flow::OwnerNotice& aNotice) override;
  void OnOwnerExclusion(cluster::NodeIp aFrom,
                        const flow::OwnerExclusion& aExclusion) override;
  void OnReplicaChanged(cluster::Part aPart) override;
  void OnTick() override;
  void OnMessagesHandled() override;
  /// Adds the new flows that were refused in the last 10 s.
  void AddStatus(boost::json::object& aStatus) override;
  void SendToAgent(std::span<const uint8_t> aBytes,
                   const Address& aAgent,
                   uint32_t aServiceTag,
                   flow::TransitMark aMark,
                   bool aReadsWaits) override;
  void SendReset(const flow::Packet& aPacket) override;

private:
  /// Sends the queued packets and arms the deadline timer.
  void FinishBatch();
  /// Removes a record that a crashed instance left in the store.
  void RemoveDeadRecord();
  http1::Response OnReadinessProbe(const http1::Request& aRequest);

  Node& mNode;
  flow::FlowEntryCore mCore;
  DatagramSocket mSocket;
  http1::Server mReadinessServer;
  DeadlineTimer mDeadlines;
  Instant mNextExpiry;
  Instant mNextRemoval;
  bool mStopping = false;
};

} // namespace snipepost
