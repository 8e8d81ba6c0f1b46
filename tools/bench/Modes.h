#pragma once

#include "tools/bench/Report.h"

namespace snipepost::bench {

/// Routing decisions, table rebuilds, moved flow keys and memory.
void
RunRouting(Report& aReport);

/// Choice of the candidates of a new flow, and of the possible owners of a flow
/// that is looked up.
void
RunCandidates(Report& aReport);

/// Packets through an entry instance's datagram path and through a bare UDP
/// relay.
void
RunRelay(Report& aReport);

/// Costs of one membership core at several fleet sizes.
void
RunMembership(Report& aReport);

/// Fleets of membership cores in virtual time: traffic, store calls, fault
/// detection and propagation of documents.
void
RunFleet(Report& aReport);

/// RunFleet() with up to 50 entry instances.
void
RunSmallFleet(Report& aReport);

/// Traffic of settled fleets of 100 and 200 entry instances.
void
RunSettledFleet(Report& aReport);

/// Traffic of a settled fleet of 510 entry instances.
void
RunSettledLargeFleet(Report& aReport);

/// RunFleet() with the fleet size expected in two years; takes many minutes.
void
RunLargeFleet(Report& aReport);

/// First-packet policies under load, with the defaults.
void
RunPolicy(Report& aReport);

/// Agent settings under load, one varied at a time.
void
RunPolicySweep(Report& aReport);

/// Memory of QUIC connections at an agent and time of its core's events.
void
RunAgent(Report& aReport);

/// Size of the document and time to write and parse it.
void
RunDocument(Report& aReport);

} // namespace snipepost::bench
