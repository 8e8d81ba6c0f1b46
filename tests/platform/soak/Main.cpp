#include <exception>
#include <filesystem>
#include <iostream>

#include <boost/algorithm/string/split.hpp>
#include <boost/program_options.hpp>

#include "tests/platform/soak/Soak.h"

namespace {

using namespace snipepost::soak;
namespace po = boost::program_options;

constexpr int kExitViolated = 1;
constexpr int kExitUsage = 2;
constexpr unsigned kLastNet = 250;

int
RunSoak(int aCount, char** aArguments)
{
  SoakOptions options;
  std::string kinds;
  unsigned net = 0;
  unsigned seconds = 0;
  po::options_description flags("Soak of snipepost-flowd under faults");
  flags.add_options()("help", "Print this text and the kinds of faults")(
    "program", po::value(&options.mProgram), "Path of snipepost-flowd")(
    "folder", po::value(&options.mFolder), "Folder for settings and logs")(
    "seed", po::value(&options.mSeed)->default_value(1), "Seed of all choices")(
    "net",
    po::value(&net)->default_value(101),
    "Second part of the loopback addresses; soaks at the same time need "
    "different ones")("seconds",
                      po::value(&seconds)->default_value(16),
                      "Time in which faults begin, seconds")(
    "rate",
    po::value(&options.mFaultRate)->default_value(1.0),
    "Mean number of faults a second")(
    "kinds", po::value(&kinds), "Kinds of faults, with commas; all if empty");
  po::variables_map values;
  po::store(po::parse_command_line(aCount, aArguments, flags), values);
  po::notify(values);
  if (values.count("help") > 0) {
    std::cout << flags;
    for (const std::string& name : Soak::KindNames()) {
      std::cout << "  " << name << '\n';
    }
    return 0;
  }
  if (options.mProgram.empty() || options.mFolder.empty() || net == 0 ||
      net > kLastNet) {
    std::cerr << "--program, --folder and a --net of 1 to 250 are needed\n";
    return kExitUsage;
  }
  options.mNet = static_cast<uint8_t>(net);
  options.mFaultTime = std::chrono::seconds(seconds);
  if (!kinds.empty()) {
    boost::split(
      options.mKinds, kinds, [](char aLetter) { return aLetter == ','; });
  }
  std::filesystem::create_directories(options.mFolder);
  return Soak(options).Run() ? 0 : kExitViolated;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    return RunSoak(aCount, aArguments);
  } catch (const std::exception& error) {
    std::cerr << "soak failed: " << error.what() << '\n';
    return kExitUsage;
  }
}
