#pragma once

#include <asio.hpp>

#include <snipepost/Cluster/RecordPublisher.h>
#include <snipepost/Flow/FlowAgentCore.h>
#include <snipepost/Http1/Server.h>
#include <snipepost/Net/DatagramSocket.h>

#include "src/FlowDaemon/DeadlineTimer.h"
#include "src/FlowDaemon/ListenerCheck.h"
#include "src/FlowDaemon/Node.h"

namespace snipepost {

/// An agent: forwards packets between entry instances, its local backend server
/// and callers as FlowAgentCore decides, and announces the backend server.
class AgentNode final
  : public DatagramHandler
  , public NodeRoleHandler
  , public flow::AgentOutput
{
public:
  AgentNode(asio::io_context& aContext, Node& aNode);

  /// Rejects new flows from now on and withdraws the record.
  void StartShutdown();
  /// True when no flow is open and the record has been withdrawn.
  bool Stopped() const;

  void OnDatagram(std::span<const uint8_t> aBytes,
                  const Address& aFrom) override;
  void OnBatchEnd() override;
  void OnOfferReply(cluster::NodeIp, const flow::OfferReply&) override {}
  void OnOwnerNotice(cluster::NodeIp, const flow::OwnerNotice&) override {}
  void OnOwnerExclusion(cluster::NodeIp, const flow::OwnerExclusion&) override
  {
  }
  void OnReplicaChanged(cluster::Part aPart) override;
  void OnTick() override;
  void OnMessagesHandled() override;
  /// Adds the service and the capacity of the backend server.
  void AddStatus(boost::json::object& aStatus) override;
  void SendToBackend(std::span<const uint8_t> aBytes) override;
  void SendToCaller(std::span<const uint8_t> aBytes,
                    const Address& aCaller) override;
  void SendReset(const flow::Packet& aPacket) override;
  void SendToNode(cluster::NodeIp aNode,
                  const flow::OfferReply& aReply) override;
  void SendToNode(cluster::NodeIp aNode,
                  const flow::OwnerNotice& aNotice) override;
  void SendToNode(cluster::NodeIp aNode,
                  const flow::OwnerExclusion& aExclusion) override;

private:
  /// Receives the packets of the backend server.
  class BackendPacketHandler final : public DatagramHandler
  {
  public:
    explicit BackendPacketHandler(AgentNode& aAgent)
      : mAgent(aAgent)
    {
    }
    void OnDatagram(std::span<const uint8_t> aBytes,
                    const Address& aFrom) override;
    void OnBatchEnd() override { mAgent.FinishBatch(); }

  private:
    AgentNode& mAgent;
  };

  void SendMessage(cluster::NodeIp aNode, const flow::NodeMessage& aMessage);
  http1::Response OnControlCall(const http1::Request& aRequest);
  http1::Response OnHeartbeat(const flow::Heartbeat& aHeartbeat);
  void UpdateSchedulerMetrics(Instant aNow);
  /// Updates the desired record from the status of the backend server, and
  /// publishes it.
  void Announce();
  /// True when the backend server has ended and will not come back.
  bool BackendLeft() const;
  /// False when the backend server has no open flow or has ended.
  bool MayHaveFlows() const;
  /// Checks whether the backend server still listens when it may have ended.
  void CheckBackend();
  void OnBackendChecked(ListenerCheck::Result aResult);
  void UpdatePublisher();
  void PublishRecord();
  void OnWritten(cluster::WriteResult aResult);
  /// Sends the queued packets and arms the deadline timer.
  void FinishBatch();

  Node& mNode;
  flow::FlowAgentCore mCore;
  cluster::RecordPublisher mPublisher;
  /// Version of the records that was last passed to the publisher.
  cluster::PartVersion mLastPassedVersion;
  uint32_t mFailedWrites = 0;
  BackendPacketHandler mBackendPacketHandler;
  DatagramSocket mSocket;
  DatagramSocket mBackendSocket;
  http1::Server mControlServer;
  http1::Server mReadinessServer;
  DeadlineTimer mDeadlines;
  ListenerCheck mBackendCheck;
  Instant mNextBackendCheck;
  Instant mNextExpiry;
  /// Start of the agent until the first heartbeat.
  Instant mLastHeartbeat;
  bool mStopping = false;
};

} // namespace snipepost
