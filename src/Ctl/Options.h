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
  /// The command and its arguments.
  std::vector<std::string> mPositional;
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

/// Reads options and, for absent options, the environment variables
/// SNIPEPOST_<NAME>. Returns an error message if a value is invalid.
std::variant<Options, std::string>
ParseOptions(const std::vector<std::string>& aArguments,
             const std::map<std::string, std::string>& aVariables);

/// Text of --help.
std::string
HelpText();

} // namespace snipepost
