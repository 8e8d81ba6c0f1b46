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
constexpr int kExitError = 2;
constexpr unsigned kMaxNet = 250;

int
RunSoak(int aCount, char** aArguments)
{
  SoakOptions options;
  std::string kinds;
  unsigned net = 0;
  unsigned seconds = 0;
  po::options_description flags("Soak of snipepost-flowd under faults");
  flags.add_options()("help", "Print this help and the kinds of faults")(
    "program", po::value(&options.mProgram), "Path of snipepost-flowd")(
    "folder",
    po::value(&options.mFolder),
    "Folder for settings files and logs")(
    "seed", po::value(&options.mSeed)->default_value(1), "Random seed")(
    "net",
    po::value(&net)->default_value(101),
    "Second octet of the loopback addresses; concurrent soaks need different "
    "values")("seconds",
              po::value(&seconds)->default_value(16),
              "Length of the fault injection phase in seconds")(
    "rate",
    po::value(&options.mFaultRate)->default_value(1.0),
    "Mean number of faults per second")(
    "kinds",
    po::value(&kinds),
    "Comma-separated kinds of faults; all if empty");
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
      net > kMaxNet) {
    std::cerr << "--program, --folder and a --net from 1 to 250 are required\n";
    return kExitError;
  }
  options.mNet = static_cast<uint8_t>(net);
  options.mFaultTime = std::chrono::seconds(seconds);
  if (!kinds.empty()) {
    boost::split(
      options.mKinds, kinds, [](char aCharacter) { return aCharacter == ','; });
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
    return kExitError;
  }
}
