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
  /// Planned changes are checked up to this time, when operators are available
  /// again.
  WallTime mHorizon;
  /// Without a list, the check assumes the most endpoints and slots that rules
  /// and failure domains allow.
  std::optional<std::vector<AnnouncedEndpoint>> mEndpoints;
};

/// Checks a document and returns every error found.
///
/// Besides names, ranges and references it checks the state now and after each
/// planned change up to the horizon: each service must keep minEndpoints usable
/// endpoints (admitted, failure domain in) and a capacity of minEndpoints x
/// slots. An endpoint counts with the smaller of its own and the service's
/// slots. After a planned change has made it usable, it is cold and counts with
/// 1 slot for rampSeconds.
std::vector<DocumentError>
Validate(const Document& aDocument, const ValidationContext& aContext);

} // namespace snipepost
