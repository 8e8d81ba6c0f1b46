#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <snipepost/Base/Random.h>
#include <snipepost/Base/Types.h>
#include <snipepost/Cluster/Replica.h>

namespace snipepost::cluster {

/// The IPv4 address of a node, that is, of an entry instance or agent, in host
/// byte order. It identifies the node, as all nodes use the same ports.
using NodeIp = StrongType<struct NodeIpTag, uint32_t>;

/// Writes the address as "a.b.c.d".
std::string
ToString(NodeIp aNode);

enum class NodeRole : uint8_t
{
  Entry,
  Agent,
};

/// A node that watches the store, and the time since this was last confirmed.
struct WatcherAge
{
  NodeIp mNode;
  Duration mAge{};

  bool operator==(const WatcherAge&) const = default;
};

/// Gossip message: the versions of the sender's replica, and watchers and entry
/// instances known to the sender.
struct Digest
{
  static constexpr size_t kMaxWatchers = 4;
  static constexpr size_t kMaxEntries = 6;

  NodeRole mRole = NodeRole::Entry;
  /// The receiver replies with its own digest.
  bool mReplyWanted = false;
  std::array<PartVersion, kParts.size()> mParts;
  /// At most kMaxWatchers.
  std::vector<WatcherAge> mWatchers;
  /// Some of the sender's known entry instances, at most kMaxEntries.
  std::vector<NodeIp> mEntries;

  bool operator==(const Digest&) const = default;
};

/// Settings of the gossip between nodes.
struct GossipOptions
{
  /// Interval between the gossip rounds of a node. In each round it sends its
  /// digest to two random peers, so a change reaches 600 nodes in about
  /// log2(600) rounds even when all messages to PushTargets() are lost.
  Duration mInterval = std::chrono::milliseconds(400);
  /// Number of nodes that watch the store on behalf of all. With three, the
  /// failure of one does not delay changes for the other nodes.
  size_t mWatcherCount = 3;
  /// A watcher that was not confirmed for this long is replaced.
  /// mTimeoutPerDoubling is added for each doubling of the number of nodes.
  /// mWatcherTimeout is below the 3 s within which a change must be in force.
  Duration mWatcherTimeout = std::chrono::milliseconds(1500);
  Duration mTimeoutPerDoubling = std::chrono::milliseconds(150);
  /// A node that lacks confirmations of watchers asks the watchers that it
  /// knows of, and waits this long for their replies before it takes over.
  Duration mConfirmationWait = std::chrono::milliseconds(350);
  /// Additional wait for each known node that ranks before this one, so that
  /// the first ones take over and the others learn of it. With more nodes
  /// before it than mMaxRankSteps, a node waits a further random time up to
  /// mTakeOverJitter.
  Duration mRankStep = std::chrono::milliseconds(200);
  size_t mMaxRankSteps = 10;
  Duration mTakeOverJitter = std::chrono::seconds(2);
  /// Wait of a node that has just started and is not a seed: the seeds take
  /// over first, and it learns of existing watchers meanwhile.
  Duration mStartWait = std::chrono::milliseconds(1500);
  /// A peer or watcher that was not seen for this long is discarded.
  Duration mPeerTimeout = std::chrono::seconds(30);
};

/// Selects the peers that a node exchanges digests with, the parts that it
/// fetches from a peer, and whether it watches the store itself. A few watchers
/// serve all nodes, because the store counts and limits calls. They need no
/// election, since a surplus watcher only costs calls. The exchange is
/// push-pull anti-entropy (Demers et al., "Epidemic Algorithms for Replicated
/// Database Maintenance", 1987). Does no I/O; the time is an argument.
class GossipCore
{
public:
  GossipCore(NodeIp aSelf,
             NodeRole aRole,
             std::vector<NodeIp> aSeeds,
             Instant aStart,
             uint64_t aRandomSeed,
             GossipOptions aOptions = {});

  /// Replaces the peers that are contacted before others are discovered.
  void SetSeeds(std::vector<NodeIp> aSeeds);

  /// How to respond to a digest from a peer.
  struct DigestActions
  {
    bool mReply = false;
    /// Parts of which the peer holds a newer version.
    std::vector<Part> mFetch;
  };

  DigestActions OnDigest(NodeIp aFrom,
                         const Digest& aDigest,
                         const Replica& aReplica,
                         Instant aNow);

  /// The peers to send a digest to in this round; empty before the interval has
  /// passed.
  std::vector<NodeIp> RoundTargets(const Replica& aReplica, Instant aNow);

  /// Peers to notify immediately of a change of this node's replica.
  std::vector<NodeIp> PushTargets(const Replica& aReplica);

  Digest MakeDigest(const Replica& aReplica,
                    Instant aNow,
                    bool aReplyWanted) const;

  /// Whether this node should watch the store now. Must be called at least once
  /// a round.
  bool ShouldWatch(const Replica& aReplica, Instant aNow);

  /// True while fewer watchers than wanted are confirmed; digests then ask for
  /// a reply.
  bool LacksWatchers(Instant aNow) const;

  /// Sets whether this node's watches are established and the store responds.
  void SetWatchHealthy(bool aHealthy) { mWatchHealthy = aHealthy; }

  /// Known entry instances.
  std::vector<NodeIp> Entries() const;
  /// A random known entry instance; nothing when there is none.
  std::optional<NodeIp> RandomEntry();

private:
  struct Peer
  {
    NodeRole mRole = NodeRole::Entry;
    Instant mLastSeen;
  };

  std::vector<NodeIp> KnownNodes(const Replica& aReplica) const;
  std::vector<NodeIp> PickRandomPeers(const Replica& aReplica, size_t aCount);
  std::vector<WatcherAge> RecentWatchers(Instant aNow) const;
  Duration WatcherTimeout() const;
  bool IsSurplusWatcher(Instant aNow) const;
  /// How long this node waits before it replaces a missing watcher.
  Duration TakeOverWait(const Replica& aReplica, Instant aNow) const;
  /// Known nodes that rank before this one and are not watchers that went
  /// missing.
  size_t NodesRankedBefore(const Replica& aReplica, Instant aNow) const;
  void Expire(Instant aNow);

  NodeIp mSelf;
  NodeRole mRole;
  std::vector<NodeIp> mSeeds;
  GossipOptions mOptions;
  Random mRandom;
  std::map<NodeIp, Peer> mPeers;
  /// When each watcher was last confirmed to be watching.
  std::map<NodeIp, Instant> mWatcherLastSeen;
  bool mIsSeed = false;
  Instant mNextRound;
  /// False until enough watchers were confirmed for the first time.
  bool mHasMetWatchers = false;
  /// Since when confirmed watchers have been lacking.
  std::optional<Instant> mLackingSince;
  /// Share of the jitter that this node waits before it takes over.
  double mTakeOverFraction = 0.0;
  /// Includes this node.
  size_t mKnownNodeCount = 1;
  bool mWatching = false;
  bool mWatchHealthy = false;
};

} // namespace snipepost::cluster
