#include "src/FlowDaemon/EventLog.h"

#include <algorithm>

#include <poll.h>
#include <unistd.h>

#define FMT_HEADER_ONLY
#include <fmt/format.h>

namespace snipepost {

namespace {

/// PIPE_BUF of Linux: a pipe that polls as writable accepts this many bytes
/// without blocking.
constexpr size_t kAtomicWriteSize = 4096;

bool
NeedsQuotes(std::string_view aText)
{
  return aText.empty() || aText.find_first_of(" =\"\n") != std::string::npos;
}

void
AppendValue(std::string& aOut, std::string_view aText)
{
  if (!NeedsQuotes(aText)) {
    aOut += aText;
    return;
  }
  aOut += '"';
  for (char c : aText) {
    if (c == '"' || c == '\\') {
      aOut += '\\';
    }
    aOut += c == '\n' ? ' ' : c;
  }
  aOut += '"';
}

bool
Writable(int aDescriptor)
{
  pollfd query{ aDescriptor, POLLOUT, 0 };
  return poll(&query, 1, 0) == 1 && (query.revents & POLLOUT) != 0;
}

} // namespace

EventLog::EventLog(int aDescriptor, uint64_t aLinesPerSecond, WallClock aClock)
  : mDescriptor(aDescriptor)
  , mLinesPerSecond(aLinesPerSecond)
  , mLinesLeft(aLinesPerSecond)
  , mClock(std::move(aClock))
{
}

void
EventLog::Write(std::string_view aEvent,
                std::initializer_list<LogField> aFields)
{
  if (mLinesLeft == 0) {
    ++mDropped;
    return;
  }
  --mLinesLeft;
  Append(aEvent, aFields);
}

void
EventLog::WriteAlways(std::string_view aEvent,
                      std::initializer_list<LogField> aFields)
{
  Append(aEvent, aFields);
}

bool
EventLog::Append(std::string_view aEvent,
                 std::initializer_list<LogField> aFields)
{
  const size_t start = mBuffer.size();
  fmt::format_to(
    std::back_inserter(mBuffer), "time={} event={}", mClock(), aEvent);
  for (const auto& [name, value] : aFields) {
    if (name.empty()) {
      continue;
    }
    mBuffer += ' ';
    mBuffer += name;
    mBuffer += '=';
    AppendValue(mBuffer, value);
  }
  mBuffer += '\n';
  if (mBuffer.size() > kMaxBufferSize) {
    mBuffer.resize(start);
    ++mDropped;
    return false;
  }
  ++mWritten;
  return true;
}

void
EventLog::ReportDropped()
{
  if (mDropped == mReportedDrops) {
    return;
  }
  const uint64_t count = mDropped - mReportedDrops;
  if (Append("log-lines-dropped", { { "count", std::to_string(count) } })) {
    mReportedDrops = mDropped;
  }
}

void
EventLog::Flush(Instant aNow)
{
  if (aNow >= mWindowEnd) {
    mWindowEnd = aNow + std::chrono::seconds(1);
    mLinesLeft = mLinesPerSecond;
    ReportDropped();
  }
  while (!mBuffer.empty() && Writable(mDescriptor)) {
    const size_t size = std::min(mBuffer.size(), kAtomicWriteSize);
    const ssize_t written = write(mDescriptor, mBuffer.data(), size);
    if (written <= 0) {
      return; // Retried at the next flush.
    }
    mBuffer.erase(0, static_cast<size_t>(written));
  }
}

} // namespace snipepost
