#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <asio.hpp>
#include <boost/json.hpp>

#include <snipepost/Cluster/GossipCore.h>
#include <snipepost/Cluster/Replica.h>
#include <snipepost/Cluster/StoreSync.h>
#include <snipepost/Flow/Decision.h>
#include <snipepost/Flow/NodeMessage.h>
#include <snipepost/Http1/Client.h>
#include <snipepost/Http1/Server.h>
#include <snipepost/Net/DatagramSocket.h>

#include "platform/StoreClient.h"
#include "src/FlowDaemon/EventLog.h"
#include "src/FlowDaemon/MeteredStore.h"
#include "src/FlowDaemon/NodeMetrics.h"
#include "src/FlowDaemon/NodeSettings.h"
#include "src/FlowDaemon/RecentRefusals.h"

namespace snipepost {

/// The part of a node's behaviour that depends on its role.
class NodeRoleHandler
{
public:
  virtual ~NodeRoleHandler() = default;
  virtual void OnOfferReply(cluster::NodeIp aFrom,
                            const flow::OfferReply& aReply) = 0;
  virtual void OnOwnerNotice(cluster::NodeIp aFrom,
                             const flow::OwnerNotice& aNotice) = 0;
  virtual void OnOwnerExclusion(cluster::NodeIp aFrom,
                                const flow::OwnerExclusion& aExclusion) = 0;
  virtual void OnReplicaChanged(cluster::Part aPart) = 0;
  /// Called every kTick.
  virtual void OnTick() = 0;
  /// Called after a batch of messages of other nodes was handled.
  virtual void OnMessagesHandled() = 0;
  /// Adds the fields of the role to the node's status.
  virtual void AddStatus(boost::json::object& aStatus) = 0;
};

/// What every node does, whatever its role: keeps a replica of the shared state
/// up to date from the store and from peers, serves it to peers, and provides
/// the log and the metrics.
class Node final
  : public DatagramHandler
  , public cluster::StoreListener
  , public flow::DecisionSink
{
public:
  /// Interval of the periodic work. Gossip rounds and retries take place at
  /// intervals of hundreds of milliseconds.
  static constexpr Duration kTick = std::chrono::milliseconds(100);

  Node(asio::io_context& aContext, const NodeSettings& aSettings);

  void Start(NodeRoleHandler& aRole);

  /// Applies the settings that may change at run time: seeds and the log rate.
  void ApplySettings(const NodeSettings& aSettings);
  /// Logs that the node has stopped, and flushes the log.
  void LogStopped();

  Instant Now() const;
  cluster::Replica& State() { return mReplica; }
  cluster::Store& Store() { return mStore; }
  /// To be called with the epoch of each response of the store to a write.
  void OnStoreEpoch(cluster::Epoch aEpoch) { mSync.OnEpoch(aEpoch); }
  EventLog& Log() { return mLog; }
  NodeMetrics& Metrics() { return mMetrics; }
  /// The new flows that this node refused; none at an agent.
  RecentRefusals& Refusals() { return mRefusals; }
  const NodeSettings& Settings() const { return mSettings; }

  /// True while this node watches the store on behalf of others.
  bool Watching() const { return mWatching; }

  /// Asks an entry instance to write a record, for an agent that the store
  /// rejects. Only the replica shows whether the write took effect. False when
  /// no entry instance is known.
  bool RelayWrite(const cluster::RelayedWrite& aWrite);

  /// Queues a message; Flush() sends it.
  void Send(cluster::NodeIp aTo, const flow::NodeMessage& aMessage);
  void Flush() { mSocket.Flush(); }

  void OnDatagram(std::span<const uint8_t> aBytes,
                  const Address& aFrom) override;
  void OnBatchEnd() override;
  void OnStoreUnreachable(cluster::Part aPart,
                          cluster::ReadOutcome aOutcome) override;
  void OnStoreReachable(cluster::Part aPart) override;
  void OnSnapshotRefused(cluster::Part aPart,
                         const cluster::Snapshot& aSnapshot) override;
  void OnDecision(const flow::Decision& aDecision) override;

private:
  struct Fetch
  {
    std::unique_ptr<http1::Client> mClient;
    bool mBusy = false;
    /// The changes that a peer sent did not lead to the peer's content, or the
    /// peer does not send changes.
    bool mNeedsSnapshot = false;
  };

  void Tick();
  void ScheduleTick();
  void Gossip();
  void OnDigest(cluster::NodeIp aFrom, const cluster::Digest& aDigest);
  void FetchPart(cluster::NodeIp aPeer, cluster::Part aPart);
  void OnFetched(cluster::NodeIp aPeer,
                 cluster::Part aPart,
                 http1::Result aResult,
                 const http1::Response& aResponse);
  /// Applies a snapshot or the changes of a part. False when they are
  /// malformed.
  bool ApplyFetched(cluster::NodeIp aPeer,
                    cluster::Part aPart,
                    const std::string& aBody);
  /// The response to a peer that fetches a part; aQuery may name the revision
  /// of the peer's copy.
  http1::Response ServePart(cluster::Part aPart, std::string_view aQuery);
  void OnReplicaChanged(cluster::Part aPart,
                        const std::vector<std::string>& aChanges);
  void UpdateGauges();
  http1::Response Serve(const http1::Request& aRequest);
  http1::Response WriteForPeer(const std::string& aBody);
  std::string StatusText();
  /// The address of another node for messages and calls between nodes.
  Address InternalAddress(cluster::NodeIp aNode) const;

  asio::io_context& mContext;
  NodeSettings mSettings;
  EventLog mLog;
  NodeMetrics mMetrics;
  RecentRefusals mRefusals;
  cluster::Replica mReplica;
  cluster::GossipCore mGossip;
  platform::StoreClient mStoreClient;
  MeteredStore mStore;
  cluster::StoreSync mSync;
  DatagramSocket mSocket;
  http1::Server mPeerServer;
  http1::Server mMetricsServer;
  std::array<Fetch, cluster::kParts.size()> mFetches;
  std::unique_ptr<http1::Client> mRelayClient;
  asio::steady_timer mTimer;
  NodeRoleHandler* mRole = nullptr;
  bool mPushPending = false;
  bool mWatching = false;
};

} // namespace snipepost
