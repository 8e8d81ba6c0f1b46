#pragma once

#include <memory>

#include <snipepost/Document/Effective.h>
#include <snipepost/Membership/Blackboard.h>
#include <snipepost/Routing/RoutingSnapshot.h>

namespace snipepost {

/// Safety rules that tests disable one at a time to show that each is needed.
struct ViewSafeguards
{
  /// Suspicion of more than half of a service's agents is ignored.
  bool mPanicThreshold = true;
};

/// Builds the routing snapshot for a configuration and a view of the members.
/// New flows go to agents that are ready, admitted, not suspected, and in a
/// configured failure domain that is not out. When more than half of a
/// service's agents are suspected, suspicion is ignored for the service,
/// because the fault is then more likely local.
std::shared_ptr<const RoutingSnapshot>
BuildSnapshot(const EffectiveConfig& aConfig,
              const Blackboard& aBoard,
              const RoutingSnapshot* aPrevious,
              const ViewSafeguards& aSafeguards = {});

} // namespace snipepost
