#pragma once

#include <functional>
#include <map>
#include <set>

#include <snipepost/Ctl/ObjectStore.h>

namespace snipepost {

enum class StoreFault
{
  None,
  Refuse,
  LoseBefore,
  LoseAfter,
};

/// An object store in memory whose calls a test disturbs by their number.
class FakeStore : public ObjectStore
{
public:
  struct Object
  {
    uint64_t mVersion = 0;
    std::string mValue;
  };
  using Objects = std::map<std::string, Object>;

  /// Called with the number of each call before it takes effect; may change
  /// the objects.
  std::function<StoreFault(int)> mBeforeCall;
  Objects mObjects;
  uint64_t mLastVersion = 0;
  int mCalls = 0;
  /// Every value that a key has held.
  std::map<std::string, std::set<std::string>> mHistory;

  void Set(const std::string& aKey, const std::string& aValue)
  {
    mObjects[aKey] = { ++mLastVersion, aValue };
    mHistory[aKey].insert(aValue);
  }

  StoreAnswer Get(const std::string& aKey) override
  {
    return Call([&] {
      const auto found = mObjects.find(aKey);
      if (found == mObjects.end()) {
        return StoreAnswer{ ObjectOutcome::Absent, {} };
      }
      return StoreAnswer{ ObjectOutcome::Done, { Stored(*found) } };
    });
  }

  StoreAnswer List(const std::string& aPrefix) override
  {
    return Call([&] {
      StoreAnswer answer{ ObjectOutcome::Done, {} };
      for (const auto& item : mObjects) {
        if (item.first.starts_with(aPrefix)) {
          answer.mObjects.push_back(Stored(item));
        }
      }
      return answer;
    });
  }

  StoreAnswer Put(const std::string& aKey,
                  const std::string& aValue,
                  std::optional<ObjectVersion> aVersion) override
  {
    return Call([&] {
      const auto found = mObjects.find(aKey);
      const bool exists = found != mObjects.end();
      if (exists != aVersion.has_value() ||
          (exists && found->second.mVersion != aVersion->Value())) {
        return StoreAnswer{ ObjectOutcome::Conflict, {} };
      }
      Set(aKey, aValue);
      return StoreAnswer{ ObjectOutcome::Done, {} };
    });
  }

private:
  static StoredObject Stored(const Objects::value_type& aItem)
  {
    return { aItem.first,
             ObjectVersion(aItem.second.mVersion),
             aItem.second.mValue };
  }

  StoreAnswer Call(const std::function<StoreAnswer()>& aEffect)
  {
    const StoreFault fault =
      mBeforeCall ? mBeforeCall(mCalls) : StoreFault::None;
    ++mCalls;
    if (fault == StoreFault::Refuse) {
      return { ObjectOutcome::Refused, {} };
    }
    if (fault == StoreFault::LoseBefore) {
      return { ObjectOutcome::Unknown, {} };
    }
    StoreAnswer answer = aEffect();
    if (fault == StoreFault::LoseAfter) {
      return { ObjectOutcome::Unknown, {} };
    }
    return answer;
  }
};

} // namespace snipepost
