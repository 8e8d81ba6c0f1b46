#include <snipepost/Admission/AdaptiveLimit.h>

#include <algorithm>

namespace snipepost {

namespace {

/// Halving reaches 1 from 4 slots after two overloads.
constexpr double kDecrease = 0.5;

/// Ten responses at a limit of 1 before a second request is tried. An increase
/// after every response would make a server that stays cold shed one request
/// for each one that it answers.
constexpr double kIncrease = 0.1;

} // namespace

AdaptiveLimit::AdaptiveLimit(uint32_t aSlots)
  : mSlots(std::max(aSlots, 1U))
  , mLimit(mSlots)
{
}

void
AdaptiveLimit::Configure(uint32_t aSlots)
{
  const bool wasFull = mLimit >= mSlots;
  mSlots = std::max(aSlots, 1U);
  mLimit = wasFull ? mSlots : std::min<double>(mLimit, mSlots);
}

void
AdaptiveLimit::OnSuccess(uint32_t aInFlight)
{
  if (aInFlight < Limit()) {
    return;
  }
  mLimit = std::min<double>(mSlots, mLimit + kIncrease / mLimit);
}

void
AdaptiveLimit::OnOverload(Instant aPassedOn, Instant aNow)
{
  if (aPassedOn < mLastDecrease) {
    return;
  }
  mLimit = std::max(1.0, mLimit * kDecrease);
  mLastDecrease = aNow;
}

void
AdaptiveLimit::Reset()
{
  mLimit = mSlots;
  mLastDecrease = Instant::min();
}

} // namespace snipepost
