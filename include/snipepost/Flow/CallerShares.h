#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include <snipepost/Base/Types.h>

namespace snipepost::flow {

/// IPv4 address of a caller, in host byte order.
using CallerIp = StrongType<struct CallerIpTag, uint32_t>;

/// Distributes the new flows that a throttle refuses over the callers by
/// max-min fairness, for one service and priority: a caller with less than the
/// fair share is refused nothing because of one with more. The share of all
/// flows that is refused remains the throttle's.
///
/// Callers are counted by the hash of their IP address in a fixed number of
/// buckets, so those that share a bucket share its flows. The counts decay
/// exponentially with a time constant of 1 s. Does no I/O; the time is an
/// argument.
class CallerShares
{
public:
  /// 64 counts bound the state to 312 bytes, and with it that of a service with
  /// two priorities to 624.
  static constexpr size_t kBuckets = 64;

  /// Instances with different values of aSeed assign callers to buckets
  /// differently, so that two callers do not share one at all instances.
  explicit CallerShares(uint64_t aSeed);

  /// Counts a new flow, once a flow and whether or not it is refused.
  void OnFlow(CallerIp aCaller, Instant aNow);

  /// Probability, from 0 to 1, with which a new flow that is not counted yet is
  /// to be refused, so that of all flows the share aRefused is refused;
  /// aRefused is from 0 to 1. Returns aRefused when no flow was counted in the
  /// last second.
  double RefusalProbability(CallerIp aCaller, double aRefused, Instant aNow);

private:
  size_t BucketOf(CallerIp aCaller) const;
  /// Weight in mCounts of a flow that is counted at aNow.
  double Weight(Instant aNow) const;
  /// Sets mWeightedFrom to aNow without changing the values of the counts.
  void Rebase(Instant aNow);
  /// Computes the level at which the sum of max(0, count - level) over all
  /// buckets is the share aRefused of all counts.
  void UpdateLevel(double aRefused);

  uint64_t mSeed;
  /// Flows by bucket. Instead of all counts decaying, later flows have a higher
  /// weight: e to the power of the seconds since mWeightedFrom.
  std::array<float, kBuckets> mCounts{};
  /// The sum of mCounts.
  double mTotal = 0.0;
  Instant mWeightedFrom;
  Instant mLastFlowAt;
  /// The level that was computed last, as a share of mTotal, so that it follows
  /// a burst of all callers; and when it is to be computed again.
  double mLevel = 0.0;
  /// Buckets above the level; 0 if there were no counts.
  uint32_t mAboveLevel = 0;
  Instant mLevelUntil;
};

} // namespace snipepost::flow
