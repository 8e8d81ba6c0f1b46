#include <snipepost/Cluster/GossipCore.h>

#include <algorithm>
#include <bit>
#include <set>

#include "src/Routing/Hash.h"

namespace snipepost::cluster {

namespace {

/// ASCII codes of "watchers".
constexpr uint64_t kWatcherRankSeed = 0x7761746368657273;
/// Peers that a change is pushed to immediately. With two, one lost datagram
/// would often leave nodes without the change until the next round.
constexpr size_t kPushTargets = 3;
constexpr size_t kRoundTargets = 2;
/// Watchers send to more peers: there are few of them, and nodes that have not
/// been notified for about 2 s that a watcher is running replace it.
constexpr size_t kWatcherRoundTargets = 5;

uint64_t
WatcherRank(NodeIp aNode)
{
  return HashWord(aNode.Value(), kWatcherRankSeed);
}

Epoch
LatestEpoch(const Digest& aDigest)
{
  Epoch latest;
  for (const PartVersion& part : aDigest.mParts) {
    latest = std::max(latest, part.mEpoch);
  }
  return latest;
}

} // namespace

std::string
ToString(NodeIp aNode)
{
  const std::string text = ToString(Address{ aNode.Value(), 1 });
  return text.substr(0, text.find(':'));
}

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
  mIsSeed = std::erase(mSeeds, mSelf) > 0;
}

GossipCore::DigestActions
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
  // A peer that has not read the restored store yet may name watchers that
  // haven't either.
  const bool outdated = LatestEpoch(aDigest) < aReplica.LatestEpoch();
  for (const WatcherAge& watcher : aDigest.mWatchers) {
    if (!outdated && watcher.mNode != mSelf) {
      Instant& lastSeen = mWatcherLastSeen[watcher.mNode];
      lastSeen = std::max(lastSeen, aNow - watcher.mAge);
    }
  }
  DigestActions actions;
  actions.mReply = aDigest.mReplyWanted;
  for (const Part part : kParts) {
    const PartVersion& remote = aDigest.mParts[Index(part)];
    const PartVersion local = aReplica.Version(part);
    if (HasNewerContent(remote, local)) {
      actions.mFetch.push_back(part);
    } else if (HasNewerContent(local, remote)) {
      // The peer has older content and fetches the part when it receives the
      // reply.
      actions.mReply = true;
    }
  }
  return actions;
}

std::vector<NodeIp>
GossipCore::KnownNodes(const Replica& aReplica) const
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
GossipCore::PickRandomPeers(const Replica& aReplica, size_t aCount)
{
  std::vector<NodeIp> nodes = KnownNodes(aReplica);
  mKnownNodeCount = nodes.size() + 1;
  std::vector<NodeIp> chosen;
  while (chosen.size() < aCount && !nodes.empty()) {
    const size_t index = mRandom.Below(nodes.size());
    chosen.push_back(nodes[index]);
    nodes[index] = nodes.back();
    nodes.pop_back();
  }
  return chosen;
}

std::vector<NodeIp>
GossipCore::RoundTargets(const Replica& aReplica, Instant aNow)
{
  if (aNow < mNextRound) {
    return {};
  }
  mNextRound = aNow + mRandom.Jittered(mOptions.mInterval, 0.2);
  Expire(aNow);
  auto targets =
    PickRandomPeers(aReplica, mWatching ? kWatcherRoundTargets : kRoundTargets);
  if (!mWatching && LacksWatchers(aNow)) {
    // Their confirmations may only be late.
    size_t asked = 0;
    for (const auto& [node, lastSeen] : mWatcherLastSeen) {
      if (asked++ == Digest::kMaxWatchers) {
        break;
      }
      targets.push_back(node);
    }
  }
  return targets;
}

std::vector<NodeIp>
GossipCore::PushTargets(const Replica& aReplica)
{
  return PickRandomPeers(aReplica, kPushTargets);
}

