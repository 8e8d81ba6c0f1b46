#pragma once

#include <string>

#include <snipepost/Membership/Blackboard.h>

namespace snipepost {

/// The control plane's counters and gauges in the Prometheus text format.
std::string
MembershipMetrics(const Blackboard& aBoard);

} // namespace snipepost
