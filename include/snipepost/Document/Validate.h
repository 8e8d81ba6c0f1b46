#pragma once

#include <optional>
#include <vector>

#include <snipepost/Document/Document.h>

namespace snipepost {

/// A backend server that its agent has announced.
struct AnnouncedEndpoint
{
  BackendTarget mBackend;
  DomainId mDomain;
  uint32_t mSlots = 0;
};

struct ValidationContext
{
  WallTime mNow;
  /// The document must hold without operators until then.
  WallTime mHorizon;
  /// Without a list only the rules and failure domains are checked.
  std::optional<std::vector<AnnouncedEndpoint>> mEndpoints;
};

/// Checks a document and returns every error found.
///
/// Besides names, ranges and references it checks the state now and after each
/// planned change up to the horizon: each service keeps minEndpoints usable
/// endpoints (admitted, failure domain in) and a capacity of minEndpoints x
/// slots. An endpoint counts with the smaller of its own and the service's
/// slots, and with 1 slot for rampSeconds after a planned change made it
/// usable, because it is cold then.
std::vector<DocumentError>
Validate(const Document& aDocument, const ValidationContext& aContext);

} // namespace snipepost
