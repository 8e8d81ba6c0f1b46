#include <snipepost/Admission/AdaptiveLimit.h>

#include <algorithm>

namespace snipepost {

namespace {

/// With 4 slots, the limit drops to 1 after two overloads.
constexpr double kDecreaseFactor = 0.5;

/// At a limit of 1, a second concurrent request is allowed after 15 responses.
/// With an increase by 1 after every response, a server that stays cold would
/// shed one request for each one that it answers.
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
AdaptiveLimit::OnOverload(Instant aForwardedAt, Instant aNow)
{
  if (aForwardedAt < mLastDecrease) {
    return;
  }
  mLimit = std::max(1.0, mLimit * kDecreaseFactor);
  mLastDecrease = aNow;
}

void
AdaptiveLimit::Reset()
{
  mLimit = mSlots;
  mLastDecrease = Instant::min();
}

} // namespace snipepost
