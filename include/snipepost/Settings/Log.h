#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace snipepost {

/// Severity of a log line, in rising order.
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

/// Parses "debug", "info", "warning" or "error"; false for other texts.
bool
ParseLogLevel(std::string_view aText, LogLevel& aOut);

/// Installs the sink on standard error. Lines below aLevel are dropped.
void
StartLog(LogFormat aFormat, LogLevel aLevel);

/// Writes one line with named fields. Lines are for changes of state; anything
/// that happens per packet or per request is a counter instead.
void
LogLine(
  LogChannel aChannel,
  LogLevel aLevel,
  std::string_view aMessage,
  std::initializer_list<std::pair<std::string_view, std::string>> aFields = {});

} // namespace snipepost
