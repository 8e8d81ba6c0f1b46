#pragma once

#include <cstdint>
#include <optional>

#include <snipepost/Base/Types.h>

namespace snipepost {

/// Limit of concurrent requests after a cold start: starts at 1 and grows
/// linearly to the number of slots. A reported warmth or number of slots can
/// lower the limit but never raises it.
class ColdRamp
{
public:
  ColdRamp(uint32_t aSlots, Duration aRampTime, Instant aColdSince);

  void Configure(uint32_t aSlots, Duration aRampTime);

  /// Restarts the ramp at aNow and discards older reports.
  void Restart(Instant aNow);

  /// Records a warmth between 0 and 1; other values, including NaN, are
  /// ignored.
  void ReportWarmth(double aWarmth, Instant aNow);

  void ReportSlots(uint32_t aSlots, Instant aNow);

  /// At least 1 and at most the number of slots.
  uint32_t Limit(Instant aNow) const;

  /// The limit that follows from the elapsed time, without the reports.
  uint32_t LimitByTime(Instant aNow) const;

  /// True while the limit is below the number of slots.
  bool IsCold(Instant aNow) const { return Limit(aNow) < mSlots; }

  /// When LimitByTime() grows next; nothing at the end of the ramp.
  std::optional<Instant> NextStep(Instant aNow) const;

  /// The last reported warmth, if it is recent.
  std::optional<double> Warmth(Instant aNow) const;

private:
  uint32_t mSlots;
  Duration mRampTime;
  Instant mColdSince;
  std::optional<double> mWarmth;
  std::optional<uint32_t> mReportedSlots;
  Instant mReportedAt;
};

} // namespace snipepost
