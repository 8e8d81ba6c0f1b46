#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <snipepost/Cluster/BackendRecord.h>
#include <snipepost/Cluster/RouteConfig.h>

namespace snipepost::cluster {

/// The parts of the shared state, each with a revision of its own.
enum class Part : uint8_t
{
  Routes,
  Evacuations,
  Backends,
};

/// In the order in which a new node reads them: routes may take long to
/// transfer, and an agent can do without them.
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

/// How much of a part a node has seen. Two nodes hold the same content exactly
/// when their digests are equal; the higher revision tells who knows better.
struct PartVersion
{
  Revision mRevision;
  uint32_t mDigest = 0;
  /// False until a first snapshot was applied.
  bool mKnown = false;

  bool operator==(const PartVersion&) const = default;
};

/// One stored object: nothing in mText means that it was removed.
struct ObjectChange
{
  std::string mName;
  Revision mRevision;
  std::optional<std::string> mText;
};

/// All objects of a part at one revision.
struct Snapshot
{
  Revision mRevision;
  std::vector<ObjectChange> mObjects;
};

/// Turns the text of the operator's configuration into routes; nothing when it
/// is not valid. The store's format is known to the platform adapter only.
using ConfigDecoder =
  std::function<std::optional<RouteConfig>(std::string_view)>;

/// A node's copy of the shared state: the operator's configuration, the failure
/// domains that are evacuated and the records of backend servers. It changes by
/// snapshots and events of the store, or by snapshots of a peer. Nothing is
/// ever replaced by something older. Pure.
class Replica
{
public:
  /// Told once after all changes of a call were applied, also when the first
  /// snapshot of a part is empty; aChanges says what changed, for the log.
  using Observer =
    std::function<void(Part, const std::vector<std::string>& aChanges)>;

  explicit Replica(ConfigDecoder aDecoder);

  void Observe(Observer aObserver) { mObserver = std::move(aObserver); }

  /// Replaces a part when aSnapshot is newer than what is held. False when it
  /// is not.
  bool ApplySnapshot(Part aPart, const Snapshot& aSnapshot);

  /// Applies changes in the order of the store; aRevision is where they end.
  void ApplyChanges(Part aPart,
                    const std::vector<ObjectChange>& aChanges,
                    Revision aRevision);

  /// Writes a part for a peer. DecodeSnapshot() reads it.
  std::string EncodeSnapshot(Part aPart) const;
  static std::optional<Snapshot> DecodeSnapshot(std::string_view aText);

  PartVersion Version(Part aPart) const
  {
    return mParts[Index(aPart)].mVersion;
  }
  bool Known(Part aPart) const { return Version(aPart).mKnown; }
  /// True when every part is known.
  bool Complete() const;

  /// Never null; empty until a configuration is known.
  std::shared_ptr<const RouteConfig> Routes() const { return mRoutes; }
  const std::map<std::string, BackendRecord>& Backends() const
  {
    return mBackends;
  }
  bool Evacuated(const std::string& aDomain) const;
  /// Names of all evacuated failure domains.
  std::vector<std::string> EvacuatedDomains() const;
  /// The object aName of a part; nothing when there is none.
  std::optional<StoredRecord> Stored(Part aPart,
                                     const std::string& aName) const;
  /// Records that could not be read and name no backend server.
  uint64_t RejectedObjects() const { return mRejected; }

private:
  struct Object
  {
    Revision mRevision;
    std::string mText;
  };

  struct PartState
  {
    PartVersion mVersion;
    std::map<std::string, Object> mObjects;
  };

  bool ApplyObject(Part aPart, const ObjectChange& aChange);
  bool ApplyRoutes(const std::string& aText);
  void RemoveObject(Part aPart, const std::string& aName);
  void UpdateVersion(PartState& aPart, Revision aRevision);
  /// Tells the observer of mChanges.
  void Notify(Part aPart);

  ConfigDecoder mDecoder;
  Observer mObserver;
  std::vector<std::string> mChanges;
  std::array<PartState, kParts.size()> mParts;
  std::shared_ptr<const RouteConfig> mRoutes;
  std::map<std::string, BackendRecord> mBackends;
  uint64_t mRejected = 0;
};

} // namespace snipepost::cluster