void
GossipCore::Expire(Instant aNow)
{
  std::erase_if(mPeers, [&](const auto& aPeer) {
    return aNow - aPeer.second.mLastSeen > mOptions.mPeerTimeout;
  });
  std::erase_if(mWatcherLastSeen, [&](const auto& aWatcher) {
    return aNow - aWatcher.second > mOptions.mPeerTimeout;
  });
}

Digest
GossipCore::MakeDigest(const Replica& aReplica,
                       Instant aNow,
                       bool aReplyWanted) const
{
  Digest digest;
  digest.mRole = mRole;
  digest.mReplyWanted = aReplyWanted;
  for (const Part part : kParts) {
    digest.mParts[Index(part)] = aReplica.Version(part);
  }
  digest.mWatchers = RecentWatchers(aNow);
  if (mWatching && mWatchHealthy) {
    digest.mWatchers.push_back({ mSelf, Duration::zero() });
  }
  // When there are too many watchers, those with the lowest ranks remain (see
  // IsSurplusWatcher()), so these take precedence.
  std::ranges::sort(digest.mWatchers, {}, [](const WatcherAge& aWatcher) {
    return WatcherRank(aWatcher.mNode);
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
         mOptions.mTimeoutPerDoubling * std::bit_width(mKnownNodeCount);
}

std::vector<WatcherAge>
GossipCore::RecentWatchers(Instant aNow) const
{
  const Duration timeout = WatcherTimeout();
  std::vector<WatcherAge> recent;
  for (const auto& [node, lastSeen] : mWatcherLastSeen) {
    if (aNow - lastSeen <= timeout) {
      recent.push_back({ node, aNow - lastSeen });
    }
  }
  return recent;
}

bool
GossipCore::IsSurplusWatcher(Instant aNow) const
{
  const auto preferredWatchers =
    std::ranges::count_if(RecentWatchers(aNow), [this](const auto& aWatcher) {
      return WatcherRank(aWatcher.mNode) < WatcherRank(mSelf);
    });
  return static_cast<size_t>(preferredWatchers) >= mOptions.mWatcherCount;
}

bool
GossipCore::LacksWatchers(Instant aNow) const
{
  return !mWatching && RecentWatchers(aNow).size() < mOptions.mWatcherCount;
}

size_t
GossipCore::NodesRankedBefore(const Replica& aReplica, Instant aNow) const
{
  size_t count = 0;
  for (const NodeIp& node : KnownNodes(aReplica)) {
    const auto watcher = mWatcherLastSeen.find(node);
    const bool missing = watcher != mWatcherLastSeen.end() &&
                         aNow - watcher->second > WatcherTimeout();
    count += !missing && WatcherRank(node) < WatcherRank(mSelf);
  }
  return count;
}

Duration
GossipCore::TakeOverWait(const Replica& aReplica, Instant aNow) const
{
  const size_t before = NodesRankedBefore(aReplica, aNow);
  const auto steps =
    static_cast<int64_t>(std::min(before, mOptions.mMaxRankSteps));
  Duration wait = mOptions.mConfirmationWait;
  if (!mHasMetWatchers) {
    if (mIsSeed) {
      return wait;
    }
    wait += mOptions.mStartWait;
  }
  wait += mOptions.mRankStep * steps;
  if (before > mOptions.mMaxRankSteps) {
    wait += std::chrono::duration_cast<Duration>(mOptions.mTakeOverJitter *
                                                 mTakeOverFraction);
  }
  return wait;
}

bool
GossipCore::ShouldWatch(const Replica& aReplica, Instant aNow)
{
  if (mWatching) {
    mWatching = !IsSurplusWatcher(aNow);
    return mWatching;
  }
  if (!LacksWatchers(aNow)) {
    mHasMetWatchers = true;
    mLackingSince.reset();
    return false;
  }
  if (!mLackingSince) {
    mLackingSince = aNow;
    mTakeOverFraction = mRandom.Fraction();
    mNextRound = aNow; // Asks for confirmations at once.
  }
  if (aNow - *mLackingSince >= TakeOverWait(aReplica, aNow)) {
    mLackingSince.reset();
    mWatching = true;
  }
  return mWatching;
}

} // namespace snipepost::cluster
