#pragma once

#include "tools/bench/Report.h"

namespace snipepost::bench {

/// Routing decisions, table rebuilds, moved flow keys and memory.
void
RunRouting(Report& aReport);

/// First-packet policies under load, with the defaults.
void
RunPolicy(Report& aReport);

/// The settings of agents, one varied at a time.
void
RunPolicySweep(Report& aReport);

} // namespace snipepost::bench
