#pragma once

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace snipepost::soak {

/// One process of the system, started and signalled by its id.
class NodeProcess
{
public:
  /// Output is appended to aLogFile.
  NodeProcess(std::vector<std::string> aCommand, std::string aLogFile);
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  void Start();
  /// Does nothing when the process has ended.
  void Signal(int aSignal);
  bool Running() const { return mPid > 0; }

  /// How the process ended, when it did since the last call: the exit code, or
  /// minus the number of the signal.
  std::optional<int> TakeExit();

private:
  std::vector<std::string> mCommand;
  std::string mLogFile;
  pid_t mPid = -1;
};

} // namespace snipepost::soak
