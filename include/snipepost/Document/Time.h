#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <snipepost/Base/Types.h>

namespace snipepost {

/// Parses "YYYY-MM-DDTHH:MM:SSZ" (RFC 3339, UTC, whole seconds). Returns
/// nothing for any other text and for dates and times that do not exist.
std::optional<WallTime>
ParseTime(std::string_view aText);

/// Writes the time as "YYYY-MM-DDTHH:MM:SSZ". Years are 0000 to 9999.
std::string
ToString(WallTime aTime);

/// Returns 09:00 UTC of the first day from Monday to Friday after aNow's date.
/// Offices in Poland and Ireland open at or before that hour all year. Public
/// holidays are not taken into account.
WallTime
NextWorkdayMorning(WallTime aNow);

} // namespace snipepost
