#pragma once

#include <memory>

#include <snipepost/Document/Effective.h>
#include <snipepost/Membership/Blackboard.h>
#include <snipepost/Routing/RoutingSnapshot.h>

namespace snipepost {

/// Switches off single rules, so that tests can show that each is needed.
struct ViewGuards
{
  /// Suspicion of more than half of a service's agents is ignored.
  bool mPanicThreshold = true;
};

/// Builds the routing snapshot for a configuration and a view of the members.
/// Takes new flows: an agent that is ready and admitted, in a failure domain
/// that is in, and not suspected. When more than half of a service's agents
/// are suspected, suspicion is ignored for it: the fault is then more likely
/// on this side.
std::shared_ptr<const RoutingSnapshot>
BuildSnapshot(const EffectiveConfig& aConfig,
              const Blackboard& aBoard,
              const RoutingSnapshot* aPrevious,
              const ViewGuards& aGuards = {});

} // namespace snipepost
