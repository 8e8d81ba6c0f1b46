#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <snipepost/Base/Types.h>
#include <snipepost/Membership/Records.h>

namespace snipepost {

/// A document's text with its version. Generation zero with an empty text
/// means that there is no document.
struct VersionedDocument
{
  DocumentVersion mVersion;
  std::string mText;

  bool Exists() const { return mVersion.mGeneration.Value() > 0; }
};

/// Last known state of an instance.
struct Member
{
  InstanceRecord mRecord;
  /// When the lease of the record expires unless it is renewed.
  Instant mLeaseEnd;
  /// Hash of the record, as included in the digests of the view.
  uint64_t mHash = 0;
};

/// State of the platform's object API as last observed.
struct StoreStatus
{
  bool mReachable = false;
  Instant mLastSuccess;
};

/// Event counts of the controllers, exported as metrics.
struct MembershipCounters
{
  uint64_t mProbesSent = 0;
  uint64_t mProbesLost = 0;
  uint64_t mExchanges = 0;
  uint64_t mExchangesFailed = 0;
  uint64_t mDocumentsAdopted = 0;
  uint64_t mDocumentsRejected = 0;
  uint64_t mDocumentPulls = 0;
  uint64_t mWriteBacks = 0;
  uint64_t mStoreReads = 0;
  uint64_t mStoreWrites = 0;
  uint64_t mStoreFailures = 0;
  uint64_t mLeaseRenewals = 0;
};

/// Safety rules that tests disable one at a time to show that each is needed.
struct MembershipSafeguards
{
  /// Only a document with a greater version replaces the current one.
  bool mRejectOlderDocuments = true;
  /// The document is written back to a store that has lost it.
  bool mWriteBack = true;
  /// An instance is suspected only when a majority of its probers can't reach
  /// it.
  bool mVoteMajority = true;
  /// Tombstones keep a dropped record from being added again when a peer still
  /// sends it.
  bool mKeepTombstones = true;
  /// An instance stops acting when the store holds a later incarnation of it.
  bool mFencing = true;
  /// An instance acts only until its lease expires.
  bool mLease = true;
};

/// Settings of the control plane that every controller may read.
struct MembershipOptions
{
  std::string mDeployment;
  /// Instances to exchange with while they are not yet members of the view.
  std::vector<Address> mSeeds;
  Duration mLease = std::chrono::seconds(90);
  Duration mProbeInterval = std::chrono::seconds(1);
  Duration mExchangeInterval = std::chrono::milliseconds(500);
  MembershipSafeguards mSafeguards{};
};

/// State that the membership controllers share. The comment of a field names
/// the controller that maintains it; the others change records and votes only
/// by MergeRecord and MergeVote.
struct Blackboard
{
  MembershipOptions mOptions;

  /// The record that this instance announces; written by MembershipCore.
  InstanceRecord mOwn;
  /// When this instance's lease ends; written by AnnouncementController.
  Instant mOwnLeaseEnd;

  /// Entry instances that recently probed this agent, with the time of the
  /// last probe; written by AnnouncementController.
  std::map<Address, Instant> mProbers;

  /// Failure domains that the document takes out. Instances there receive
  /// neither probes nor exchanges; they pull the document from others. Written
  /// by MembershipCore.
  std::set<DomainId> mDomainsOut;

  /// Written by DocumentController.
  VersionedDocument mDocument;

  /// All known instances by address; written by ViewController.
  std::map<Address, Member> mMembers;
  /// Last version of each dropped record; written by ViewController.
  std::map<Address, RecordVersion> mTombstones;
  /// Votes by target and prober; written by ViewController.
  std::map<std::pair<Address, Address>, HealthVote> mVotes;
  /// Digest of members and votes; kept up to date by ViewController.
  uint64_t mDigest = 0;
  /// Incremented with each change of members, suspects or mDomainsOut.
  uint64_t mViewRevision = 1;

  /// Instances that a majority of their probers can't reach; written by
  /// HealthController.
  std::set<Address> mSuspects;

  /// Recently changed records and votes, each with the number of further
  /// exchanges that include it; written by ViewController, counted down by
  /// ExchangeController.
  std::map<Address, unsigned> mRecentRecords;
  std::map<std::pair<Address, Address>, unsigned> mRecentVotes;
  /// Number of exchanges to send at once because of a local change.
  unsigned mUrgentExchanges = 0;
  /// Set when a peer's view or document differed or an exchange failed since
  /// the last exchange; written by ExchangeController.
  bool mPeerDiffers = false;

  StoreStatus mStore;
  MembershipCounters mCounters;
};

/// Weight of an address in the rendezvous order for aKey; greater weights sort
/// first.
uint64_t
RankWeight(uint64_t aKey, const Address& aAddress);

/// True when aLeft sorts before aRight in the rendezvous order for aKey
/// (Thaler and Ravishankar, 1998): every instance computes the same order.
bool
RanksBefore(uint64_t aKey, const Address& aLeft, const Address& aRight);

/// Position of this instance among the entry instances that are not
/// suspected, in the rendezvous order for aKey; 0 is the first.
size_t
OwnRank(const Blackboard& aBoard, uint64_t aKey);

/// Number of entry instances of each region that watch the store; the others
/// receive its changes by exchange. Constant, so that the load on the store
/// does not grow with the fleet. Per region, so that a region that is cut off
/// does not contain all watchers.
constexpr size_t kStoreWatchersPerRegion = 4;

/// True when this instance is one of those that watch the store.
bool
WatchesStore(const Blackboard& aBoard);

/// True when instances may initiate contact with the instance of the record:
/// its failure domain is not out.
bool
MayContact(const Blackboard& aBoard, const InstanceRecord& aRecord);

/// Hashes a text or an address to a key for RanksBefore.
uint64_t
RankKey(std::string_view aText);
uint64_t
RankKey(const Address& aAddress);

} // namespace snipepost
