#pragma once

#include "tools/bench/Report.h"

namespace snipepost::bench {

/// Routing decisions, table rebuilds, moved flow keys and memory.
void
RunRouting(Report& aReport);

/// Packets through an entry instance's path against a bare UDP relay.
void
RunRelay(Report& aReport);

/// Costs of one membership core at several sizes of the fleet.
void
RunMembership(Report& aReport);

/// Fleets of membership cores in virtual time: traffic, store calls, documents.
void
RunFleet(Report& aReport);

} // namespace snipepost::bench
