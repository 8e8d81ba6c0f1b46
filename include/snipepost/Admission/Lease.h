#pragma once

#include <optional>

#include <snipepost/Admission/Options.h>
#include <snipepost/Base/Types.h>

namespace snipepost {

/// Permits the agent to serve until an end time. The end is checked against the
/// monotonic clock, so that a paused agent detects the expiry when it resumes.
class Lease
{
public:
  explicit Lease(const LeaseOptions& aOptions)
    : mOptions(aOptions)
  {
  }

  /// Sets the end of a renewed lease and whether the store is out of service.
  void Update(Instant aEnd, bool aStoreOut);

  /// Records a confirmation by an entry instance.
  void Confirm(Instant aNow) { mConfirmed = aNow; }

  /// True before the end of the lease. While the store is known to be out of
  /// service, also for mConfirmationLifetime after the last confirmation by an
  /// entry instance.
  bool IsValid(Instant aNow) const;

private:
  LeaseOptions mOptions;
  Instant mEnd = Instant::min();
  bool mStoreOut = false;
  std::optional<Instant> mConfirmed;
};

} // namespace snipepost
