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

constexpr std::array<Mode, 4> kModes{ {
  { "routing", "decisions, table rebuilds, moved keys, memory", RunRouting },
  { "relay", "packets through the entry path and a bare relay", RunRelay },
  { "membership", "costs of one membership core", RunMembership },
  { "fleet", "membership cores in virtual time", RunFleet },
} };

int
PrintUsage()
{
  std::cerr << "usage: bench MODE [--json]\n";
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
  const bool json =
    arguments.size() == 3 && std::string_view(arguments[2]) == "--json";
  if (arguments.size() != (json ? 3U : 2U)) {
    return PrintUsage();
  }
  const auto* mode =
    std::ranges::find(kModes, std::string_view(arguments[1]), &Mode::mName);
  if (mode == kModes.end()) {
    return PrintUsage();
  }
  Report report;
  mode->mRun(report);
  if (json) {
    report.PrintJson(std::cout);
  } else {
    report.PrintText(std::cout);
  }
  return 0;
}
