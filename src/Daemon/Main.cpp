#include <csignal>
#include <functional>
#include <iostream>
#include <memory>

#include <asio.hpp>
#include <sodium.h>

#include <snipepost/Settings/Log.h>

#include <src/Daemon/AgentInstance.h>
#include <src/Daemon/DaemonSettings.h>
#include <src/Daemon/EntryInstance.h>

using namespace snipepost;

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitBadSettings = 2;

Result<Credentials>
LoadCredentials(const DaemonSettings& aSettings)
{
  if (!aSettings.mCertificate.empty()) {
    return Credentials::LoadPem(aSettings.mCertificate, aSettings.mPrivateKey);
  }
  LogLine(LogChannel::Transport,
          LogLevel::Warning,
          "no certificate set: using a self-signed one");
  return Credentials::MakeSelfSigned("localhost");
}

/// Calls aShutdown on the first SIGTERM or SIGINT, then waits for a second one
/// with a null aShutdown, which stops the process.
void
WatchSignals(asio::signal_set& aSignals,
             asio::io_context& aContext,
             std::function<void()> aShutdown)
{
  aSignals.async_wait(
    [&aSignals, &aContext, aShutdown](const asio::error_code& aError, int) {
      if (aError) {
        return;
      }
      if (!aShutdown) {
        aContext.stop();
        return;
      }
      aShutdown();
      WatchSignals(aSignals, aContext, nullptr);
    });
}

template<typename Instance>
int
RunUntilExit(asio::io_context& aContext, Instance& aInstance)
{
  asio::signal_set signals(aContext, SIGTERM, SIGINT);
  WatchSignals(signals, aContext, [&aInstance] { aInstance.BeginShutdown(); });
  aContext.run();
  LogLine(LogChannel::Daemon, LogLevel::Info, "stopped");
  return 0;
}

Result<int>
Run(const DaemonSettings& aSettings)
{
  asio::io_context context(1);
  const auto onExit = [&context] { context.stop(); };
  const auto announce = [&] {
    LogLine(LogChannel::Daemon,
            LogLevel::Info,
            "started",
            { { "listen", ToString(aSettings.mListen) } });
    std::cout << "ready " << ToString(aSettings.mListen) << std::endl;
  };
  if (aSettings.mRole == InstanceRole::Entry) {
    EntryInstance entry(context, aSettings, onExit);
    announce();
    return RunUntilExit(context, entry);
  }
  BOOST_LEAF_AUTO(credentials, LoadCredentials(aSettings));
  AgentInstance agent(context, aSettings, credentials, onExit);
  announce();
  return RunUntilExit(context, agent);
}

} // namespace

int
main(int argc, char** argv)
{
  const auto schema = DaemonSchema();
  DaemonSettings settings;
  auto report =
    schema.Load({ argv + 1, argv + argc }, ProcessEnvironment(), settings);
  if (report.mRequest == SettingsRequest::Help) {
    std::cout << HelpText("snipepostd", schema.Specs());
    return 0;
  }
  ValidateSettings(settings, report);
  if (report.mRequest == SettingsRequest::Check) {
    std::cout << CheckText(report);
    return report.mErrors.empty() ? 0 : kExitBadSettings;
  }
  if (!report.mErrors.empty()) {
    for (const std::string& error : report.mErrors) {
      std::cerr << "snipepostd: " << error << '\n';
    }
    return kExitBadSettings;
  }
  if (sodium_init() < 0) {
    std::cerr << "snipepostd: libsodium can't be initialized\n";
    return kExitFailure;
  }
  StartLog(settings.mLogFormat, settings.mLogLevel);
  const auto fail = [](const std::string& aReason) {
    LogLine(LogChannel::Daemon, LogLevel::Error, aReason);
    return kExitFailure;
  };
  // Asio throws an exception when the address can't be bound; LEAF passes it to
  // these handlers, too.
  return leaf::try_handle_all(
    [&] { return Run(settings); },
    [&](const CertificateError& aError) { return fail(aError.Text()); },
    [&](const std::system_error& aError) { return fail(aError.what()); },
    [&] { return fail("stopped by an unexpected error"); });
}
