#pragma once

#include <cstdint>
#include <optional>

#include <snipepost/Base/Types.h>

namespace snipepost {

/// Limit of concurrent requests after a cold start: 1 at first, then linear up
/// to the number of slots. A reported warmth or number of slots can lower the
/// result and never raises it.
class ColdRamp
{
public:
  ColdRamp(uint32_t aSlots, Duration aRamp, Instant aColdSince);

  void Configure(uint32_t aSlots, Duration aRamp);

  /// The backend server is cold as of aNow; older reports are forgotten.
  void Restart(Instant aNow);

  /// Takes a warmth between 0 and 1; other values, NaN included, are ignored.
  void ReportWarmth(double aWarmth, Instant aNow);

  void ReportSlots(uint32_t aSlots, Instant aNow);

  /// At least 1 and at most the number of slots.
  uint32_t Limit(Instant aNow) const;

  /// The limit from time alone, without the reports.
  uint32_t LimitByTime(Instant aNow) const;

  /// True while the limit is below the number of slots.
  bool IsCold(Instant aNow) const { return Limit(aNow) < mSlots; }

  /// When LimitByTime() grows next; nothing once it is complete.
  std::optional<Instant> NextStep(Instant aNow) const;

  /// The last reported warmth, if it is recent.
  std::optional<double> Warmth(Instant aNow) const;

private:
  uint32_t mSlots;
  Duration mRamp;
  Instant mColdSince;
  std::optional<double> mWarmth;
  std::optional<uint32_t> mReportedSlots;
  Instant mReportedAt;
};

} // namespace snipepost
