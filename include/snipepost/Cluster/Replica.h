#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <snipepost/Cluster/BackendRecord.h>
#include <snipepost/Cluster/RouteConfig.h>

namespace snipepost::cluster {

/// The parts of the shared state, each with a revision of its own.
enum class Part : uint8_t
{
  /// The operator's configuration.
  Routes,
  /// The evacuated failure domains.
  Evacuations,
  /// The records of backend servers.
  Backends,
};

/// In the order in which a new node reads them. Routes are last: they may take
/// long to transfer, and an agent works without them.
constexpr std::array<Part, 3> kParts = { Part::Evacuations,
                                         Part::Backends,
                                         Part::Routes };

constexpr size_t
Index(Part aPart)
{
  return static_cast<size_t>(aPart);
}

std::string_view
ToString(Part aPart);

/// Version of a node's copy of a part. The copy with the higher epoch is newer.
/// In the same epoch equal hashes mean equal content; if they differ, the copy
/// with the higher revision is newer.
struct PartVersion
{
  Revision mRevision;
  uint32_t mContentHash = 0;
  /// False until a first snapshot was applied.
  bool mLoaded = false;
  Epoch mEpoch{};

  Position At() const { return { mEpoch, mRevision }; }
  bool operator==(const PartVersion&) const = default;
};

/// True when aVersion has newer content than aOther.
bool
HasNewerContent(const PartVersion& aVersion, const PartVersion& aOther);

/// The new state of a stored object; no mText means that it was removed.
struct ObjectChange
{
  std::string mName;
  Revision mRevision;
  std::optional<std::string> mText;
  /// Revision at which the object was created; zero when unknown.
  Revision mCreated{};
};

/// All objects of a part at one revision.
struct Snapshot
{
  Revision mRevision;
  std::vector<ObjectChange> mObjects;
  Epoch mEpoch{};

  Position At() const { return { mEpoch, mRevision }; }
};

/// The changes of a part since a revision, from a peer.
struct PartChanges
{
  Revision mSince;
  /// Version of the peer's copy, which includes the changes.
  PartVersion mVersion;
  std::vector<ObjectChange> mChanges;
};

/// Decodes the text of the operator's configuration; nothing when it is not
/// valid. Supplied by the platform adapter, so that only the adapter depends on
/// the format of the store.
using ConfigDecoder =
  std::function<std::optional<RouteConfig>(std::string_view)>;

/// A node's copy of the shared state: the operator's configuration, the
/// evacuated failure domains and the records of backend servers. It is updated
/// by snapshots and changes from the store and from peers. An object is never
/// replaced by an older version. Does no I/O; the time is an argument.
///
/// A snapshot of a later epoch replaces a part, whatever its revision is. The
/// restored store may lack acknowledged writes until they are repeated.
/// Meanwhile the newest configuration stays in force, and the evacuations and
/// records that are missing are retained for kRetention.
class Replica
{
public:
  /// Called once after ApplySnapshot() or ApplyChanges() has applied changes;
  /// the first snapshot of a part counts as one, even if empty. aChanges
  /// describes them for the log.
  using Observer =
    std::function<void(Part, const std::vector<std::string>& aChanges)>;

  /// Time within which the operator and the agents repeat writes that a
  /// restored store has lost.
  static constexpr Duration kRetention = std::chrono::seconds(10);

  explicit Replica(ConfigDecoder aDecoder);

  void SetObserver(Observer aObserver) { mObserver = std::move(aObserver); }

  /// Replaces a part. False, without effect, when aSnapshot is older than the
  /// current content.
  bool ApplySnapshot(Part aPart, const Snapshot& aSnapshot);

  /// Applies changes of the part's epoch in the order of the store, up to
  /// aRevision.
  void ApplyChanges(Part aPart,
                    const std::vector<ObjectChange>& aChanges,
                    Revision aRevision);

  /// Encodes the changes of a part since aSince as JSON for a peer, which
  /// decodes them with DecodeChanges(). Nothing when some of them are no longer
  /// known or the epochs differ; the peer then needs a snapshot.
  std::optional<std::string> EncodeChanges(Part aPart, Position aSince) const;
  static std::optional<PartChanges> DecodeChanges(std::string_view aText);

