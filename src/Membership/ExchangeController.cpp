#include <snipepost/Membership/ExchangeController.h>

#include <algorithm>

#include <snipepost/Membership/ViewController.h>

namespace snipepost {

using namespace std::chrono_literals;

namespace {

constexpr double kExchangeJitter = 0.2;
constexpr Duration kExchangeTimeout = 2s;
constexpr Duration kFailedPeerDelay = 3s;
/// Limit of recently changed records, and of votes, in one message.
constexpr size_t kMaxRecentChanges = 64;
/// Factor of the interval for agents. They keep no view and exchange only to
/// announce themselves and to learn of documents while the store is
/// unreachable.
constexpr int kAgentIntervalFactor = 10;
/// The interval doubles with each exchange without updates, at most this many
/// times, from 500 ms to 2 s. At 500 ms, exchanges use 4.4 KB/s of the 8 KB/s
/// budget of an idle entry instance.
constexpr unsigned kMaxDoublings = 2;
/// Exchanges without updates before the first doubling. They find peers that a
/// change has not reached yet.
constexpr unsigned kIdleExchangesBeforeBackoff = 4;
/// Exchanges sent at once when a change ends an idle period. Peers without the
/// change still use the long interval: without these exchanges, a change
/// reaches 50 entry instances in 2.6 s instead of 1.8 s.
constexpr unsigned kUrgentAfterIdle = 3;

template<typename Map, typename Add>
void
TakeRecent(Map& aRecent, Add aAdd)
{
  size_t taken = 0;
  for (auto at = aRecent.begin();
       at != aRecent.end() && taken < kMaxRecentChanges;) {
    ++taken;
    aAdd(at->first);
    at = --at->second == 0 ? aRecent.erase(at) : std::next(at);
  }
}

/// Composes a message with the document's version and the view's digest only.
ExchangeMessage
VersionMessage(const Blackboard& aBoard)
{
  ExchangeMessage message;
  message.mFrom = aBoard.mOwn.mAddress;
  message.mDocumentVersion = aBoard.mDocument.mVersion;
  message.mDigest = aBoard.mDigest;
  return message;
}

/// True when the message is an agent's announcement of itself. Agents keep no
/// view to compare.
bool
IsFromAgent(const ExchangeMessage& aMessage)
{
  return aMessage.mRecords.size() == 1 &&
         aMessage.mRecords.front().mRole == InstanceRole::Agent &&
         aMessage.mRecords.front().mAddress == aMessage.mFrom;
}

ExchangeMessage
Compose(Blackboard& aBoard)
{
  ExchangeMessage message = VersionMessage(aBoard);
  if (aBoard.mOwn.mRole == InstanceRole::Agent) {
    message.mRecords.push_back(aBoard.mOwn);
    return message;
  }
  TakeRecent(aBoard.mRecentRecords, [&](const Address& aAddress) {
    const auto member = aBoard.mMembers.find(aAddress);
    if (member != aBoard.mMembers.end()) {
      message.mRecords.push_back(member->second.mRecord);
    }
  });
  TakeRecent(aBoard.mRecentVotes, [&](const std::pair<Address, Address>& aKey) {
    const auto vote = aBoard.mVotes.find(aKey);
    if (vote != aBoard.mVotes.end()) {
      message.mVotes.push_back(vote->second);
    }
  });
  return message;
}

void
Merge(Blackboard& aBoard, const ExchangeMessage& aMessage, Instant aNow)
{
  if (aBoard.mOwn.mRole != InstanceRole::Entry) {
    return;
  }
  for (const InstanceRecord& record : aMessage.mRecords) {
    const auto source = record.mAddress == aMessage.mFrom
                          ? RecordSource::Authoritative
                          : RecordSource::Peer;
    MergeRecord(aBoard, record, source, aNow + aBoard.mOptions.mLease);
  }
  for (const HealthVote& vote : aMessage.mVotes) {
    MergeVote(aBoard, vote);
  }
}

/// Appends all records and votes of the buckets whose digests differ from
/// aPeerDigests.
void
AppendDifferences(const Blackboard& aBoard,
                  const std::vector<uint64_t>& aPeerDigests,
                  ExchangeMessage& aMessage)
{
  if (aPeerDigests.size() != kViewBuckets) {
    return;
  }
  const auto ownDigests = BucketDigests(aBoard);
  const auto differs = [&](const Address& aAddress) {
    const size_t bucket = BucketOf(aAddress);
    return ownDigests[bucket] != aPeerDigests[bucket];
  };
  for (const auto& [address, member] : aBoard.mMembers) {
    if (differs(address)) {
      aMessage.mRecords.push_back(member.mRecord);
    }
  }
  for (const auto& [key, vote] : aBoard.mVotes) {
    if (differs(key.first)) {
      aMessage.mVotes.push_back(vote);
    }
  }
}

bool
HasRecentChanges(const Blackboard& aBoard)
{
  return !aBoard.mRecentRecords.empty() || !aBoard.mRecentVotes.empty();
}

/// True while there are changes to send or differences to resolve.
bool
HasUpdates(const Blackboard& aBoard)
{
  return aBoard.mPeerDiffers || HasRecentChanges(aBoard);
}

} // namespace

ExchangeMessage
ExchangeController::Reply(Blackboard& aBoard,
                          const ExchangeMessage& aMessage,
                          Instant aNow)
{
  if (aMessage.mDocumentVersion != aBoard.mDocument.mVersion) {
    aBoard.mPeerDiffers = true;
  }
  if (IsFromAgent(aMessage)) {
    Merge(aBoard, aMessage, aNow);
    return VersionMessage(aBoard);
  }
  if (aMessage.mDigest != aBoard.mDigest) {
    aBoard.mPeerDiffers = true;
  }
  // Composed before the merge, which changes the view that the peer's digests
  // are compared with.
  ExchangeMessage reply = Compose(aBoard);
  if (aBoard.mOwn.mRole == InstanceRole::Entry) {
    AppendDifferences(aBoard, aMessage.mBuckets, reply);
  }
  Merge(aBoard, aMessage, aNow);
  return reply;
}

void
ExchangeController::Step(Blackboard& aBoard,
                         const MembershipEvent& aEvent,
                         Instant aNow,
                         Random& aRandom,
                         MembershipEffects& aEffects)
{
  if (std::holds_alternative<ClockTick>(aEvent)) {
    OnTick(aBoard, aNow, aRandom, aEffects);
  } else if (const auto* ended = std::get_if<ExchangeEnded>(&aEvent)) {
    OnEnded(aBoard, *ended, aNow);
  }
}

void
ExchangeController::OnTick(Blackboard& aBoard,
                           Instant aNow,
                           Random& aRandom,
                           MembershipEffects& aEffects)
{
  const auto expired = [aNow](const auto& aEntry) {
    return aEntry.second <= aNow;
  };
  std::erase_if(mBusyPeers, expired);
  std::erase_if(mFailedPeers, expired);
  EndIdleInterval(aBoard);
  const bool urgent = aBoard.mUrgentExchanges > 0;
  if (!urgent && aNow < mNextExchange) {
    return;
  }
  const bool agent = aBoard.mOwn.mRole == InstanceRole::Agent;
  const int factor = agent ? kAgentIntervalFactor : 1;
  const Duration interval = aRandom.Jittered(
    aBoard.mOptions.mExchangeInterval * factor, kExchangeJitter);
  const bool idle = !agent && !urgent && !HasUpdates(aBoard);
  mIdleExchanges = idle ? std::min(mIdleExchanges + 1,
                                   kIdleExchangesBeforeBackoff + kMaxDoublings)
                        : 0;
  const unsigned doublings =
    std::max(mIdleExchanges, kIdleExchangesBeforeBackoff) -
    kIdleExchangesBeforeBackoff;
  mNextWithUpdates = aNow + interval;
  mNextExchange = aNow + interval * (1U << doublings);
  // An urgent exchange stays due while all peers are busy: otherwise an agent's
  // change of state would wait for its next exchange, 5 s later.
  for (unsigned due = std::max(1U, aBoard.mUrgentExchanges); due > 0; --due) {
    const auto peer = ChoosePeer(aBoard, aRandom);
    if (!peer) {
      return;
    }
    Send(aBoard, *peer, aNow, aEffects);
    aBoard.mUrgentExchanges -= urgent ? 1 : 0;
  }
}

void
ExchangeController::EndIdleInterval(Blackboard& aBoard)
{
  if (mIdleExchanges == 0 || !HasUpdates(aBoard)) {
    return;
  }
  mIdleExchanges = 0;
  mNextExchange = mNextWithUpdates;
  if (HasRecentChanges(aBoard)) {
    aBoard.mUrgentExchanges =
      std::max(aBoard.mUrgentExchanges, kUrgentAfterIdle);
  }
}

void
ExchangeController::Send(Blackboard& aBoard,
                         const Address& aPeer,
                         Instant aNow,
                         MembershipEffects& aEffects)
{
  mBusyPeers[aPeer] = aNow + kExchangeTimeout;
  aBoard.mPeerDiffers = false;
  ExchangeMessage message = Compose(aBoard);
  if (mViewDiffers) {
    mViewDiffers = false;
    message.mBuckets = BucketDigests(aBoard);
  }
  ++aBoard.mCounters.mExchanges;
  aEffects.emplace_back(SendExchange{ aPeer, std::move(message) });
}

std::optional<Address>
ExchangeController::ChoosePeer(const Blackboard& aBoard, Random& aRandom) const
{
  std::vector<Address> peers;
  const auto addIfAvailable = [&](const Address& aAddress) {
    if (aAddress != aBoard.mOwn.mAddress && !mBusyPeers.contains(aAddress) &&
        !mFailedPeers.contains(aAddress)) {
      peers.push_back(aAddress);
    }
  };
  for (const auto& [address, member] : aBoard.mMembers) {
    if (member.mRecord.mRole == InstanceRole::Entry &&
        member.mRecord.mState != InstanceState::Left &&
        MayContact(aBoard, member.mRecord)) {
      addIfAvailable(address);
    }
  }
  for (const auto& [address, lastProbe] : aBoard.mProbers) {
    addIfAvailable(address);
  }
  for (const Address& seed : aBoard.mOptions.mSeeds) {
    if (!aBoard.mMembers.contains(seed) && !aBoard.mProbers.contains(seed)) {
      addIfAvailable(seed);
    }
  }
  if (peers.empty()) {
    return std::nullopt;
  }
  return peers[aRandom.Below(peers.size())];
}

void
ExchangeController::OnEnded(Blackboard& aBoard,
                            const ExchangeEnded& aEvent,
                            Instant aNow)
{
  mBusyPeers.erase(aEvent.mPeer);
  if (!aEvent.mReply) {
    ++aBoard.mCounters.mExchangesFailed;
    mFailedPeers[aEvent.mPeer] = aNow + kFailedPeerDelay;
    // A failure counts as a difference, so that the next peer is tried after
    // the short interval.
    aBoard.mPeerDiffers = true;
    // An agent in a failure domain that is out gets updates only by its own
    // exchanges. Its interval is long, so the next peer is tried at once.
    if (aBoard.mOwn.mRole == InstanceRole::Agent) {
      mNextExchange = aNow;
    }
    return;
  }
  Merge(aBoard, *aEvent.mReply, aNow);
  mViewDiffers = aBoard.mOwn.mRole == InstanceRole::Entry &&
                 aEvent.mReply->mDigest != aBoard.mDigest;
  if (mViewDiffers ||
      aEvent.mReply->mDocumentVersion != aBoard.mDocument.mVersion) {
    aBoard.mPeerDiffers = true;
  }
}

} // namespace snipepost
