#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <string>

#include <snipepost/Admission/Events.h>

#include "tools/bench/PolicyWorkload.h"

namespace snipepost::bench {

/// Model of a backend server: its warmth and its running requests.
struct ServerModel
{
  /// Time from a cold start until the server is warm. Shorter than the agent's
  /// cold ramp of 20 s, so that the ramp alone keeps the load within
  /// Capacity().
  static constexpr Duration kTimeUntilWarm = std::chrono::seconds(15);
  /// A cold server takes four times as long, as in tools/backend.
  static constexpr double kColdSpeed = 0.25;

  Instant mColdSince{ -kTimeUntilWarm };
  uint64_t mIncarnation = 1;
  bool mUp = true;
  /// Requests and the numbers of their runs. A request that is retried gets a
  /// new run, so that the end of an earlier one is ignored.
  std::map<RequestId, uint64_t> mRunning;

  std::string BootId() const { return "boot-" + std::to_string(mIncarnation); }

  double Warmth(Instant aNow) const
  {
    const std::chrono::duration<double> elapsed = aNow - mColdSince;
    const std::chrono::duration<double> whole = kTimeUntilWarm;
    return std::clamp(elapsed / whole, 0.0, 1.0);
  }

  double Speed(Instant aNow) const
  {
    return kColdSpeed + (1 - kColdSpeed) * Warmth(aNow);
  }

  /// Requests it can run at once: 1 when cold, all slots when warm.
  size_t Capacity(Instant aNow) const
  {
    return 1 + static_cast<size_t>((kSlots - 1) * Warmth(aNow));
  }
};

} // namespace snipepost::bench
