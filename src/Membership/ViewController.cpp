#include <snipepost/Membership/ViewController.h>

#include <algorithm>

#include <xxhash.h>

#include <snipepost/Membership/AnnouncementController.h>
#include <snipepost/Membership/Codec.h>

namespace snipepost {

using namespace std::chrono_literals;

namespace {

/// Interval of full lists for instances that watch and those that do not.
constexpr Duration kWatcherListInterval = 60s;
constexpr Duration kOtherListInterval = 300s;
constexpr double kListSpread = 0.2;
/// Pause between two watches of one prefix: batches renewals, so that a
/// watcher makes at most one call a second for each prefix.
constexpr Duration kWatchPause = 1s;
/// Number of exchanges that carry a changed record or vote.
constexpr unsigned kFreshSends = 8;
/// A probed instance that answers stays in the view without a lease renewal,
/// since the store may be out.
constexpr Duration kLeaseGrace = 10s;

uint64_t
HashRecord(const InstanceRecord& aRecord)
{
  const std::string text = WriteRecord(aRecord);
  return XXH3_64bits(text.data(), text.size());
}

uint64_t
HashVote(const HealthVote& aVote)
{
  const std::array<uint64_t, 5> fields{ std::hash<Address>{}(aVote.mTarget),
                                        std::hash<Address>{}(aVote.mProber),
                                        aVote.mDown ? 1U : 0U,
                                        aVote.mVersion.mIncarnation.Value(),
                                        aVote.mVersion.mSequence };
  return XXH3_64bits(fields.data(), sizeof fields);
}

/// Keeps peers that have not dropped the record yet from bringing it back.
void
RememberDropped(Blackboard& aBoard, const InstanceRecord& aRecord)
{
  if (!aBoard.mOptions.mGuards.mDropMemory) {
    return;
  }
  constexpr size_t kMaxDropped = 10000;
  if (aBoard.mDropped.size() >= kMaxDropped) {
    aBoard.mDropped.clear();
  }
  aBoard.mDropped[aRecord.mAddress] = aRecord.mVersion;
}

} // namespace

bool
MergeRecord(Blackboard& aBoard,
            const InstanceRecord& aRecord,
            RecordSource aSource,
            Instant aLeaseEnd)
{
  const auto dropped = aBoard.mDropped.find(aRecord.mAddress);
  if (dropped != aBoard.mDropped.end()) {
    const bool stale = aRecord.mVersion <= dropped->second;
    if (stale && aSource == RecordSource::Peer) {
      return false;
    }
    aBoard.mDropped.erase(dropped);
  }
  if (aRecord.mAddress == aBoard.mOwn.mAddress &&
      aRecord.mVersion != aBoard.mOwn.mVersion) {
    return false; // Only this instance publishes its own record.
  }
  auto found = aBoard.mMembers.find(aRecord.mAddress);
  if (found != aBoard.mMembers.end()) {
    Member& member = found->second;
    if (aRecord.mVersion < member.mRecord.mVersion) {
      return false;
    }
    member.mLeaseEnd = std::max(member.mLeaseEnd, aLeaseEnd);
    if (aRecord.mVersion == member.mRecord.mVersion) {
      return false;
    }
    const uint64_t hash = HashRecord(aRecord);
    aBoard.mDigest ^= member.mHash ^ hash;
    member = { aRecord, aLeaseEnd, hash };
  } else {
    const uint64_t hash = HashRecord(aRecord);
    aBoard.mDigest ^= hash;
    aBoard.mMembers.emplace(aRecord.mAddress,
                            Member{ aRecord, aLeaseEnd, hash });
  }
  aBoard.mFreshRecords[aRecord.mAddress] = kFreshSends;
  ++aBoard.mRevision;
  return true;
}

bool
MergeVote(Blackboard& aBoard, const HealthVote& aVote)
{
  const std::pair key(aVote.mTarget, aVote.mProber);
  auto found = aBoard.mVotes.find(key);
  if (found != aBoard.mVotes.end()) {
    if (aVote.mVersion <= found->second.mVersion) {
      return false;
    }
    aBoard.mDigest ^= HashVote(found->second);
    found->second = aVote;
  } else {
    aBoard.mVotes.emplace(key, aVote);
  }
  aBoard.mDigest ^= HashVote(aVote);
  aBoard.mFreshVotes[key] = kFreshSends;
  return true;
}

size_t
BucketOf(const Address& aAddress)
{
  return RankKey(aAddress) % kViewBuckets;
}

std::vector<uint64_t>
BucketDigests(const Blackboard& aBoard)
{
  std::vector<uint64_t> digests(kViewBuckets);
  for (const auto& [address, member] : aBoard.mMembers) {
    digests[BucketOf(address)] ^= member.mHash;
  }
  for (const auto& [key, vote] : aBoard.mVotes) {
    digests[BucketOf(key.first)] ^= HashVote(vote);
  }
  return digests;
}

ViewController::ViewController()
  : mSources{
    Source{ "endpoints/", false, false, 0, {}, {}, Backoff(500ms, 10s) },
    Source{ "entries/", false, false, 0, {}, {}, Backoff(500ms, 10s) },
    Source{ "deployments/", false, false, 0, {}, {}, Backoff(500ms, 10s) }
  }
{
}

void
ViewController::Step(Blackboard& aBoard,
                     const MembershipEvent& aEvent,
                     Instant aNow,
                     Random& aRandom,
                     MembershipEffects& aEffects)
{
  if (std::holds_alternative<ClockTick>(aEvent)) {
    OnTick(aBoard, aNow, aRandom, aEffects);
  } else if (const auto* list = std::get_if<StoreListEnded>(&aEvent)) {
    OnList(aBoard, *list, aNow, aRandom);
  }
  if (mSeenRevision != aBoard.mRevision) {
    mSeenRevision = aBoard.mRevision;
    aEffects.emplace_back(ViewChanged{});
  }
}

void
ViewController::OnTick(Blackboard& aBoard,
                       Instant aNow,
                       Random& aRandom,
                       MembershipEffects& aEffects)
{
  MergeRecord(
    aBoard, aBoard.mOwn, RecordSource::Store, aNow + aBoard.mOptions.mLease);
  DropLapsed(aBoard, aNow);
  for (Source& source : mSources) {
    ReadSource(aBoard, source, aNow, aRandom, aEffects);
  }
}

void
ViewController::ReadSource(Blackboard& aBoard,
                           Source& aSource,
                           Instant aNow,
                           Random& aRandom,
                           MembershipEffects& aEffects)
{
  if (aSource.mInFlight || aNow < aSource.mNextCall) {
    return;
  }
  const bool watches = WatchesStore(aBoard);
  const bool list = !aSource.mListed || aNow >= aSource.mNextList;
  if (!list && !watches) {
    return;
  }
  aSource.mInFlight = true;
  ++aBoard.mCounters.mStoreReads;
  if (!list) {
    aEffects.emplace_back(StoreWatch{ aSource.mPrefix, aSource.mRevision });
    return;
  }
  aSource.mNextList =
    aNow + aRandom.Jittered(watches ? kWatcherListInterval : kOtherListInterval,
                            kListSpread);
  aEffects.emplace_back(StoreList{ aSource.mPrefix });
}

void
ViewController::OnList(Blackboard& aBoard,
                       const StoreListEnded& aEvent,
                       Instant aNow,
                       Random& aRandom)
{
  const auto source =
    std::find_if(mSources.begin(), mSources.end(), [&](const Source& aSource) {
      return aEvent.mPrefix == aSource.mPrefix;
    });
  if (source == mSources.end()) {
    return;
  }
  source->mInFlight = false;
  if (aEvent.mOutcome != ObjectOutcome::Done) {
    ++aBoard.mCounters.mStoreFailures;
    source->mListed = false;
    source->mNextCall = aNow + source->mDelay.Next(aRandom);
    return;
  }
  source->mDelay.Reset();
  // A store that was rolled back starts its revisions anew: a watch from the
  // old one would wait for a revision that may never come.
  source->mListed = aEvent.mRevision >= source->mRevision;
  source->mRevision = aEvent.mRevision;
  // A document must not wait for the pause that batches lease renewals.
  const bool urgent = source->mPrefix == mSources.back().mPrefix;
  source->mNextCall = urgent ? aNow : aNow + kWatchPause;
  OnListed(aBoard, aEvent, aNow);
}

void
ViewController::OnListed(Blackboard& aBoard,
                         const StoreListEnded& aEvent,
                         Instant aNow)
{
  for (const StoredObject& object : aEvent.mObjects) {
    const auto record = ParseRecord(object.mValue);
    if (record && RecordKey(*record) == object.mKey) {
      MergeRecord(
        aBoard, *record, RecordSource::Store, aNow + aBoard.mOptions.mLease);
    }
  }
}

void
ViewController::DropLapsed(Blackboard& aBoard, Instant aNow)
{
  for (auto at = aBoard.mMembers.begin(); at != aBoard.mMembers.end();) {
    Member& member = at->second;
    const bool suspect = aBoard.mSuspects.contains(at->first);
    if (aNow < member.mLeaseEnd) {
      ++at;
      continue;
    }
    // An absent or unreadable store removes nobody who still answers probes.
    if (!suspect && member.mRecord.mState != InstanceState::Left) {
      member.mLeaseEnd = aNow + kLeaseGrace;
      ++at;
      continue;
    }
    aBoard.mDigest ^= member.mHash;
    for (auto vote = aBoard.mVotes.lower_bound({ at->first, Address{} });
         vote != aBoard.mVotes.end() && vote->first.first == at->first;) {
      aBoard.mDigest ^= HashVote(vote->second);
      vote = aBoard.mVotes.erase(vote);
    }
    aBoard.mSuspects.erase(at->first);
    RememberDropped(aBoard, member.mRecord);
    at = aBoard.mMembers.erase(at);
    ++aBoard.mRevision;
  }
}

} // namespace snipepost
