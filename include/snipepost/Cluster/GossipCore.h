#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <snipepost/Base/Random.h>
#include <snipepost/Base/Types.h>
#include <snipepost/Cluster/Replica.h>

namespace snipepost::cluster {

/// The IPv4 address of a node in host byte order. All nodes use the same
/// ports, so that it names the node.
using NodeIp = Strong<struct NodeIpTag, uint32_t>;

enum class NodeRole : uint8_t
{
  Entry,
  Agent,
};

/// A node that watches the store, and how long ago it was known to do so.
struct WatcherAge
{
  NodeIp mNode;
  Duration mAge{};

  bool operator==(const WatcherAge&) const = default;
};

/// What a node tells a peer of its copy of the shared state and of its peers.
struct Digest
{
  static constexpr size_t kMaxWatchers = 4;
  static constexpr size_t kMaxEntries = 6;

  NodeRole mRole = NodeRole::Entry;
  /// The receiver answers with its own digest.
  bool mReplyWanted = false;
  std::array<PartVersion, kParts.size()> mParts;
  /// At most kMaxWatchers.
  std::vector<WatcherAge> mWatchers;
  /// Some entry instances that the sender heard from, at most kMaxEntries.
  std::vector<NodeIp> mEntries;

  bool operator==(const Digest&) const = default;
};

/// Settings of the exchange between nodes.
struct GossipOptions
{
  /// Time between two rounds of a node, each with two messages. A change
  /// reaches 600 nodes in about log2(600) rounds even when pushes are lost.
  Duration mInterval = std::chrono::milliseconds(400);
  /// Nodes that watch the store on behalf of all. With three, the failure of
  /// any one of them is not noticed by the others.
  size_t mWatchers = 3;
  /// A watcher not known to be alive for this long is replaced, plus
  /// mTimeoutPerDoubling for each doubling of the number of nodes. Below the
  /// 3 s in which a change must be in force.
  Duration mWatcherTimeout = std::chrono::milliseconds(1500);
  Duration mTimeoutPerDoubling = std::chrono::milliseconds(150);
  /// Nodes that notice a missing watcher wait a random part of this, so that
  /// few of them take its place at once.
  Duration mTakeOverSpread = std::chrono::milliseconds(500);
  /// The same for nodes that have not heard of any watcher.
  Duration mStartSpread = std::chrono::milliseconds(2000);
  /// A node that was silent for this long is no longer asked.
  Duration mPeerTimeout = std::chrono::seconds(30);
};

/// Decides whom a node exchanges digests with, when it fetches a part from a
/// peer, and whether it watches the store itself. A few watchers serve all
/// nodes, because the store counts and limits calls; no election is needed,
/// since one watcher too many only costs calls. The exchange is push-pull
/// anti-entropy (Demers et al., "Epidemic Algorithms for Replicated Database
/// Maintenance", 1987). Pure.
class GossipCore
{
public:
  GossipCore(NodeIp aSelf,
             NodeRole aRole,
             std::vector<NodeIp> aSeeds,
             Instant aStart,
             uint64_t aRandomSeed,
             GossipOptions aOptions = {});

  /// Replaces the peers that are asked before any other is known.
  void SetSeeds(std::vector<NodeIp> aSeeds);

  /// What a digest from a peer asks for.
  struct Reaction
  {
    bool mReply = false;
    /// Parts of which the peer holds a newer version.
    std::vector<Part> mFetch;
  };

  Reaction OnDigest(NodeIp aFrom,
                    const Digest& aDigest,
                    const Replica& aReplica,
                    Instant aNow);

  /// The peers of this round; empty before the interval has passed.
  std::vector<NodeIp> Round(const Replica& aReplica, Instant aNow);

  /// Peers to tell at once that the own copy changed.
  std::vector<NodeIp> PushTargets(const Replica& aReplica);

  Digest Compose(const Replica& aReplica,
                 Instant aNow,
                 bool aReplyWanted) const;

  /// Whether this node is to watch the store now. Called at least once a
  /// round.
  bool ShouldWatch(Instant aNow);

  /// Reports whether the own watches are established and answered.
  void SetWatchHealthy(bool aHealthy) { mWatchHealthy = aHealthy; }

  /// Entry instances that were heard from.
  std::vector<NodeIp> Entries() const;
  /// One of them at random; nothing when none is known.
  std::optional<NodeIp> RandomEntry();

private:
  struct Peer
  {
    NodeRole mRole = NodeRole::Entry;
    Instant mHeard;
  };

  std::vector<NodeIp> Known(const Replica& aReplica) const;
  std::vector<NodeIp> Pick(const Replica& aReplica, size_t aCount);
  std::vector<WatcherAge> FreshWatchers(Instant aNow) const;
  Duration WatcherTimeout() const;
  bool SurplusWatcher(Instant aNow) const;
  void Expire(Instant aNow);

  NodeIp mSelf;
  NodeRole mRole;
  std::vector<NodeIp> mSeeds;
  GossipOptions mOptions;
  Random mRandom;
  std::map<NodeIp, Peer> mPeers;
  /// When each watcher was last known to be one.
  std::map<NodeIp, Instant> mWatchers;
  Instant mNextRound;
  std::optional<Instant> mWatchAfter;
  size_t mKnownNodes = 1;
  bool mWatching = false;
  bool mWatchHealthy = false;
};

} // namespace snipepost::cluster
