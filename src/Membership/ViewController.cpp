#include <snipepost/Membership/ViewController.h>

#include <algorithm>

#include <xxhash.h>

#include <snipepost/Membership/AnnouncementController.h>
#include <snipepost/Membership/Codec.h>

namespace snipepost {

using namespace std::chrono_literals;

namespace {

/// Intervals of full lists for instances that watch the store and for others.
constexpr Duration kWatcherListInterval = 60s;
constexpr Duration kNonWatcherListInterval = 300s;
constexpr double kListJitter = 0.2;
/// Delay between two watches of one prefix of records. Batches renewals, so
/// that a watcher makes at most one call per second for each.
constexpr Duration kWatchDelay = 1s;
/// Number of exchanges that include a changed record or vote.
constexpr unsigned kSendsPerChange = 8;
/// An expired lease is extended by this time while the instance replies to
/// probes, since the store may be unavailable.
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

/// Keeps a dropped record from being added again when a peer still sends it.
void
AddTombstone(Blackboard& aBoard, const InstanceRecord& aRecord)
{
  if (!aBoard.mOptions.mSafeguards.mKeepTombstones) {
    return;
  }
  constexpr size_t kMaxTombstones = 10000;
  if (aBoard.mTombstones.size() >= kMaxTombstones) {
    aBoard.mTombstones.clear();
  }
  aBoard.mTombstones[aRecord.mAddress] = aRecord.mVersion;
}

} // namespace

bool
MergeRecord(Blackboard& aBoard,
            const InstanceRecord& aRecord,
            RecordSource aSource,
            Instant aLeaseEnd)
{
  const auto dropped = aBoard.mTombstones.find(aRecord.mAddress);
  if (dropped != aBoard.mTombstones.end()) {
    const bool stale = aRecord.mVersion <= dropped->second;
    if (stale && aSource == RecordSource::Peer) {
      return false;
    }
    aBoard.mTombstones.erase(dropped);
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
  aBoard.mRecentRecords[aRecord.mAddress] = kSendsPerChange;
  ++aBoard.mViewRevision;
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
  aBoard.mRecentVotes[key] = kSendsPerChange;
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
  : mReaders{
    PrefixReader{ "endpoints/", false, false, 0, {}, {}, Backoff(500ms, 10s) },
    PrefixReader{ "entries/", false, false, 0, {}, {}, Backoff(500ms, 10s) },
    PrefixReader{ "deployments/", false, false, 0, {}, {}, Backoff(500ms, 10s) }
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
    OnListEnded(aBoard, *list, aNow, aRandom);
  }
  if (mReportedRevision != aBoard.mViewRevision) {
    mReportedRevision = aBoard.mViewRevision;
    aEffects.emplace_back(ViewChanged{});
  }
}

void
ViewController::OnTick(Blackboard& aBoard,
                       Instant aNow,
                       Random& aRandom,
                       MembershipEffects& aEffects)
{
  MergeRecord(aBoard,
              aBoard.mOwn,
              RecordSource::Authoritative,
              aNow + aBoard.mOptions.mLease);
  DropExpired(aBoard, aNow);
  for (PrefixReader& reader : mReaders) {
    ReadPrefix(aBoard, reader, aNow, aRandom, aEffects);
  }
}

void
ViewController::ReadPrefix(Blackboard& aBoard,
                           PrefixReader& aReader,
                           Instant aNow,
                           Random& aRandom,
                           MembershipEffects& aEffects)
{
  if (aReader.mInFlight || aNow < aReader.mNextCall) {
    return;
  }
  const bool watches = WatchesStore(aBoard);
  const bool list = !aReader.mListed || aNow >= aReader.mNextList;
  if (!list && !watches) {
    return;
  }
  aReader.mInFlight = true;
  ++aBoard.mCounters.mStoreReads;
  if (!list) {
    aEffects.emplace_back(StoreWatch{ aReader.mPrefix, aReader.mRevision });
    return;
  }
  aReader.mNextList = aNow + aRandom.Jittered(watches ? kWatcherListInterval
                                                      : kNonWatcherListInterval,
                                              kListJitter);
  aEffects.emplace_back(StoreList{ aReader.mPrefix });
}

void
ViewController::OnListEnded(Blackboard& aBoard,
                            const StoreListEnded& aEvent,
                            Instant aNow,
                            Random& aRandom)
{
  const auto reader = std::find_if(
    mReaders.begin(), mReaders.end(), [&](const PrefixReader& aReader) {
      return aEvent.mPrefix == aReader.mPrefix;
    });
  if (reader == mReaders.end()) {
    return;
  }
  reader->mInFlight = false;
  if (aEvent.mOutcome != ObjectOutcome::Done) {
    ++aBoard.mCounters.mStoreFailures;
    reader->mListed = false;
    reader->mNextCall = aNow + reader->mDelay.Next(aRandom);
    return;
  }
  reader->mDelay.Reset();
  // A store that was rolled back restarts its revisions: a watch from the old
  // revision might never return.
  reader->mListed = aEvent.mRevision >= reader->mRevision;
  reader->mRevision = aEvent.mRevision;
  // The documents, under the last prefix, skip the delay that batches lease
  // renewals.
  const bool urgent = reader->mPrefix == mReaders.back().mPrefix;
  reader->mNextCall = urgent ? aNow : aNow + kWatchDelay;
  MergeListed(aBoard, aEvent, aNow);
}

void
ViewController::MergeListed(Blackboard& aBoard,
                            const StoreListEnded& aEvent,
                            Instant aNow)
{
  for (const StoredObject& object : aEvent.mObjects) {
    const auto record = ParseRecord(object.mValue);
    if (record && RecordKey(*record) == object.mKey) {
      MergeRecord(aBoard,
                  *record,
                  RecordSource::Authoritative,
                  aNow + aBoard.mOptions.mLease);
    }
  }
}

void
ViewController::DropExpired(Blackboard& aBoard, Instant aNow)
{
  for (auto at = aBoard.mMembers.begin(); at != aBoard.mMembers.end();) {
    Member& member = at->second;
    const bool suspect = aBoard.mSuspects.contains(at->first);
    if (aNow < member.mLeaseEnd) {
      ++at;
      continue;
    }
    // An unreachable or unreadable store does not remove instances that still
    // reply to probes.
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
    AddTombstone(aBoard, member.mRecord);
    at = aBoard.mMembers.erase(at);
    ++aBoard.mViewRevision;
  }
}

} // namespace snipepost
