#include <exception>
#include <fstream>
#include <iostream>

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include "src/FlowCtl/ChangeHistory.h"
#include "src/FlowCtl/Explanation.h"
#include "src/FlowCtl/FleetStatus.h"
#include "src/FlowCtl/ServiceReport.h"

namespace snipepost::flowctl {

namespace {

namespace po = boost::program_options;

/// An instance has a problem, or a service is short of capacity.
constexpr int kExitUnhealthy = 1;
constexpr int kExitError = 2;

/// Far longer than a response from another failure domain takes: up to 10 ms.
constexpr Duration kStatusTimeout = std::chrono::seconds(1);

constexpr const char* kUsage =
  R"(Usage: snipepost-flowctl COMMAND [options] [LOG...]

Commands:
  status   status of --instance and of all instances that it knows of; exit
           code 1 when one does not respond, has an older configuration than
           another one, or can't reach the store
  overload load of the services of --instance and of all instances that it
           knows of, refused flows and slow agents; exit code 1 while flows of
           a service are refused or wait at agents
  explain  decisions of the instances about the flow of --caller, and its
           outcome
  audit    changes of configuration and evacuations, and when they were adopted

explain and audit read the logs of all instances from the files LOG or from
standard input.

)";

struct Options
{
  std::string mCommand;
  std::string mInstance;
  std::string mCaller;
  std::string mRoute;
  std::vector<std::string> mLogs;
  bool mHelp = false;
};

std::vector<LogLine>
ReadLogs(const std::vector<std::string>& aFiles)
{
  if (aFiles.empty()) {
    return ReadLog(std::cin);
  }
  std::vector<LogLine> lines;
  for (const std::string& name : aFiles) {
    std::ifstream file(name);
    if (!file) {
      throw std::runtime_error("cannot read " + name);
    }
    const auto more = ReadLog(file);
    lines.insert(lines.end(), more.begin(), more.end());
  }
  std::ranges::stable_sort(lines, {}, &LogLine::mTime);
  return lines;
}

/// Queries the instance that the options name and all that it knows of.
/// Nothing, with an error message, when they name none.
std::optional<InstanceStatuses>
QueryFleet(const Options& aOptions)
{
  const auto instance = ParseAddress(aOptions.mInstance);
  if (!instance) {
    std::cerr << aOptions.mCommand
              << " needs --instance IP:PORT, the internal address of an "
                 "instance\n";
    return std::nullopt;
  }
  asio::io_context context;
  FleetStatus fleet(context, kStatusTimeout);
  fleet.Query(*instance);
  context.run();
  return fleet.Instances();
}

int
Status(const Options& aOptions)
{
  const auto instances = QueryFleet(aOptions);
  if (!instances) {
    return kExitError;
  }
  bool allHealthy = true;
  std::cout << StatusText(*instances, allHealthy);
  return allHealthy ? 0 : kExitUnhealthy;
}

int
Overload(const Options& aOptions)
{
  const auto instances = QueryFleet(aOptions);
  if (!instances) {
    return kExitError;
  }
  bool isShort = false;
  std::cout << OverloadText(*instances, isShort);
  const bool responded =
    std::ranges::any_of(*instances, [](const auto& aInstance) {
      return aInstance.second.has_value();
    });
  if (!responded) {
    return kExitError; // Nothing is known about any service.
  }
  return isShort ? kExitUnhealthy : 0;
}

int
ExplainFlow(const Options& aOptions)
{
  if (!ParseAddress(aOptions.mCaller)) {
    std::cerr << "explain needs --caller IP:PORT\n";
    return kExitError;
  }
  const Explanation explanation =
    Explain(ReadLogs(aOptions.mLogs), aOptions.mCaller, aOptions.mRoute);
  for (const LogLine& line : explanation.mLines) {
    std::cout << line.mInstance << ' ' << line.mText << '\n';
  }
  std::cout << explanation.mSummary << '\n';
  return 0;
}

int
Audit(const Options& aOptions)
{
  for (const OperatorChange& change :
       CollectChanges(ReadLogs(aOptions.mLogs))) {
    std::cout << fmt::format(
      "{} {} revision {}: {}, first at {}, last at {} {} ms later, {} "
      "instances\n",
      change.mFirstAdopted,
      change.mPart,
      change.mRevision,
      change.mChange,
      change.mFirstInstance,
      change.mLastInstance,
      change.mLastAdopted - change.mFirstAdopted,
      change.mInstanceCount);
  }
  return 0;
}

struct Command
{
  std::string_view mName;
  int (*mRun)(const Options&);
};

constexpr std::array kCommands = {
  Command{ "status", &Status },
  Command{ "overload", &Overload },
  Command{ "explain", &ExplainFlow },
  Command{ "audit", &Audit },
};

/// The options that the help shows; parsing stores their values in aOptions.
po::options_description
VisibleOptions(Options& aOptions)
{
  po::options_description visible("Options");
  visible.add_options()(
    "help", po::bool_switch(&aOptions.mHelp), "print this text")(
    "instance",
    po::value(&aOptions.mInstance),
    "internal address of an instance, IP:PORT (status, overload)")(
    "caller", po::value(&aOptions.mCaller), "address of the caller (explain)")(
    "route", po::value(&aOptions.mRoute), "address of the route (explain)");
  return visible;
}

/// Throws when an argument is unknown or malformed.
void
ParseArguments(int aCount,
               char** aArguments,
               const po::options_description& aVisible,
               Options& aOptions)
{
  po::options_description all;
  all.add(aVisible).add_options()("command", po::value(&aOptions.mCommand))(
    "log", po::value(&aOptions.mLogs));
  po::positional_options_description positionals;
  positionals.add("command", 1).add("log", -1);
  po::variables_map values;
  po::store(po::command_line_parser(aCount, aArguments)
              .options(all)
              .positional(positionals)
              .run(),
            values);
  po::notify(values);
}

int
RunTool(int aCount, char** aArguments)
{
  Options options;
  const auto visible = VisibleOptions(options);
  ParseArguments(aCount, aArguments, visible, options);
  if (options.mHelp) {
    std::cout << kUsage << visible;
    return 0;
  }
  const auto command =
    std::ranges::find(kCommands, options.mCommand, &Command::mName);
  if (command == kCommands.end()) {
    std::cerr << kUsage << visible;
    return kExitError;
  }
  return command->mRun(options);
}

} // namespace

} // namespace snipepost::flowctl

int
main(int aCount, char** aArguments)
{
  try {
    return snipepost::flowctl::RunTool(aCount, aArguments);
  } catch (const std::exception& error) {
    std::cerr << "snipepost-flowctl: " << error.what() << '\n';
    return snipepost::flowctl::kExitError;
  }
}
