#pragma once

#include <cstdint>
#include <map>

#include <snipepost/Base/Types.h>
#include <snipepost/Flow/CallerShares.h>

namespace snipepost::flow {

/// Refuses a share of the new flows of one service at an entry instance while
/// the agents refuse most of them, so that offers without an acceptance stay in
/// proportion to the acceptances (adaptive throttling, Beyer et al., Site
/// Reliability Engineering, 2016). Does no I/O; the time is an argument.
///
/// Flows are counted when their outcome is known, not when they arrive: a burst
/// of new flows whose offers are not answered yet is no sign of overload.
///
/// The refused share is distributed over the callers of each priority as
/// CallerShares describes; agents refuse flows without regard to the caller.
class OverloadThrottle
{
public:
  /// aSeed is that of CallerShares.
  explicit OverloadThrottle(uint64_t aSeed);

  /// Counts a flow that agents accepted or refused, once a flow.
  void OnDecided(uint32_t aPriority, Instant aNow);
  /// Counts a flow that an agent accepted or queued, once a flow and after its
  /// OnDecided().
  void OnAccepted(uint32_t aPriority, Instant aNow);
  /// Counts a flow that was reset because Refuses() returned true.
  void OnThrottled(uint32_t aPriority, Instant aNow);

  /// True when a new flow is to be reset. Called once for each new flow, which
  /// it counts for its caller. aRandom is uniform in [0, 1). Always false when
  /// no agent's decision was counted in the last second, and for priorities
  /// more urgent than one that was accepted in the last second.
  bool Refuses(uint32_t aPriority,
               CallerIp aCaller,
               double aRandom,
               Instant aNow);

private:
  /// A count that decays exponentially.
  class Count
  {
  public:
    void Increment(Instant aNow);
    double At(Instant aNow) const;
    /// True when there was an increment in the last second.
    bool IsRecent(Instant aNow) const;

  private:
    double mValue = 0.0;
    Instant mValueAt;
  };

  struct Counts
  {
    /// Flows whose outcome agents decided.
    Count mDecided;
    Count mAccepted;
    Count mThrottled;
    CallerShares mCallers;
  };

  /// Factor of the refusal probability: 1 while at least half of the decided
  /// flows are refused, less below that and when hardly any flow was decided.
  /// Without it, throttling outlasts an overload by more than a second in an
  /// instance that had no acceptances during the overload.
  static double RefusedShare(const Counts& aCounts, Instant aNow);
  bool AcceptsLessUrgent(uint32_t aPriority, Instant aNow) const;
  /// Share of all flows of a priority that is to be refused; may be negative.
  double RefusalProbability(uint32_t aPriority,
                            const Counts& aCounts,
                            Instant aNow) const;
  /// The counts of a priority, which are added when there are none.
  Counts& CountsOf(uint32_t aPriority);

  uint64_t mSeed;
  /// By priority; 0 is the most urgent.
  std::map<uint32_t, Counts> mCounts;
};

} // namespace snipepost::flow
