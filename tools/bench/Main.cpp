#include <algorithm>
#include <array>
#include <iostream>
#include <span>
#include <string_view>

#include "tools/bench/Modes.h"

using namespace snipepost::bench;

namespace {

struct Mode
{
  std::string_view mName;
  std::string_view mSummary;
  void (*mRun)(Report&);
};

constexpr std::array<Mode, 13> kModes{ {
  { "routing", "decisions, table rebuilds, moved keys, memory", RunRouting },
  { "candidates", "candidates and possible owners of a flow", RunCandidates },
  { "relay", "packets through the entry path and a bare relay", RunRelay },
  { "membership", "costs of one membership core", RunMembership },
  { "fleet", "membership cores in virtual time", RunFleet },
  { "fleet-small", "the same up to 50 entry instances", RunSmallFleet },
  { "fleet-settled",
    "traffic only, 100 and 200 entry instances",
    RunSettledFleet },
  { "fleet-settled-large",
    "the same for 510 entry instances",
    RunSettledLargeFleet },
  { "fleet-large", "the same up to 510 entry instances", RunLargeFleet },
  { "policy", "first-packet policies under load (model)", RunPolicy },
  { "policy-sweep", "settings of agents under load (model)", RunPolicySweep },
  { "agent", "bytes per idle connection, time per core event", RunAgent },
  { "document", "size and parsing of the document", RunDocument },
} };

int
PrintUsage()
{
  std::cerr << "usage: bench MODE [--json] [--svg FILE]\n"
               "--svg writes a plot and is only used in mode policy.\n";
  for (const Mode& mode : kModes) {
    std::cerr << "  " << mode.mName << "  " << mode.mSummary << '\n';
  }
  return 2;
}

} // namespace

int
main(int aCount, char** aValues)
{
  const std::span arguments(aValues, static_cast<size_t>(aCount));
  Report report;
  bool json = false;
  for (size_t i = 2; i < arguments.size(); ++i) {
    const std::string_view argument = arguments[i];
    if (argument == "--json") {
      json = true;
    } else if (argument == "--svg" && i + 1 < arguments.size()) {
      report.SetPlotFile(arguments[++i]);
    } else {
      return PrintUsage();
    }
  }
  if (arguments.size() < 2) {
    return PrintUsage();
  }
  const auto* mode =
    std::ranges::find(kModes, std::string_view(arguments[1]), &Mode::mName);
  if (mode == kModes.end()) {
    return PrintUsage();
  }
  mode->mRun(report);
  if (json) {
    report.PrintJson(std::cout);
  } else {
    report.PrintText(std::cout);
  }
  return 0;
}
