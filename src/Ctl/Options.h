#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/Types.h>

namespace snipepost {

/// A parsed command line.
struct Options
{
  /// Command and its arguments.
  std::vector<std::string> mWords;
  std::string mDeployment;
  std::optional<Address> mStore;
  std::vector<Address> mInstances;
  std::string mFile;
  std::string mBy;
  std::string mSubmission;
  std::optional<WallTime> mAt;
  std::optional<WallTime> mHorizon;
  bool mNoInstances = false;
  bool mJson = false;
  bool mHelp = false;
};

/// Reads flags and, for flags that are absent, the variables
/// SNIPEPOST_<NAME>. Returns the reason when something can't be read.
std::variant<Options, std::string>
ParseOptions(const std::vector<std::string>& aArguments,
             const std::map<std::string, std::string>& aVariables);

/// Text of --help.
std::string
HelpText();

} // namespace snipepost
