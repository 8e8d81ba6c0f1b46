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

/// What the command line says.
struct Options
{
  /// Service addresses; a class without its own list uses mServices.
  std::vector<Address> mServices;
  std::vector<Address> mBulkServices;
  /// Callers of each service address, each with its own connection.
  size_t mCallers = 8;
  uint64_t mSeed = 1;
  Duration mLength = std::chrono::seconds(10);
  /// Mean number of requests per second over all callers, by class.
  std::array<double, kClasses> mRates{};
  /// Time from the intended start until the answer is useless, by class.
  std::array<Duration, kClasses> mDeadlines{};
  uint64_t mBulkBytes = 0;
  uint64_t mSessionSeconds = 0;
  /// Mean time after which a caller replaces its connection; 0 for never.
  Duration mFlowLife{};
  std::vector<std::string> mJournals;
  /// Journals of the bulk service's backend servers.
  std::vector<std::string> mBulkJournals;
  std::string mJsonFile;
  bool mExpectClean = false;
};

/// Parses the command line. Prints help or the error and returns nothing when
/// the program should not run; aExitCode then says how to exit.
std::optional<Options>
ParseOptions(int aCount, char** aArguments, int& aExitCode);

} // namespace snipepost::tools
