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

/// Answer of an instance's control address to a GET.
struct InstanceAnswer
{
  /// False when the instance could not be asked.
  bool mReached = false;
  /// Absent when the instance has nothing at this path (404).
  std::optional<std::string> mBody;
};

/// Everything outside of the process that the commands use.
struct Environment
{
  std::function<std::unique_ptr<ObjectStore>(Address)> mOpenStore;
  std::function<InstanceAnswer(Address, const std::string& aPath)> mAskInstance;
  std::function<WallTime()> mNow;
  std::function<void(Duration)> mPause;
  /// A new submission ID, unique among all operators, and a seed for jitter.
  std::function<std::string()> mNewSubmissionId;
  std::function<uint64_t()> mNewSeed;
  std::ostream& mOut;
  std::ostream& mErr;
  /// Environment variables.
  std::map<std::string, std::string> mVariables;
};

} // namespace snipepost
