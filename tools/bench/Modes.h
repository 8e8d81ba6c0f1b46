#pragma once

#include "tools/bench/Report.h"

namespace snipepost::bench {

/// Routing decisions, table rebuilds, moved flow keys and memory.
void
RunRouting(Report& aReport);

} // namespace snipepost::bench
