#pragma once

#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/Types.h>
#include <snipepost/Ctl/ObjectStore.h>

namespace snipepost {

/// Response of an instance's control address to a GET.
struct InstanceResponse
{
  /// False if the instance could not be reached or sent no valid response.
  bool mReached = false;
  /// Absent if the instance has no resource at this path (404).
  std::optional<std::string> mBody;
};

/// Interfaces to everything outside the process that the commands use.
struct CommandEnvironment
{
  std::function<std::unique_ptr<ObjectStore>(Address)> mOpenStore;
  std::function<InstanceResponse(Address, const std::string& aPath)>
    mQueryInstance;
  std::function<WallTime()> mNow;
  std::function<void(Duration)> mSleep;
  /// Returns a new submission ID that is unique among all operators.
  std::function<std::string()> mNewSubmissionId;
  /// Returns a seed for jitter and random selection.
  std::function<uint64_t()> mNewSeed;
  std::ostream& mOut;
  std::ostream& mErr;
  /// Environment variables.
  std::map<std::string, std::string> mVariables;
};

} // namespace snipepost
