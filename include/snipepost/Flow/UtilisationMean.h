#pragma once

#include <cstdint>

#include <snipepost/Base/Types.h>

namespace snipepost::flow {

/// Exponentially weighted mean, with a time constant of 2 s, of the share of a
/// backend server's slots that are in use. Does no I/O; the time is an
/// argument.
class UtilisationMean
{
public:
  /// Sets the requests in progress from aNow on. Requests beyond the slots
  /// wait, so they don't count.
  void Set(uint32_t aRequests, uint32_t aSlots, Instant aNow);
  /// From 0 to 1; 0 before the first Set().
  double At(Instant aNow) const;

private:
  double mMean = 0.0;
  /// The share in use from mSetAt on.
  double mShare = 0.0;
  Instant mSetAt;
};

} // namespace snipepost::flow
