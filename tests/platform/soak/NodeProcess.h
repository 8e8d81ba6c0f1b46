#pragma once

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace snipepost::soak {

/// A process of an instance under test.
class NodeProcess
{
public:
  /// Output is appended to aLogFile.
  NodeProcess(std::vector<std::string> aCommand, std::string aLogFile);
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  void Start();
  /// Does nothing when the process is not running.
  void Signal(int aSignal);
  bool Running() const { return mPid > 0; }

  /// The exit status if the process has terminated since the last call: its
  /// exit code, or the negated number of the signal that terminated it.
  std::optional<int> TakeExit();

private:
  std::vector<std::string> mCommand;
  std::string mLogFile;
  pid_t mPid = -1;
};

} // namespace snipepost::soak
