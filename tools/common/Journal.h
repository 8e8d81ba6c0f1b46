#pragma once

#include <fstream>
#include <string>
#include <string_view>

namespace snipepost::tools {

/// A log file with one JSON object per line and event. Checkers read it while
/// it grows.
class Journal
{
public:
  /// Opens aPath for appending; "-" is stdout, "" discards. Throws
  /// std::runtime_error when the file can't be opened.
  explicit Journal(const std::string& aPath);

  /// Appends and flushes one line.
  void Write(std::string_view aLine);

private:
  std::ofstream mFile;
  bool mStdout = false;
};

} // namespace snipepost::tools
