#pragma once

#include <string>
#include <vector>

#include "src/FlowCtl/LogLine.h"

namespace snipepost::flowctl {

/// The decisions of the instances about one flow, and the resulting outcome.
struct Explanation
{
  /// The flow's log lines, ordered by time.
  std::vector<LogLine> mLines;
  /// The outcome of the flow and its cause, in a few sentences.
  std::string mSummary;
};

/// Explains the flow of the caller aCaller ("address:port") from the log lines
/// of all instances. A non-empty aRoute limits it to the flow to that route.
Explanation
Explain(const std::vector<LogLine>& aLines,
        const std::string& aCaller,
        const std::string& aRoute);

} // namespace snipepost::flowctl
