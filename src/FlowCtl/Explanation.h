#pragma once

#include <string>
#include <vector>

#include "src/FlowCtl/LogLine.h"

namespace snipepost::flowctl {

/// What the instances decided about one flow, and what follows from it.
struct Explanation
{
  /// The flow's lines by time.
  std::vector<LogLine> mChain;
  /// What became of the flow, in a sentence or two.
  std::string mCause;
};

/// Explains the flow of the caller aCaller ("address:port"), from the lines of
/// all instances. aRoute narrows it to one route when it is not empty.
Explanation
Explain(const std::vector<LogLine>& aLines,
        const std::string& aCaller,
        const std::string& aRoute);

} // namespace snipepost::flowctl
