#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <snipepost/Base/Types.h>

namespace snipepost::tools {

/// One accepted change: a write, a removal or an expiry.
struct Change
{
  uint64_t mRevision = 0;
  std::string mKey{};
  /// Null when the object was removed.
  std::shared_ptr<const std::string> mValue{};
  /// Expiry of the object's lease, if it has one.
  std::optional<Instant> mExpiry{};
};

/// Objects with versions and leases, and a history for rollbacks. An object's
/// version is the revision of the whole store at its last change. Has no clock
/// and does no I/O.
class Store
{
public:
  /// The object, or null.
  const Change* Get(const std::string& aKey) const;

  /// The objects whose keys start with aPrefix, ordered by key.
  std::vector<const Change*> List(const std::string& aPrefix) const;

  /// The last change of each object with the prefix that changed after aSince.
  std::vector<const Change*> ChangesAfter(const std::string& aPrefix,
                                          uint64_t aSince) const;

  /// Applies a change and returns it with its new revision.
  const Change& Put(std::string aKey,
                    std::string aValue,
                    std::optional<Instant> aExpiry);
  const Change& Remove(std::string aKey);

  /// Removes the objects whose leases expired by aNow; returns the removals.
  std::vector<Change> Expire(Instant aNow);

  /// Restores the state as of aRevision, which becomes the current revision.
  /// False when the history does not reach back that far.
  bool RollBack(uint64_t aRevision);

  /// Discards all objects, the history and the revision.
  void Clear();

  uint64_t Revision() const { return mRevision; }

private:
  using Entries = std::map<std::string, Change>;

  const Change& Apply(Change aChange);
  void TrimHistory();

  /// The last change of each key, including removals.
  Entries mEntries;
  /// State before the first change in mHistory, and its revision.
  Entries mBase;
  uint64_t mBaseRevision = 0;
  std::vector<Change> mHistory;
  uint64_t mRevision = 0;
};

} // namespace snipepost::tools
