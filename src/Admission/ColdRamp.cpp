#include <snipepost/Admission/ColdRamp.h>

#include <algorithm>
#include <cmath>

namespace snipepost {

namespace {

/// Reports expire after this time, so that one wrong low value without a later
/// report doesn't reduce the limit permanently.
constexpr Duration kReportLifetime = std::chrono::seconds(10);

} // namespace

ColdRamp::ColdRamp(uint32_t aSlots, Duration aRampTime, Instant aColdSince)
  : mSlots(std::max(aSlots, 1U))
  , mRampTime(aRampTime)
  , mColdSince(aColdSince)
{
}

void
ColdRamp::Configure(uint32_t aSlots, Duration aRampTime)
{
  mSlots = std::max(aSlots, 1U);
  mRampTime = aRampTime;
}

void
ColdRamp::Restart(Instant aNow)
{
  mColdSince = aNow;
  mWarmth.reset();
  mReportedSlots.reset();
}

void
ColdRamp::ReportWarmth(double aWarmth, Instant aNow)
{
  if (!(aWarmth >= 0.0 && aWarmth <= 1.0)) {
    return;
  }
  mWarmth = aWarmth;
  mReportedAt = aNow;
}

void
ColdRamp::ReportSlots(uint32_t aSlots, Instant aNow)
{
  mReportedSlots = aSlots;
  mReportedAt = aNow;
}

uint32_t
ColdRamp::Limit(Instant aNow) const
{
  uint32_t limit = LimitByTime(aNow);
  if (aNow - mReportedAt >= kReportLifetime) {
    return limit;
  }
  if (mWarmth) {
    limit = std::min(limit, static_cast<uint32_t>(*mWarmth * mSlots));
  }
  if (mReportedSlots) {
    limit = std::min(limit, *mReportedSlots);
  }
  return std::max(limit, 1U);
}

uint32_t
ColdRamp::LimitByTime(Instant aNow) const
{
  const Duration elapsed = aNow - mColdSince;
  if (elapsed >= mRampTime) {
    return mSlots;
  }
  const double share = static_cast<double>(elapsed.count()) /
                       static_cast<double>(mRampTime.count());
  return 1 + static_cast<uint32_t>((mSlots - 1) * std::max(share, 0.0));
}

std::optional<Instant>
ColdRamp::NextStep(Instant aNow) const
{
  const uint32_t limit = LimitByTime(aNow);
  if (limit >= mSlots) {
    return std::nullopt;
  }
  // Rounded up, so that the new limit applies when a tick runs at this time.
  const int64_t step = mRampTime.count() * limit / (mSlots - 1) + 1;
  return std::max(mColdSince + Duration(step), aNow + Duration(1));
}

std::optional<double>
ColdRamp::Warmth(Instant aNow) const
{
  return aNow - mReportedAt < kReportLifetime ? mWarmth : std::nullopt;
}

} // namespace snipepost
