#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace snipepost {

/// Severity of a log line, in increasing order.
enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/// Subsystem that a log line belongs to.
enum class LogChannel
{
  Daemon,
  Document,
  Membership,
  Store,
  Admission,
  Transport,
};

/// Form of the log lines on standard error.
enum class LogFormat
{
  Text,
  Json,
};

/// Parses "debug", "info", "warning" or "error"; returns false for other text.
bool
ParseLogLevel(std::string_view aText, LogLevel& aOut);

/// Starts logging to standard error. Lines below aLevel are dropped.
void
StartLog(LogFormat aFormat, LogLevel aLevel);

/// Writes one line with named fields. Only state changes are logged; events per
/// packet or per request are counted in metrics.
void
LogLine(
  LogChannel aChannel,
  LogLevel aLevel,
  std::string_view aMessage,
  std::initializer_list<std::pair<std::string_view, std::string>> aFields = {});

} // namespace snipepost
