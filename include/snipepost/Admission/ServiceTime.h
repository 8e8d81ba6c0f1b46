#pragma once

#include <array>

#include <snipepost/Admission/Events.h>

namespace snipepost {

/// Measured service time, from forwarding a request to its complete response,
/// as an exponentially weighted moving average for each class. RequestQueue
/// has a second object, for the time that a request occupies its slot.
class ServiceTime
{
public:
  void Record(RequestClass aClass, Duration aTime);

  /// Zero until the first measurement.
  Duration Mean(RequestClass aClass) const;

private:
  std::array<Duration, 3> mMeans{};
};

} // namespace snipepost
