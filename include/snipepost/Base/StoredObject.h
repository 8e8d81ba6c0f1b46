#pragma once

#include <cstdint>
#include <string>

#include <snipepost/Base/Types.h>

namespace snipepost {

/// How a call to the platform's object API ended.
enum class ObjectOutcome : uint8_t
{
  Done,
  /// A condition did not hold; nothing was changed.
  Conflict,
  /// There is no such object.
  Absent,
  /// Rate limit, outage or no connection; nothing was changed.
  Refused,
  /// The answer was lost, late or unreadable: a write may have taken effect.
  Unknown,
};

/// An object as the platform's object API holds it.
struct StoredObject
{
  std::string mKey;
  ObjectVersion mVersion;
  std::string mValue;
};

} // namespace snipepost
