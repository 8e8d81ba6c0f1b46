#include "tests/platform/soak/NodeProcess.h"

#include <csignal>
#include <cerrno>
#include <system_error>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace snipepost::soak {

NodeProcess::NodeProcess(std::vector<std::string> aCommand,
                         std::string aLogFile)
  : mCommand(std::move(aCommand))
  , mLogFile(std::move(aLogFile))
{
}

NodeProcess::~NodeProcess()
{
  if (!Running()) {
    return;
  }
  Signal(SIGKILL);
  waitpid(mPid, nullptr, 0);
}

void
NodeProcess::Start()
{
  std::vector<char*> arguments;
  for (std::string& word : mCommand) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  mPid = fork();
  if (mPid < 0) {
    throw std::system_error(errno, std::generic_category(), "fork");
  }
  if (mPid > 0) {
    return;
  }
  // Terminates the child when the soak ends, also when the soak is killed.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log = open(mLogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  // The child must not inherit the proxies' sockets, which it would keep open.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  execv(arguments.front(), arguments.data());
  _exit(127);
}

void
NodeProcess::Signal(int aSignal)
{
  if (Running()) {
    kill(mPid, aSignal);
  }
}

std::optional<int>
NodeProcess::TakeExit()
{
  int status = 0;
  if (!Running() || waitpid(mPid, &status, WNOHANG) != mPid) {
    return std::nullopt;
  }
  mPid = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

} // namespace snipepost::soak
