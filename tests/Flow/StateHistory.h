#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <snipepost/Base/Types.h>
#include <snipepost/Cluster/Replica.h>

namespace snipepost::flow {

/// The shared state as the store keeps it, with every earlier version of it, so
/// that a replica can be brought to any of them.
class StateHistory
{
public:
  void Put(cluster::Part aPart,
           const std::string& aName,
           const std::string& aText,
           Instant aNow)
  {
    const cluster::Revision revision(mChanges.size() + 1);
    const auto created =
      mCreated.try_emplace({ aPart, aName }, revision).first->second;
    mChanges.push_back({ aPart, { aName, revision, aText, created }, aNow });
  }

  /// Without effect when there is no such object.
  void Remove(cluster::Part aPart, const std::string& aName, Instant aNow)
  {
    if (mCreated.erase({ aPart, aName }) > 0) {
      const cluster::Revision revision(mChanges.size() + 1);
      mChanges.push_back({ aPart, { aName, revision, std::nullopt }, aNow });
    }
  }

  cluster::Revision Latest() const
  {
    return cluster::Revision(mChanges.size());
  }

  /// The latest revision at a time.
  cluster::Revision LatestAt(Instant aTime) const
  {
    size_t count = mChanges.size();
    while (count > 1 && mChanges[count - 1].mAt > aTime) {
      --count;
    }
    return cluster::Revision(count);
  }

  /// The changes of a part after aSince, up to aUntil.
  std::vector<cluster::ObjectChange> Changes(cluster::Part aPart,
                                             cluster::Revision aSince,
                                             cluster::Revision aUntil) const
  {
    std::vector<cluster::ObjectChange> changes;
    for (size_t i = aSince.Value(); i < aUntil.Value(); ++i) {
      if (mChanges[i].mPart == aPart) {
        changes.push_back(mChanges[i].mChange);
      }
    }
    return changes;
  }

  cluster::Snapshot SnapshotAt(cluster::Part aPart,
                               cluster::Revision aRevision) const
  {
    std::map<std::string, cluster::ObjectChange> objects;
    for (const auto& change : Changes(aPart, cluster::Revision(), aRevision)) {
      if (change.mText) {
        objects[change.mName] = change;
      } else {
        objects.erase(change.mName);
      }
    }
    cluster::Snapshot snapshot{ aRevision, {} };
    for (auto& [name, object] : objects) {
      snapshot.mObjects.push_back(std::move(object));
    }
    return snapshot;
  }

private:
  struct Change
  {
    cluster::Part mPart;
    cluster::ObjectChange mChange;
    Instant mAt;
  };

  std::vector<Change> mChanges;
  std::map<std::pair<cluster::Part, std::string>, cluster::Revision> mCreated;
};

} // namespace snipepost::flow
