#pragma once

#include <deque>
#include <string>

#include <snipepost/Admission/Events.h>

namespace snipepost {

/// Tracks the state of the backend server, and detects restarts from the
/// connection state and boot IDs.
class BackendTracker
{
public:
  enum class UpdateResult : uint8_t
  {
    Unchanged,
    /// The report carries the boot ID of a previous incarnation. Everything but
    /// a draining state was ignored.
    StaleReport,
    /// The connection was lost or re-established; the backend server may have
    /// restarted.
    ConnectionChanged,
    /// The boot ID changed.
    Restarted
  };

  /// Applies a report. The first report with the boot ID of a previous
  /// incarnation is ignored as stale. A second consecutive one is applied,
  /// because it shows that the boot ID accepted in between was wrong.
  UpdateResult Update(const BackendState& aState);

  /// Whether requests may be forwarded.
  bool IsReady() const
  {
    return mReachable && mHealth != BackendHealth::Starting;
  }
  bool IsDraining() const { return mHealth == BackendHealth::Draining; }

private:
  bool IsStale(const BackendState& aState);

  bool mReachable = false;
  BackendHealth mHealth = BackendHealth::Ok;
  std::string mBoot;
  /// Boot ID of the last report if that was stale, empty otherwise.
  std::string mLastStaleBoot;
  /// Boot IDs of previous incarnations, the latest last.
  std::deque<std::string> mPreviousBoots;
};

} // namespace snipepost
