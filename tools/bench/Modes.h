#pragma once

#include "tools/bench/Report.h"

namespace snipepost::bench {

/// Routing decisions, table rebuilds, moved flow keys and memory.
void
RunRouting(Report& aReport);

/// Packets through an entry instance's path against a bare UDP relay.
void
RunRelay(Report& aReport);

} // namespace snipepost::bench
