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
  /// The call is lost before it takes effect.
  LoseRequest,
  /// The call takes effect, but its response is lost.
  LoseResponse,
};

/// In-memory object store in which tests inject faults into single calls.
class FakeStore : public ObjectStore
{
public:
  struct Object
  {
    uint64_t mVersion = 0;
    std::string mValue;
  };
  using Objects = std::map<std::string, Object>;

  /// Called before each call takes effect, with the call's number. Returns the
  /// fault to inject and may change the objects.
  std::function<StoreFault(int)> mBeforeCall;
  Objects mObjects;
  uint64_t mLastVersion = 0;
  int mCalls = 0;
  /// All values that a key has had.
  std::map<std::string, std::set<std::string>> mHistory;

  void Set(const std::string& aKey, const std::string& aValue)
  {
    mObjects[aKey] = { ++mLastVersion, aValue };
    mHistory[aKey].insert(aValue);
  }

  StoreResponse Get(const std::string& aKey) override
  {
    return Call([&] {
      const auto found = mObjects.find(aKey);
      if (found == mObjects.end()) {
        return StoreResponse{ ObjectOutcome::Absent, {} };
      }
      return StoreResponse{ ObjectOutcome::Done, { Stored(*found) } };
    });
  }

  StoreResponse List(const std::string& aPrefix) override
  {
    return Call([&] {
      StoreResponse response{ ObjectOutcome::Done, {} };
      for (const auto& item : mObjects) {
        if (item.first.starts_with(aPrefix)) {
          response.mObjects.push_back(Stored(item));
        }
      }
      return response;
    });
  }

  StoreResponse Put(const std::string& aKey,
                    const std::string& aValue,
                    std::optional<ObjectVersion> aVersion) override
  {
    return Call([&] {
      const auto found = mObjects.find(aKey);
      const bool exists = found != mObjects.end();
      if (exists != aVersion.has_value() ||
          (exists && found->second.mVersion != aVersion->Value())) {
        return StoreResponse{ ObjectOutcome::Conflict, {} };
      }
      Set(aKey, aValue);
      return StoreResponse{ ObjectOutcome::Done, {} };
    });
  }

private:
  static StoredObject Stored(const Objects::value_type& aItem)
  {
    return { aItem.first,
             ObjectVersion(aItem.second.mVersion),
             aItem.second.mValue };
  }

  StoreResponse Call(const std::function<StoreResponse()>& aEffect)
  {
    const StoreFault fault =
      mBeforeCall ? mBeforeCall(mCalls) : StoreFault::None;
    ++mCalls;
    if (fault == StoreFault::Refuse) {
      return { ObjectOutcome::Refused, {} };
    }
    if (fault == StoreFault::LoseRequest) {
      return { ObjectOutcome::Unknown, {} };
    }
    StoreResponse response = aEffect();
    if (fault == StoreFault::LoseResponse) {
      return { ObjectOutcome::Unknown, {} };
    }
    return response;
  }
};

} // namespace snipepost
