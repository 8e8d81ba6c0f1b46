#include <exception>
#include <fstream>
#include <iostream>

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include "src/FlowCtl/ChangeHistory.h"
#include "src/FlowCtl/Explanation.h"
#include "src/FlowCtl/FleetStatus.h"

namespace snipepost::flowctl {

namespace {

namespace po = boost::program_options;

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

int
Status(const Options& aOptions)
{
  const auto instance = ParseAddress(aOptions.mInstance);
  if (!instance) {
    std::cerr << "status needs --instance IP:PORT, the internal address of an "
                 "instance\n";
    return kExitError;
  }
  asio::io_context context;
  FleetStatus fleet(context, kStatusTimeout);
  fleet.Query(*instance);
  context.run();
  bool allHealthy = true;
  std::cout << StatusText(fleet.Instances(), allHealthy);
  return allHealthy ? 0 : kExitUnhealthy;
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
  Command{ "explain", &ExplainFlow },
  Command{ "audit", &Audit },
};

int
RunTool(int aCount, char** aArguments)
{
  Options options;
  po::options_description flags("Options");
  flags.add_options()("help", "print this text")(
    "instance",
    po::value(&options.mInstance),
    "internal address of an instance, IP:PORT (status)")(
    "caller", po::value(&options.mCaller), "address of the caller (explain)")(
    "route", po::value(&options.mRoute), "address of the route (explain)");
  po::options_description all;
  all.add(flags).add_options()("command", po::value(&options.mCommand))(
    "log", po::value(&options.mLogs));
  po::positional_options_description positionals;
  positionals.add("command", 1).add("log", -1);
  po::variables_map values;
  po::store(po::command_line_parser(aCount, aArguments)
              .options(all)
              .positional(positionals)
              .run(),
            values);
  po::notify(values);
  if (values.count("help") > 0) {
    std::cout << kUsage << flags;
    return 0;
  }
  for (const Command& command : kCommands) {
    if (command.mName == options.mCommand) {
      return command.mRun(options);
    }
  }
  std::cerr << kUsage << flags;
  return kExitError;
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
