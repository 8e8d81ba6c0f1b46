#pragma once

#include <optional>
#include <string>
#include <vector>

#include <snipepost/Base/StoredObject.h>
#include <snipepost/Base/Types.h>

namespace snipepost {

struct StoreResponse
{
  ObjectOutcome mOutcome = ObjectOutcome::Unknown;
  /// One object after a successful Get(), any number after List().
  std::vector<StoredObject> mObjects;
};

/// The calls of the platform's object API that snipepostctl uses.
class ObjectStore
{
public:
  virtual ~ObjectStore() = default;

  virtual StoreResponse Get(const std::string& aKey) = 0;
  virtual StoreResponse List(const std::string& aPrefix) = 0;

  /// Conditional write: the object must have version aVersion or, without a
  /// version, must not exist.
  virtual StoreResponse Put(const std::string& aKey,
                            const std::string& aValue,
                            std::optional<ObjectVersion> aVersion) = 0;
};

} // namespace snipepost
