#pragma once

#include <vector>

#include <snipepost/Document/Validate.h>

namespace snipepost {

/// Adds an error for each service that lacks endpoints or capacity now or after
/// a planned change up to the horizon. The error points to the change that
/// causes the shortage.
void
CheckCapacity(const Document& aDocument,
              const ValidationContext& aContext,
              std::vector<DocumentError>& aErrors);

} // namespace snipepost
