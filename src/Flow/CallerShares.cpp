#include <snipepost/Flow/CallerShares.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

#include "src/Routing/Hash.h"

namespace snipepost::flow {

namespace {

/// Time after which the weight of a flow has decayed to 1/e.
constexpr double kDecaySeconds = 1.0;

/// Counts without a new flow for this long have no effect. Bounds the effect of
/// old counts in an instance that was frozen or partitioned.
constexpr Duration kMaxAge = std::chrono::seconds(1);

/// For how long a level is used before it is computed again, which takes a pass
/// over all buckets for each of some steps. The counts change by .5 % in this
/// time.
constexpr Duration kLevelInterval = std::chrono::milliseconds(5);

/// Age of mWeightedFrom at which the counts are rebased. The weights grow to
/// e^30 = 1e13 by then, and a float has a range up to 3e38.
constexpr Duration kRebaseInterval = std::chrono::seconds(30);

/// Mean demand that a flow which is not counted yet adds to its caller.
constexpr double kMeanAddition = 0.5;

/// Mean of max(0, 1 - aLevel / demand) for a demand that is evenly distributed
/// from aCount to aCount + 1; aLevel is above 0.
double
MeanRefusal(double aCount, double aLevel)
{
  const double most = aCount + 1.0;
  const double least = std::max(aCount, aLevel);
  return most <= least ? 0.0 : most - least - aLevel * std::log(most / least);
}

} // namespace

CallerShares::CallerShares(uint64_t aSeed)
  : mSeed(aSeed)
{
}

size_t
CallerShares::BucketOf(CallerIp aCaller) const
{
  return HashWord(aCaller.Value(), mSeed) % kBuckets;
}

double
CallerShares::Weight(Instant aNow) const
{
  const double age =
    std::chrono::duration<double>(aNow - mWeightedFrom).count();
  return std::exp(age / kDecaySeconds);
}

void
CallerShares::Rebase(Instant aNow)
{
  const double factor = 1.0 / Weight(aNow);
  for (float& count : mCounts) {
    count = static_cast<float>(count * factor);
  }
  mTotal *= factor;
  mWeightedFrom = aNow;
}

void
CallerShares::OnFlow(CallerIp aCaller, Instant aNow)
{
  if (aNow - mLastFlowAt > kMaxAge) {
    mCounts.fill(0.0F);
    mTotal = 0.0;
    mWeightedFrom = aNow;
    mLevelUntil = aNow;
  } else if (aNow - mWeightedFrom > kRebaseInterval) {
    Rebase(aNow);
  }
  mLastFlowAt = aNow;
  const double weight = Weight(aNow);
  mCounts[BucketOf(aCaller)] += static_cast<float>(weight);
  mTotal += weight;
}

double
CallerShares::RefusalProbability(CallerIp aCaller,
                                 double aRefused,
                                 Instant aNow)
{
  if (aRefused <= 0.0 || aRefused >= 1.0 || aNow - mLastFlowAt > kMaxAge) {
    return std::clamp(aRefused, 0.0, 1.0);
  }
  if (aNow >= mLevelUntil) {
    UpdateLevel(aRefused);
    mLevelUntil = aNow + kLevelInterval;
  }
  if (mAboveLevel == 0) {
    return aRefused; // Nothing was counted.
  }
  // The flow adds one to the demand of its caller. Taking the mean over a
  // demand from without to with it refuses the share aRefused of all flows also
  // when most callers have no or one flow in a time constant: for independent
  // arrivals, the count that an arriving flow finds, plus a number from 0 to 1,
  // is distributed like the counts, each weighted by itself.
  const double weight = Weight(aNow);
  const double count = mCounts[BucketOf(aCaller)] / weight;
  const double level = mLevel * mTotal / weight;
  const double added = (1.0 - aRefused) * kMeanAddition;
  return MeanRefusal(count,
                     count > level ? level + added / mAboveLevel
                                   : (level * mAboveLevel + count + added) /
                                       (mAboveLevel + 1));
}

// The level rises from the mean to its value: buckets below it are accepted
// completely, and the others share what is left.
void
CallerShares::UpdateLevel(double aRefused)
{
  // The sum has the rounding of the counts, unlike mTotal so far.
  mTotal = std::accumulate(mCounts.begin(), mCounts.end(), 0.0);
  mLevel = 0.0;
  mAboveLevel = 0;
  double level = 0.0;
  for (;;) {
    double left = (1.0 - aRefused) * mTotal;
    uint32_t above = 0;
    for (const float count : mCounts) {
      if (count > level) {
        ++above;
      } else {
        left -= count;
      }
    }
    // With rounding, a bucket at the level may be above it again.
    if (above == 0 || (mAboveLevel > 0 && above >= mAboveLevel)) {
      return;
    }
    mAboveLevel = above;
    level = left / above;
    mLevel = level / mTotal;
  }
}

} // namespace snipepost::flow
