#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include <snipepost/Base/Types.h>

namespace snipepost {

/// A named value of a log line. A field without a name is left out.
using LogField = std::pair<std::string_view, std::string>;

/// Writes structured log lines (logfmt) to a file descriptor. Lines are
/// collected in a bounded buffer that is written only when the descriptor
/// accepts it, so that a slow reader never blocks forwarding. Lines above the
/// rate limit, or that do not fit into the buffer, are dropped; their number is
/// logged.
class EventLog
{
public:
  /// Capacity of the buffer in bytes.
  static constexpr size_t kMaxBufferSize = 64UL * 1024;

  /// Milliseconds since the Unix epoch, for the time of a line.
  using WallClock = std::function<int64_t()>;

  EventLog(int aDescriptor, uint64_t aLinesPerSecond, WallClock aClock);

  /// Writes a line about a flow or a state change; subject to the rate limit.
  void Write(std::string_view aEvent, std::initializer_list<LogField> aFields);

  /// Writes a line regardless of the rate limit, for rare and important events:
  /// start, stop, reload, a dependency lost or regained.
  void WriteAlways(std::string_view aEvent,
                   std::initializer_list<LogField> aFields);

  /// Writes as much of the buffer as the descriptor accepts now, and starts the
  /// next second of the rate limit when it is due.
  void Flush(Instant aNow);

  void SetRate(uint64_t aLinesPerSecond) { mLinesPerSecond = aLinesPerSecond; }

  uint64_t Written() const { return mWritten; }
  uint64_t Dropped() const { return mDropped; }

private:
  bool Append(std::string_view aEvent, std::initializer_list<LogField> aFields);
  void ReportDropped();

  int mDescriptor;
  uint64_t mLinesPerSecond;
  uint64_t mLinesLeft;
  Instant mWindowEnd;
  WallClock mClock;
  std::string mBuffer;
  uint64_t mWritten = 0;
  uint64_t mDropped = 0;
  /// Dropped lines that were already logged.
  uint64_t mReportedDrops = 0;
};

} // namespace snipepost
