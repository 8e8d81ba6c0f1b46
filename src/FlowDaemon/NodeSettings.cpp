#include "src/FlowDaemon/NodeSettings.h"

#include <fstream>
#include <iterator>

namespace snipepost {

namespace cluster {

std::string
Value(const std::string& aText, NodeRole& aOut)
{
  if (aText != "entry" && aText != "agent") {
    return "expected entry or agent";
  }
  aOut = aText == "entry" ? NodeRole::Entry : NodeRole::Agent;
  return {};
}

} // namespace cluster

namespace {

/// Parses "yes" or "no" as On or Off.
template<typename Switch>
std::string
ParseSwitch(const std::string& aText, Switch& aOut)
{
  if (aText != "yes" && aText != "no") {
    return "expected yes or no";
  }
  aOut = aText == "yes" ? Switch::On : Switch::Off;
  return {};
}

} // namespace

std::string
Value(const std::string& aText, FlowScheduling& aOut)
{
  return ParseSwitch(aText, aOut);
}

std::string
Value(const std::string& aText, ServiceOverflow& aOut)
{
  return ParseSwitch(aText, aOut);
}

namespace {

Schema<NodeSettings>
MakeSchema()
{
  using S = NodeSettings;
  Schema<S> schema;
  schema.Add("role", &S::mRole, "", "What this instance does: entry or agent")
    .Add("settings-file",
         &S::mSettingsFile,
         "",
         "File with lines of the form name = value; seeds and the log rate "
         "are read again on SIGHUP and when the file changes")
    .Add("name", &S::mName, "", "Name of the instance in log lines")
    .Add("failure-domain", &S::mDomain, "", "Failure domain of the instance")
    .Add("packets", &S::mPackets, "", "UDP address where packets arrive")
    .Add("advertise",
         &S::mAdvertised,
         "",
         "UDP address where other instances send packets, if not that of "
         "packets")
    .Add("readiness", &S::mReadiness, "", "TCP address of the readiness probe")
    .Add("control",
         &S::mControl,
         "",
         "TCP address for heartbeats of the backend server (agent)")
    .Add("outbound",
         &S::mOutbound,
         "",
         "UDP address to which the backend server sends its packets (agent)")
    .Add("backend",
         &S::mBackend,
         "",
         "UDP address where the backend server receives packets (agent)")
    .Add("service", &S::mService, "", "Service of the backend server (agent)")
    .Add("seeds",
         &S::mSeeds,
         "",
         "Addresses of instances to contact first; the ports are ignored")
    .Add("internal-port",
         &S::mInternalPort,
         "",
         "UDP and TCP port for messages between instances, the same on all of "
         "them")
    .Add("metrics-port", &S::mMetricsPort, "9464", "TCP port of /metrics")
    .Add("store", &S::mStore, "", "TCP address of the platform's store")
    .Add("flow-limit-ms",
         &S::mFlowLimit,
         "60000",
         "Maximum lifetime of a flow, milliseconds")
    .Add("evacuation-limit-ms",
         &S::mEvacuationLimit,
         "5000",
         "Time after which an evacuated failure domain receives no more "
         "packets, milliseconds")
    .Add("stop-delay-ms",
         &S::mStopDelay,
         "3000",
         "Time for which a stopping entry instance still forwards packets, so "
         "that the routers can detect that it is not ready; longest time that "
         "a stopping agent waits for its flows to end, milliseconds")
    .Add("schedule-flows",
         &S::mScheduleFlows,
         "yes",
         "Whether, during overload, new flows of services whose routes have "
         "different priorities wait at agents in the order of priority, and "
         "are throttled at entry instances: yes or no")
    .Add("overflow-between-services",
         &S::mOverflowBetweenServices,
         "yes",
         "Whether a new flow that the service chosen by the weights of its "
         "route has no capacity for is offered to the other services of the "
         "route (entry): yes or no")
    .Add("log-rate",
         &S::mLogRate,
         "200",
         "Log lines a second; further lines are dropped and counted");
  return schema;
}

std::string
ReadFile(const std::string& aPath, std::vector<std::string>& aErrors)
{
  if (aPath.empty()) {
    return {};
  }
  std::ifstream file(aPath);
  if (!file) {
    aErrors.push_back("cannot read settings file " + aPath);
    return {};
  }
  return { std::istreambuf_iterator<char>(file), {} };
}

} // namespace

const Schema<NodeSettings>&
NodeSchema()
{
  static const Schema<NodeSettings> sSchema = MakeSchema();
  return sSchema;
}

std::vector<std::string>
MissingSettings(const NodeSettings& aSettings)
{
  std::vector<std::string> errors;
  const auto require = [&errors](bool aPresent, const char* aName) {
    if (!aPresent) {
      errors.push_back(std::string("--") + aName + " is missing or invalid");
    }
  };
  const auto isPort = [](uint64_t aPort) { return aPort > 0 && aPort < 65536; };
  require(isPort(aSettings.mInternalPort), "internal-port");
  require(isPort(aSettings.mMetricsPort), "metrics-port");
  require(!aSettings.mDomain.empty(), "failure-domain");
  if (aSettings.mRole == cluster::NodeRole::Agent) {
    require(aSettings.mControl.has_value(), "control");
    require(aSettings.mOutbound.has_value(), "outbound");
    require(aSettings.mBackend.has_value(), "backend");
    require(!aSettings.mService.empty(), "service");
  }
  return errors;
}

SettingsReport
LoadNodeSettings(const std::vector<std::string>& aArguments,
                 const Environment& aEnvironment,
                 NodeSettings& aOut)
{
  std::vector<std::string> errors;
  const std::string text = ReadFile(SettingsFilePath(aArguments), errors);
  auto report = NodeSchema().Load(aArguments, aEnvironment, aOut, text);
  report.mErrors.insert(report.mErrors.end(), errors.begin(), errors.end());
  if (report.mErrors.empty() && report.mRequest != SettingsRequest::Help) {
    report.mErrors = MissingSettings(aOut);
  }
  return report;
}

} // namespace snipepost
