#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/FlowCtl/LogLine.h"

namespace snipepost::flowctl {

/// A change of the operator, and when instances adopted it.
struct AppliedChange
{
  /// "routes" or "evacuations".
  std::string mPart;
  uint64_t mRevision = 0;
  std::string mChange;
  /// Milliseconds since the Unix epoch, by the instances' clocks.
  int64_t mFirst = 0;
  int64_t mLast = 0;
  std::string mFirstInstance;
  std::string mLastInstance;
  size_t mInstances = 0;
};

/// The audit trail: all changes of configuration and evacuations that the
/// lines tell of, in the order in which they were first adopted.
std::vector<AppliedChange>
ChangesIn(const std::vector<LogLine>& aLines);

} // namespace snipepost::flowctl
