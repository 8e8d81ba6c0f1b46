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

/// A document as an instance holds it: its place in the order and its text.
/// Version zero with an empty text means that none is held.
struct HeldDocument
{
  DocumentVersion mVersion;
  std::string mText;

  bool Exists() const { return mVersion.mGeneration.Value() > 0; }
};

/// What an instance knows of another one.
struct Member
{
  InstanceRecord mRecord;
  /// When the record stops counting unless it is renewed.
  Instant mLeaseEnd;
  /// Part of the record in the digests of the view.
  uint64_t mHash = 0;
};

/// What an instance knows of the platform's object API.
struct StoreStatus
{
  bool mReachable = false;
  Instant mLastSuccess;
};

/// Counts of what the controllers did, for metrics.
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

/// Switches off single rules, so that tests can show that each is needed.
struct MembershipGuards
{
  /// Only a greater document replaces the one held.
  bool mNeverReverts = true;
  /// A store that lost the document gets it back.
  bool mWriteBack = true;
  /// Suspicion needs most of the probers.
  bool mVoteMajority = true;
  /// Peers cannot bring back a record that was dropped.
  bool mDropMemory = true;
  /// A later incarnation in the store ends this life's right to act.
  bool mFencing = true;
  /// An instance acts only while its lease lasts.
  bool mLease = true;
};

/// Settings of the control plane that every controller may read.
struct MembershipOptions
{
  std::string mDeployment;
  /// Instances asked before anything is known of others.
  std::vector<Address> mSeeds;
  Duration mLease = std::chrono::seconds(90);
  Duration mProbeInterval = std::chrono::seconds(1);
  Duration mExchangeInterval = std::chrono::milliseconds(500);
  MembershipGuards mGuards{};
};

/// State that the membership controllers share. Each part has one writer; the
/// others only read it.
struct Blackboard
{
  MembershipOptions mOptions;

  /// What this instance announces. Written by its owner through
  /// MembershipCore and by AnnouncementController.
  InstanceRecord mOwn;
  /// Until when this instance may act on its announcement; written by
  /// AnnouncementController.
  Instant mOwnLeaseEnd;

  /// Entry instances that probed this agent lately, with the time; written by
  /// AnnouncementController.
  std::map<Address, Instant> mProbers;

  /// Failure domains that the document takes out. Instances there get neither
  /// probes nor exchanges; they ask others for the document themselves.
  /// Written through MembershipCore.
  std::set<DomainId> mDomainsOut;

  /// Written by DocumentController.
  HeldDocument mDocument;

  /// Every instance heard of, by address; written by ViewController.
  std::map<Address, Member> mMembers;
  /// Last version of each record that was dropped; written by ViewController.
  std::map<Address, RecordVersion> mDropped;
  /// Votes by target and prober; written by ViewController.
  std::map<std::pair<Address, Address>, HealthVote> mVotes;
  /// Digest of members and votes; kept up to date by ViewController.
  uint64_t mDigest = 0;
  /// Grows with each change of members or suspects.
  uint64_t mRevision = 1;

  /// Instances that most of their probers can't reach; written by
  /// HealthController.
  std::set<Address> mSuspects;

  /// Records and votes that changed lately, with the number of exchanges that
  /// still carry them; written by ViewController, counted down by
  /// ExchangeController.
  std::map<Address, unsigned> mFreshRecords;
  std::map<std::pair<Address, Address>, unsigned> mFreshVotes;
  /// Exchanges that are due at once because something changed here.
  unsigned mUrgentExchanges = 0;
  /// Since the last exchange a peer's view or document differed, or an
  /// exchange failed; written by ExchangeController.
  bool mPeerDiffers = false;

  StoreStatus mStore;
  MembershipCounters mCounters;
};

/// Weight of an address in the rendezvous order for aKey; the greatest is
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
/// learn from them by exchange. Independent of the fleet, so that the store's
/// load is too. Per region, because a region that is cut off must not take all
/// watchers with it.
constexpr size_t kStoreWatchers = 4;

/// True when this instance is one of those that watch the store.
bool
WatchesStore(const Blackboard& aBoard);

/// True when other instances may send packets to this one unasked: its failure
/// domain is in.
bool
MayContact(const Blackboard& aBoard, const InstanceRecord& aRecord);

/// Key of a text or an address for RanksBefore.
uint64_t
RankKey(std::string_view aText);
uint64_t
RankKey(const Address& aAddress);

} // namespace snipepost
