#pragma once

#include <vector>

#include "tests/Flow/OwnerLookupModel.h"

namespace snipepost::flow {

/// Runs many schedules, without disturbances of the kinds in aWithout, and
/// fails when a flow that is open at a running server is reset. The message
/// contains the seeds and reduced schedules.
void
CheckSchedules(const std::vector<Disturbance>& aWithout);

} // namespace snipepost::flow
