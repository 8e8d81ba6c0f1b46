#pragma once

#include <string>
#include <vector>

#include <snipepost/Ctl/Environment.h>

namespace snipepost {

/// Exit codes of snipepostctl, listed by --help.
enum class ExitCode
{
  Ok = 0,
  Different = 1,
  Usage = 2,
  Invalid = 3,
  Conflict = 4,
  Refused = 5,
  Unknown = 6,
  Absent = 7,
};

/// Runs one snipepostctl command line, without the program's name.
ExitCode
RunProgram(const std::vector<std::string>& aArguments,
           CommandEnvironment& aEnvironment);

} // namespace snipepost
