#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/Types.h>

#include "tools/callers/RequestClass.h"

namespace snipepost::tools {

/// Command-line options.
struct Options
{
  /// Service addresses; a class without its own list uses mServices.
  std::vector<Address> mServices;
  std::vector<Address> mBulkServices;
  /// Callers of each service address, each with its own connection.
  size_t mCallers = 8;
  uint64_t mSeed = 1;
  Duration mDuration = std::chrono::seconds(10);
  /// Mean number of requests per second over all callers, by class.
  std::array<double, kClassCount> mRates{};
  /// Deadline after the intended start, by class.
  std::array<Duration, kClassCount> mDeadlines{};
  uint64_t mBulkBytes = 0;
  uint64_t mSessionSeconds = 0;
  /// Mean lifetime of a caller's connection before it is replaced; 0 for never.
  Duration mFlowLifetime{};
  std::vector<std::string> mJournals;
  /// Journals of the bulk service's backend servers.
  std::vector<std::string> mBulkJournals;
  std::string mJsonFile;
  bool mExpectClean = false;
};

/// Parses the command line. Prints the help text or an error and returns
/// nothing when the program should exit with aExitCode.
std::optional<Options>
ParseOptions(int aCount, char** aArguments, int& aExitCode);

} // namespace snipepost::tools
