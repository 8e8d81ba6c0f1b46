#include <snipepost/Flow/OverloadThrottle.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace snipepost::flow {

namespace {

/// Time after which the weight of a flow has decayed to 1/e.
constexpr double kDecaySeconds = 0.2;

/// Counts without an increment for this long have no effect. Bounds the effect
/// of old counts in an instance that was frozen or partitioned.
constexpr Duration kMaxAge = std::chrono::seconds(1);

/// Flows that are offered for each accepted one. With 2, about as many offered
/// flows are refused as accepted, and a service that regains its capacity is
/// offered twice as many flows within a time constant.
constexpr double kOfferedPerAccepted = 2.0;

} // namespace

void
OverloadThrottle::Count::Increment(Instant aNow)
{
  mValue = At(aNow) + 1.0;
  mValueAt = aNow;
}

double
OverloadThrottle::Count::At(Instant aNow) const
{
  const double age = std::chrono::duration<double>(aNow - mValueAt).count();
  return mValue * std::exp(-std::max(0.0, age) / kDecaySeconds);
}

bool
OverloadThrottle::Count::IsRecent(Instant aNow) const
{
  return mValue > 0.0 && aNow - mValueAt <= kMaxAge;
}

OverloadThrottle::OverloadThrottle(uint64_t aSeed)
  : mSeed(aSeed)
{
}

OverloadThrottle::Counts&
OverloadThrottle::CountsOf(uint32_t aPriority)
{
  const auto found = mCounts.find(aPriority);
  if (found != mCounts.end()) {
    return found->second;
  }
  return mCounts.emplace(aPriority, Counts{ {}, {}, {}, CallerShares(mSeed) })
    .first->second;
}

void
OverloadThrottle::OnDecided(uint32_t aPriority, Instant aNow)
{
  CountsOf(aPriority).mDecided.Increment(aNow);
}

void
OverloadThrottle::OnAccepted(uint32_t aPriority, Instant aNow)
{
  CountsOf(aPriority).mAccepted.Increment(aNow);
}

void
OverloadThrottle::OnThrottled(uint32_t aPriority, Instant aNow)
{
  CountsOf(aPriority).mThrottled.Increment(aNow);
}

bool
OverloadThrottle::AcceptsLessUrgent(uint32_t aPriority, Instant aNow) const
{
  return std::any_of(
    mCounts.upper_bound(aPriority), mCounts.end(), [aNow](const auto& aCounts) {
      return aCounts.second.mAccepted.IsRecent(aNow);
    });
}

double
OverloadThrottle::RefusedShare(const Counts& aCounts, Instant aNow)
{
  const double decided = aCounts.mDecided.At(aNow);
  const double refused = std::max(0.0, decided - aCounts.mAccepted.At(aNow));
  return std::min(1.0, kOfferedPerAccepted * refused / std::max(1.0, decided));
}

double
OverloadThrottle::RefusalProbability(uint32_t aPriority,
                                     const Counts& aCounts,
                                     Instant aNow) const
{
  // Throttled flows alone would keep the throttle closed without end, for
  // example in an instance that reaches no agent.
  if (!aCounts.mDecided.IsRecent(aNow) || AcceptsLessUrgent(aPriority, aNow)) {
    return 0.0;
  }
  const double requests =
    aCounts.mDecided.At(aNow) + aCounts.mThrottled.At(aNow);
  const double accepted = aCounts.mAccepted.At(aNow);
  const double share =
    (requests - kOfferedPerAccepted * accepted) / (requests + 1.0);
  return share * RefusedShare(aCounts, aNow);
}

bool
OverloadThrottle::Refuses(uint32_t aPriority,
                          CallerIp aCaller,
                          double aRandom,
                          Instant aNow)
{
  Counts& counts = CountsOf(aPriority);
  const double refused = RefusalProbability(aPriority, counts, aNow);
  const bool refuses =
    refused > 0.0 &&
    aRandom < counts.mCallers.RefusalProbability(aCaller, refused, aNow);
  counts.mCallers.OnFlow(aCaller, aNow);
  return refuses;
}

} // namespace snipepost::flow
