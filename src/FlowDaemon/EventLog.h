#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include <snipepost/Base/Types.h>

namespace snipepost {

/// A named value of a log line.
using LogField = std::pair<std::string_view, std::string>;

/// Structured lines (logfmt) on a file descriptor. Lines collect in a bounded
/// buffer that is written only when the descriptor takes it, so that a slow
/// reader never holds up forwarding. Lines above the rate, or without room in
/// the buffer, are dropped; their number is logged.
class EventLog
{
public:
  /// Bytes that wait for the reader.
  static constexpr size_t kBuffer = 64UL * 1024;

  /// Milliseconds since the Unix epoch, for the time of a line.
  using WallClock = std::function<int64_t()>;

  EventLog(int aDescriptor, uint64_t aLinesPerSecond, WallClock aClock);

  /// Writes a line about a request or a belief; subject to the rate.
  void Write(std::string_view aEvent, std::initializer_list<LogField> aFields);

  /// Writes a line that is rare and must not be lost: start, stop, reload, a
  /// dependency lost or regained.
  void WriteAlways(std::string_view aEvent,
                   std::initializer_list<LogField> aFields);

  /// Passes on what the descriptor takes now; starts the next second of the
  /// rate.
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
  Instant mSecondEnds;
  WallClock mClock;
  std::string mBuffer;
  uint64_t mWritten = 0;
  uint64_t mDropped = 0;
  uint64_t mReported = 0;
};

} // namespace snipepost