  /// Applies changes from a peer. False when the part differs from the peer's
  /// copy afterwards, so that a snapshot is needed.
  bool ApplyPeerChanges(Part aPart, const PartChanges& aChanges);

  /// Encodes a part as JSON for a peer, which decodes it with DecodeSnapshot().
  std::string EncodeSnapshot(Part aPart) const;
  static std::optional<Snapshot> DecodeSnapshot(std::string_view aText);

  /// Discards what was retained for kRetention. To be called periodically.
  void ExpireRetained(Instant aNow);
  /// True for an object of an earlier epoch that the restored store lacks.
  bool Retained(Part aPart, const std::string& aName) const
  {
    return mParts[Index(aPart)].mRetained.contains(aName);
  }

  PartVersion Version(Part aPart) const
  {
    return mParts[Index(aPart)].mVersion;
  }
  bool Loaded(Part aPart) const { return Version(aPart).mLoaded; }
  /// The latest epoch of any part.
  Epoch LatestEpoch() const;
  /// True when every part is loaded and a valid configuration is in force.
  bool Complete() const;

  /// Never null; empty until a valid configuration was applied.
  std::shared_ptr<const RouteConfig> Routes() const { return mRoutes; }
  const std::map<std::string, BackendRecord>& Backends() const
  {
    return mBackends;
  }
  bool Evacuated(const std::string& aDomain) const;
  /// Names of all evacuated failure domains.
  std::vector<std::string> EvacuatedDomains() const;
  /// The object aName of a part; nothing when there is none.
  std::optional<StoredRecord> FindObject(Part aPart,
                                         const std::string& aName) const;
  /// Revision at which the record aName was created; zero when unknown, as for
  /// records from before the store was restored.
  Revision RecordCreated(const std::string& aName) const;
  /// Number of configurations and records that could not be decoded.
  uint64_t UndecodableObjects() const { return mUndecodableObjects; }

private:
  struct Object
  {
    Revision mRevision;
    std::string mText;
    Revision mCreated;
  };

  struct Removal
  {
    std::string mName;
    Revision mRevision;
  };

  struct PartState
  {
    PartVersion mVersion;
    std::map<std::string, Object> mObjects;
    /// The latest removals, in the order in which they were applied. Revisions
    /// are at least those of the removals.
    std::deque<Removal> mRemovals;
    /// All removals after this revision are in mRemovals, except those of
    /// objects that were created and removed between two snapshots; peers
    /// detect such a difference by the content hash.
    Revision mRemovalsKnownSince;
    /// Creations up to this revision prove no age: before the restore, the
    /// store may have had other objects at the same time. Zero without one.
    Revision mCreationsKnownSince;
    /// Names of objects of earlier epochs that the restored store lacks.
    std::set<std::string> mRetained;
    /// Not set before the first ExpireRetained() after a restore.
    std::optional<Instant> mRetainedUntil;
  };

  using Names = std::vector<std::string>;

  /// Names of the objects of a part that are not in aSnapshot.
  Names MissingIn(const Snapshot& aSnapshot, Part aPart) const;
  /// Prepares a part for a snapshot of a later epoch.
  void BeginEpoch(Part aPart, const Snapshot& aSnapshot);
  bool ApplyObject(Part aPart, const ObjectChange& aChange);
  bool ApplyRecord(const std::string& aName, const std::string& aText);
  bool ApplyRoutes(const std::string& aText);
  void RemoveObject(Part aPart, const std::string& aName, Revision aRevision);
  void UpdateVersion(PartState& aPart, Revision aRevision);
  void NotifyObserver(Part aPart);

  ConfigDecoder mDecoder;
  Observer mObserver;
  /// Descriptions of the changes since the last call of the observer.
  std::vector<std::string> mChanges;
  std::array<PartState, kParts.size()> mParts;
  std::shared_ptr<const RouteConfig> mRoutes;
  std::map<std::string, BackendRecord> mBackends;
  uint64_t mUndecodableObjects = 0;
};

} // namespace snipepost::cluster
