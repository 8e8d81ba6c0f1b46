#pragma once

#include <vector>

#include <snipepost/Document/Validate.h>

namespace snipepost {

/// Reports each service that lacks endpoints or capacity now or after a
/// planned change up to the horizon, at the change that causes it.
void
CheckCapacity(const Document& aDocument,
              const ValidationContext& aContext,
              std::vector<DocumentError>& aErrors);

} // namespace snipepost
