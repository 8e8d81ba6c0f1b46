#pragma once

#include <cstdint>
#include <string>

#include <snipepost/Base/Types.h>

namespace snipepost {

/// How a call to the platform's object API ended.
enum class ObjectOutcome : uint8_t
{
  Done,
  /// A precondition failed; nothing was changed.
  Conflict,
  /// There is no such object.
  Absent,
  /// Rate limit, outage or no connection; nothing was changed.
  Refused,
  /// The response was lost, late or unreadable: a write may have taken effect.
  Unknown,
};

/// An object stored by the platform's object API.
struct StoredObject
{
  std::string mKey;
  ObjectVersion mVersion;
  std::string mValue;
};

} // namespace snipepost
