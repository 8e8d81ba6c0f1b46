#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/FlowCtl/LogLine.h"

namespace snipepost::flowctl {

/// A change made by the operator, and when the instances adopted it.
struct OperatorChange
{
  /// "routes" or "evacuations".
  std::string mPart;
  /// Revisions are ordered within an epoch of the store.
  uint64_t mEpoch = 0;
  uint64_t mRevision = 0;
  std::string mChange;
  /// Milliseconds since the Unix epoch, by the instances' clocks.
  int64_t mFirstAdopted = 0;
  int64_t mLastAdopted = 0;
  std::string mFirstInstance;
  std::string mLastInstance;
  size_t mInstanceCount = 0;
};

/// The audit trail: all changes of configuration and evacuations in the log
/// lines, in the order in which they were first adopted.
std::vector<OperatorChange>
CollectChanges(const std::vector<LogLine>& aLines);

} // namespace snipepost::flowctl
