#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipepost::flowctl {

/// A structured line of an instance's log.
struct LogLine
{
  /// Name of the instance: the last word before the structured text; empty when
  /// the log collector did not add one.
  std::string mInstance;
  /// Milliseconds since the Unix epoch, by the instance's clock.
  int64_t mTime = 0;
  std::string mEvent;
  std::map<std::string, std::string> mFields;
  std::string mText;

  /// The value of a field; empty when the line does not have it.
  std::string Field(const std::string& aName) const;
  /// The value of a field as a number; 0 when it is not a number.
  double Number(const std::string& aName) const;
};

/// Parses a line; nothing when it is not a structured line of an instance.
std::optional<LogLine>
ParseLogLine(std::string_view aText);

/// All lines of a stream that can be parsed, ordered by time.
std::vector<LogLine>
ReadLog(std::istream& aStream);

} // namespace snipepost::flowctl
