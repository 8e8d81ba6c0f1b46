#include <snipepost/Cluster/GossipCore.h>

#include <algorithm>
#include <bit>
#include <set>

#include "src/Routing/Hash.h"

namespace snipepost::cluster {

namespace {

constexpr uint64_t kWatcherRankSeed = 0x7761746368657273;
/// Peers told of a change at once. With two, one lost datagram in a chain
/// would often leave nodes to the next round.
constexpr size_t kPushTargets = 3;
constexpr size_t kRoundTargets = 2;
/// Watchers are few, and others must know within 2 s that they live.
constexpr size_t kWatcherRoundTargets = 5;

uint64_t
Rank(NodeIp aNode)
{
  return HashWord(aNode.Value(), kWatcherRankSeed);
}

/// True when aTheirs holds content that aOwn lacks.
bool
Newer(const PartVersion& aTheirs, const PartVersion& aOwn)
{
  if (!aTheirs.mKnown) {
    return false;
  }
  if (!aOwn.mKnown) {
    return true;
  }
  return aTheirs.mDigest != aOwn.mDigest && aTheirs.mRevision > aOwn.mRevision;
}

} // namespace

GossipCore::GossipCore(NodeIp aSelf,
                       NodeRole aRole,
                       std::vector<NodeIp> aSeeds,
                       Instant aStart,
                       uint64_t aRandomSeed,
                       GossipOptions aOptions)
  : mSelf(aSelf)
  , mRole(aRole)
  , mOptions(aOptions)
  , mRandom(aRandomSeed)
  , mNextRound(aStart)
{
  SetSeeds(std::move(aSeeds));
}

void
GossipCore::SetSeeds(std::vector<NodeIp> aSeeds)
{
  mSeeds = std::move(aSeeds);
  std::erase(mSeeds, mSelf);
}

GossipCore::Reaction
GossipCore::OnDigest(NodeIp aFrom,
                     const Digest& aDigest,
                     const Replica& aReplica,
                     Instant aNow)
{
  mPeers[aFrom] = { aDigest.mRole, aNow };
  for (const NodeIp& entry : aDigest.mEntries) {
    if (entry != mSelf) {
      mPeers.try_emplace(entry, Peer{ NodeRole::Entry, aNow });
    }
  }
  for (const WatcherAge& watcher : aDigest.mWatchers) {
    if (watcher.mNode != mSelf) {
      Instant& seen = mWatchers[watcher.mNode];
      seen = std::max(seen, aNow - watcher.mAge);
    }
  }
  Reaction reaction;
  reaction.mReply = aDigest.mReplyWanted;
  for (const Part part : kParts) {
    const PartVersion& theirs = aDigest.mParts[Index(part)];
    const PartVersion own = aReplica.Version(part);
    if (Newer(theirs, own)) {
      reaction.mFetch.push_back(part);
    } else if (Newer(own, theirs)) {
      // Tells the peer that it is behind.
      reaction.mReply = true;
    }
  }
  return reaction;
}

std::vector<NodeIp>
GossipCore::Known(const Replica& aReplica) const
{
  std::set<NodeIp> nodes(mSeeds.begin(), mSeeds.end());
  for (const auto& [node, peer] : mPeers) {
    nodes.insert(node);
  }
  for (const auto& [name, record] : aReplica.Backends()) {
    nodes.insert(NodeIp(record.mAgent.mIp));
  }
  nodes.erase(mSelf);
  return { nodes.begin(), nodes.end() };
}

std::vector<NodeIp>
GossipCore::Pick(const Replica& aReplica, size_t aCount)
{
  std::vector<NodeIp> nodes = Known(aReplica);
  mKnownNodes = nodes.size() + 1;
  std::vector<NodeIp> chosen;
  while (chosen.size() < aCount && !nodes.empty()) {
    const size_t at = mRandom.Below(nodes.size());
    chosen.push_back(nodes[at]);
    nodes[at] = nodes.back();
    nodes.pop_back();
  }
  return chosen;
}

std::vector<NodeIp>
GossipCore::Round(const Replica& aReplica, Instant aNow)
{
  if (aNow < mNextRound) {
    return {};
  }
  mNextRound = aNow + mRandom.Jittered(mOptions.mInterval, 0.2);
  Expire(aNow);
  return Pick(aReplica, mWatching ? kWatcherRoundTargets : kRoundTargets);
}

std::vector<NodeIp>
GossipCore::PushTargets(const Replica& aReplica)
{
  return Pick(aReplica, kPushTargets);
}

void
GossipCore::Expire(Instant aNow)
{
  std::erase_if(mPeers, [&](const auto& aPeer) {
    return aNow - aPeer.second.mHeard > mOptions.mPeerTimeout;
  });
  std::erase_if(mWatchers, [&](const auto& aWatcher) {
    return aNow - aWatcher.second > mOptions.mPeerTimeout;
  });
}

Digest
GossipCore::Compose(const Replica& aReplica,
                    Instant aNow,
                    bool aReplyWanted) const
{
  Digest digest;
  digest.mRole = mRole;
  digest.mReplyWanted = aReplyWanted;
  for (const Part part : kParts) {
    digest.mParts[Index(part)] = aReplica.Version(part);
  }
  digest.mWatchers = FreshWatchers(aNow);
  if (mWatching && mWatchHealthy) {
    digest.mWatchers.push_back({ mSelf, Duration::zero() });
  }
  // Those that stay when there are too many are made known first.
  std::ranges::sort(digest.mWatchers, {}, [](const WatcherAge& aWatcher) {
    return Rank(aWatcher.mNode);
  });
  if (digest.mWatchers.size() > Digest::kMaxWatchers) {
    digest.mWatchers.resize(Digest::kMaxWatchers);
  }
  for (const NodeIp& entry : Entries()) {
    if (digest.mEntries.size() == Digest::kMaxEntries) {
      break;
    }
    digest.mEntries.push_back(entry);
  }
  return digest;
}

std::vector<NodeIp>
GossipCore::Entries() const
{
  std::vector<NodeIp> entries;
  for (const auto& [node, peer] : mPeers) {
    if (peer.mRole == NodeRole::Entry) {
      entries.push_back(node);
    }
  }
  return entries;
}

std::optional<NodeIp>
GossipCore::RandomEntry()
{
  const auto entries = Entries();
  if (entries.empty()) {
    return std::nullopt;
  }
  return entries[mRandom.Below(entries.size())];
}

Duration
GossipCore::WatcherTimeout() const
{
  return mOptions.mWatcherTimeout +
         mOptions.mTimeoutPerDoubling * std::bit_width(mKnownNodes);
}

std::vector<WatcherAge>
GossipCore::FreshWatchers(Instant aNow) const
{
  const Duration timeout = WatcherTimeout();
  std::vector<WatcherAge> fresh;
  for (const auto& [node, seen] : mWatchers) {
    if (aNow - seen <= timeout) {
      fresh.push_back({ node, aNow - seen });
    }
  }
  return fresh;
}

bool
GossipCore::SurplusWatcher(Instant aNow) const
{
  const auto better =
    std::ranges::count_if(FreshWatchers(aNow), [this](const auto& aWatcher) {
      return Rank(aWatcher.mNode) < Rank(mSelf);
    });
  return static_cast<size_t>(better) >= mOptions.mWatchers;
}

bool
GossipCore::ShouldWatch(Instant aNow)
{
  if (mWatching) {
    mWatching = !SurplusWatcher(aNow);
    return mWatching;
  }
  if (FreshWatchers(aNow).size() >= mOptions.mWatchers) {
    mWatchAfter.reset();
    return false;
  }
  if (!mWatchAfter) {
    // A node that has not heard of any watcher yet has most likely just
    // started, and others will tell it of theirs.
    const Duration spread =
      mWatchers.empty() ? mOptions.mStartSpread : mOptions.mTakeOverSpread;
    mWatchAfter =
      aNow + std::chrono::duration_cast<Duration>(spread * mRandom.Fraction());
  }
  if (aNow >= *mWatchAfter) {
    mWatchAfter.reset();
    mWatching = true;
  }
  return mWatching;
}

} // namespace snipepost::cluster
