#include <snipepost/Membership/ExchangeController.h>

#include <algorithm>

#include <snipepost/Membership/ViewController.h>

namespace snipepost {

using namespace std::chrono_literals;

namespace {

constexpr double kExchangeSpread = 0.2;
constexpr Duration kExchangeTimeout = 2s;
constexpr Duration kFailurePause = 3s;
/// Most records and votes that one message carries as recent changes.
constexpr size_t kMaxFresh = 64;
/// Agents hold no view; they exchange to announce themselves and to learn of
/// documents when the store can't tell them.
constexpr int kAgentIntervalFactor = 10;
/// The interval doubles with each exchange that had nothing new, at most this
/// often: 500 ms become 2 s. At 500 ms a settled entry instance spent 4.4 KB/s
/// of its 8 KB/s on exchanges.
constexpr unsigned kMaxDoublings = 2;
/// Exchanges without news before the first doubling. Those that a change has
/// not reached yet are found by these.
constexpr unsigned kQuietBefore = 4;
/// Peers told at once of a change that ends a quiet time. Those that have not
/// heard of it ask rarely: without these, a change took 2.6 s instead of 1.8 s
/// to reach 50 entry instances.
constexpr unsigned kTellAtOnce = 3;

template<typename Map, typename Add>
void
TakeFresh(Map& aFresh, Add aAdd)
{
  size_t taken = 0;
  for (auto at = aFresh.begin(); at != aFresh.end() && taken < kMaxFresh;) {
    ++taken;
    aAdd(at->first);
    at = --at->second == 0 ? aFresh.erase(at) : std::next(at);
  }
}

/// A message that carries the document's version only.
ExchangeMessage
VersionMessage(const Blackboard& aBoard)
{
  ExchangeMessage message;
  message.mFrom = aBoard.mOwn.mAddress;
  message.mDocument = aBoard.mDocument.mVersion;
  message.mDigest = aBoard.mDigest;
  return message;
}

/// Agents announce themselves but hold no view that could be compared.
bool
ComesFromAgent(const ExchangeMessage& aMessage)
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
  TakeFresh(aBoard.mFreshRecords, [&](const Address& aAddress) {
    const auto member = aBoard.mMembers.find(aAddress);
    if (member != aBoard.mMembers.end()) {
      message.mRecords.push_back(member->second.mRecord);
    }
  });
  TakeFresh(aBoard.mFreshVotes, [&](const std::pair<Address, Address>& aKey) {
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
    const auto source = record.mAddress == aMessage.mFrom ? RecordSource::Store
                                                          : RecordSource::Peer;
    MergeRecord(aBoard, record, source, aNow + aBoard.mOptions.mLease);
  }
  for (const HealthVote& vote : aMessage.mVotes) {
    MergeVote(aBoard, vote);
  }
}

/// Appends everything of the buckets whose digests differ from aTheirs.
void
AppendDifferences(const Blackboard& aBoard,
                  const std::vector<uint64_t>& aTheirs,
                  ExchangeMessage& aMessage)
{
  if (aTheirs.size() != kViewBuckets) {
    return;
  }
  const auto ours = BucketDigests(aBoard);
  const auto differs = [&](const Address& aAddress) {
    const size_t bucket = BucketOf(aAddress);
    return ours[bucket] != aTheirs[bucket];
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
HasFresh(const Blackboard& aBoard)
{
  return !aBoard.mFreshRecords.empty() || !aBoard.mFreshVotes.empty();
}

/// True while the next exchange has something to pass on or to settle.
bool
HasNews(const Blackboard& aBoard)
{
  return aBoard.mPeerDiffers || HasFresh(aBoard);
}

} // namespace

ExchangeMessage
ExchangeController::Answer(Blackboard& aBoard,
                           const ExchangeMessage& aMessage,
                           Instant aNow)
{
  if (aMessage.mDocument != aBoard.mDocument.mVersion) {
    aBoard.mPeerDiffers = true;
  }
  if (ComesFromAgent(aMessage)) {
    Merge(aBoard, aMessage, aNow);
    return VersionMessage(aBoard);
  }
  if (aMessage.mDigest != aBoard.mDigest) {
    aBoard.mPeerDiffers = true;
  }
  // Compared before the merge: afterwards both sides have changed.
  ExchangeMessage answer = Compose(aBoard);
  if (aBoard.mOwn.mRole == InstanceRole::Entry) {
    AppendDifferences(aBoard, aMessage.mBuckets, answer);
  }
  Merge(aBoard, aMessage, aNow);
  return answer;
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
  const auto past = [aNow](const auto& aEntry) {
    return aEntry.second <= aNow;
  };
  std::erase_if(mBusy, past);
  std::erase_if(mFailed, past);
  Hasten(aBoard);
  const bool urgent = aBoard.mUrgentExchanges > 0;
  if (!urgent && aNow < mNextExchange) {
    return;
  }
  const bool agent = aBoard.mOwn.mRole == InstanceRole::Agent;
  const int factor = agent ? kAgentIntervalFactor : 1;
  const Duration interval = aRandom.Jittered(
    aBoard.mOptions.mExchangeInterval * factor, kExchangeSpread);
  const bool quiet = !agent && !urgent && !HasNews(aBoard);
  mQuietSteps =
    quiet ? std::min(mQuietSteps + 1, kQuietBefore + kMaxDoublings) : 0;
  const unsigned doublings = std::max(mQuietSteps, kQuietBefore) - kQuietBefore;
  mNextWithNews = aNow + interval;
  mNextExchange = aNow + interval * (1U << doublings);
  // An urgent exchange that finds every peer busy stays due: an agent's change
  // of state would otherwise wait for its next exchange, 5 s later.
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
ExchangeController::Hasten(Blackboard& aBoard)
{
  if (mQuietSteps == 0 || !HasNews(aBoard)) {
    return;
  }
  mQuietSteps = 0;
  mNextExchange = mNextWithNews;
  if (HasFresh(aBoard)) {
    aBoard.mUrgentExchanges = std::max(aBoard.mUrgentExchanges, kTellAtOnce);
  }
}

void
ExchangeController::Send(Blackboard& aBoard,
                         const Address& aPeer,
                         Instant aNow,
                         MembershipEffects& aEffects)
{
  mBusy[aPeer] = aNow + kExchangeTimeout;
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
  const auto consider = [&](const Address& aAddress) {
    if (aAddress != aBoard.mOwn.mAddress && !mBusy.contains(aAddress) &&
        !mFailed.contains(aAddress)) {
      peers.push_back(aAddress);
    }
  };
  for (const auto& [address, member] : aBoard.mMembers) {
    if (member.mRecord.mRole == InstanceRole::Entry &&
        member.mRecord.mState != InstanceState::Left &&
        MayContact(aBoard, member.mRecord)) {
      consider(address);
    }
  }
  for (const auto& [address, heard] : aBoard.mProbers) {
    consider(address);
  }
  for (const Address& seed : aBoard.mOptions.mSeeds) {
    if (!aBoard.mMembers.contains(seed) && !aBoard.mProbers.contains(seed)) {
      consider(seed);
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
  mBusy.erase(aEvent.mWith);
  if (!aEvent.mAnswer) {
    ++aBoard.mCounters.mExchangesFailed;
    mFailed[aEvent.mWith] = aNow + kFailurePause;
    // Nothing was learnt: the next peer is asked after the short interval.
    aBoard.mPeerDiffers = true;
    // An agent's own exchanges are all that reaches it in a failure domain
    // that is out. Its interval is too long to spend on a dead peer.
    if (aBoard.mOwn.mRole == InstanceRole::Agent) {
      mNextExchange = aNow;
    }
    return;
  }
  Merge(aBoard, *aEvent.mAnswer, aNow);
  mViewDiffers = aBoard.mOwn.mRole == InstanceRole::Entry &&
                 aEvent.mAnswer->mDigest != aBoard.mDigest;
  if (mViewDiffers || aEvent.mAnswer->mDocument != aBoard.mDocument.mVersion) {
    aBoard.mPeerDiffers = true;
  }
}

} // namespace snipepost
