#include <csignal>
#include <exception>
#include <filesystem>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <asio.hpp>

#include "src/FlowDaemon/AgentNode.h"
#include "src/FlowDaemon/EntryNode.h"
#include "src/FlowDaemon/Node.h"
#include "src/FlowDaemon/NodeSettings.h"

namespace snipepost {

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitBadSettings = 2;

/// Interval of the checks whether the settings file has changed, which may
/// happen without a signal.
constexpr auto kFilePoll = std::chrono::seconds(10);

/// Interval at which a stopping agent checks whether its flows have ended.
constexpr auto kStopPoll = std::chrono::milliseconds(50);

/// Runs a node until it receives a signal to stop.
class Program
{
public:
  Program(const NodeSettings& aSettings, std::vector<std::string> aArguments)
    : mArguments(std::move(aArguments))
    , mNode(mContext, aSettings)
    , mSignals(mContext, SIGTERM, SIGINT, SIGHUP)
    , mFileTimer(mContext)
    , mStopTimer(mContext)
    , mFileTime(FileTime(aSettings.mSettingsFile))
  {
    if (aSettings.mRole == cluster::NodeRole::Entry) {
      mEntry = std::make_unique<EntryNode>(mContext, mNode);
      mNode.Start(*mEntry);
    } else {
      mAgent = std::make_unique<AgentNode>(mContext, mNode);
      mNode.Start(*mAgent);
    }
  }

  void Run()
  {
    AwaitSignal();
    PollFile();
    mContext.run();
  }

private:
  void AwaitSignal()
  {
    mSignals.async_wait([this](const asio::error_code& aError, int aSignal) {
      if (aError) {
        return;
      }
      if (aSignal == SIGHUP) {
        Reload();
      } else if (!mStopping) {
        Stop();
      }
      AwaitSignal();
    });
  }

  using FileTimePoint = std::filesystem::file_time_type;

  /// When the file was last modified; a constant when that cannot be
  /// determined.
  static FileTimePoint FileTime(const std::string& aPath)
  {
    std::error_code ignored;
    return std::filesystem::last_write_time(aPath, ignored);
  }

  void PollFile()
  {
    mFileTimer.expires_after(kFilePoll);
    mFileTimer.async_wait([this](const asio::error_code& aError) {
      if (aError) {
        return;
      }
      if (FileTime(mNode.Settings().mSettingsFile) != mFileTime) {
        Reload();
      }
      PollFile();
    });
  }

  void Reload()
  {
    mFileTime = FileTime(mNode.Settings().mSettingsFile);
    NodeSettings settings;
    const auto report =
      LoadNodeSettings(mArguments, ProcessEnvironment(), settings);
    const std::string error =
      report.mErrors.empty() ? std::string() : report.mErrors.front();
    mNode.Log().WriteAlways(
      "reload",
      { { "outcome", error.empty() ? "applied" : "rejected" },
        { "error", error } });
    if (error.empty()) {
      mNode.ApplySettings(settings);
    }
  }

  void Stop()
  {
    mStopping = true;
    mStopBy = mNode.Now() + mNode.Settings().mStopDelay;
    mNode.Log().WriteAlways("stop", { { "state", "leaving" } });
    if (mEntry) {
      mEntry->StartShutdown();
    } else {
      mAgent->StartShutdown();
    }
    PollStop();
  }

  void PollStop()
  {
    const bool done = mAgent && mAgent->Stopped();
    if (done || mNode.Now() >= mStopBy) {
      mNode.LogStopped();
      mContext.stop();
      return;
    }
    mStopTimer.expires_after(kStopPoll);
    mStopTimer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        PollStop();
      }
    });
  }

  std::vector<std::string> mArguments;
  asio::io_context mContext{ 1 };
  Node mNode;
  std::unique_ptr<EntryNode> mEntry;
  std::unique_ptr<AgentNode> mAgent;
  asio::signal_set mSignals;
  asio::steady_timer mFileTimer;
  asio::steady_timer mStopTimer;
  FileTimePoint mFileTime;
  Instant mStopBy;
  bool mStopping = false;
};

int
RunProgram(const std::vector<std::string>& aArguments)
{
  NodeSettings settings;
  const auto report =
    LoadNodeSettings(aArguments, ProcessEnvironment(), settings);
  if (report.mRequest == SettingsRequest::Help) {
    std::cout << HelpText("snipepost-flowd", NodeSchema().Specs());
    return 0;
  }
  if (report.mRequest == SettingsRequest::Check || !report.mErrors.empty()) {
    std::cout << CheckText(report);
    return report.mErrors.empty() ? 0 : kExitBadSettings;
  }
  Program(settings, aArguments).Run();
  return 0;
}

} // namespace

} // namespace snipepost

int
main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return snipepost::RunProgram({ aArguments + 1, aArguments + aCount });
  } catch (const std::exception& error) {
    std::cout << "event=start-failed error=\"" << error.what() << "\"\n";
    return snipepost::kExitFailure;
  }
}
