#pragma once

#include <optional>
#include <string>
#include <vector>

#include <snipepost/Base/StoredObject.h>
#include <snipepost/Base/Types.h>

namespace snipepost {

struct StoreAnswer
{
  ObjectOutcome mOutcome = ObjectOutcome::Unknown;
  /// One object after a successful get, any number after a list.
  std::vector<StoredObject> mObjects;
};

/// What snipepostctl needs of the platform's object API.
class ObjectStore
{
public:
  virtual ~ObjectStore() = default;

  virtual StoreAnswer Get(const std::string& aKey) = 0;
  virtual StoreAnswer List(const std::string& aPrefix) = 0;

  /// Writes when the object has version aVersion or, without a version, when
  /// it does not exist.
  virtual StoreAnswer Put(const std::string& aKey,
                          const std::string& aValue,
                          std::optional<ObjectVersion> aVersion) = 0;
};

} // namespace snipepost
