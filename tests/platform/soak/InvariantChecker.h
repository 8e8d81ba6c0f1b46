#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <snipepost/Base/Types.h>
#include <snipepost/Flow/Packet.h>

namespace snipepost::soak {

/// Identifies one incarnation of a backend server.
using IncarnationId = StrongType<struct IncarnationIdTag, uint64_t>;

/// One attempt of a request. All attempts of a request have the same mNumber,
/// but each has its own mAttempt.
struct RequestAttempt
{
  uint64_t mNumber = 0;
  uint64_t mAttempt = 0;
  bool mIdempotent = false;
};

/// Checks the invariants of the load balancer during a soak, based on the
/// operator's actions and on what callers and backend servers observe. The time
/// bounds are those that operators configure for their deployments.
class InvariantChecker
{
public:
  static constexpr Duration kDrainBound = std::chrono::seconds(3);
  static constexpr Duration kEvacuationBound = std::chrono::seconds(5);
  static constexpr Duration kConfigBound = std::chrono::seconds(3);
  /// A time bound applies again when no fault was active for this time plus the
  /// bound.
  static constexpr Duration kStableAfter = std::chrono::seconds(4);
  /// Flows per second that a cold backend server can handle.
  static constexpr double kColdPerSecond = 20.0;
  /// More SYNs within a second at a cold backend server are a violation.
  static constexpr size_t kColdLimit = 35;
  /// Time after the last fault within which the load balancer must recover.
  static constexpr Duration kRecovery = std::chrono::seconds(12);
  /// Least share of requests that must be served after kRecovery.
  static constexpr double kMinRecoveredShare = 0.25;

  explicit InvariantChecker(Instant aStart);

  void ReportViolation(const std::string& aInvariant, const std::string& aText);
  const std::vector<std::string>& Violations() const { return mViolations; }
  void SetNow(Instant aNow) { mNow = aNow; }
  Instant Now() const { return mNow; }

  /// Time bounds other than kDrainBound are suspended during a fault.
  void BeginFault() { ++mActiveFaults; }
  void EndFault();

  // Actions of the operator.
  void OnRouteAdded(const Address& aRoute, const std::string& aService);
  void OnRouteRemoved(const Address& aRoute);
  void OnEvacuated(const std::string& aDomain);
  void OnEvacuationEnded(const std::string& aDomain);

  // Events at backend servers.
  void OnStarted(IncarnationId aIncarnation, Duration aColdDuration);
  void OnEnded(IncarnationId aIncarnation);
  void OnDrainAcknowledged(IncarnationId aIncarnation);
  /// A SYN was received, whether or not it is accepted.
  void OnSynReceived(IncarnationId aIncarnation,
                     const std::string& aService,
                     const std::string& aDomain,
                     const flow::FlowTuple& aFlow);
  void OnFlowEstablished(IncarnationId aIncarnation,
                         const flow::FlowTuple& aFlow,
                         uint32_t aSequence);
  void OnFlowClosed(IncarnationId aIncarnation, const flow::FlowTuple& aFlow);
  void OnExecuted(IncarnationId aIncarnation, const RequestAttempt& aRequest);

  // Events at callers.
  void OnSynSent(const flow::FlowTuple& aFlow) { mSynSentAt[aFlow] = mNow; }
  void OnLoadBalancerReset(const flow::FlowTuple& aFlow);
  /// A request to a configured route was served or has finally failed.
  void OnOutcome(bool aServed);

  /// Checks the share of requests served after the recovery; called at the end.
  void CheckRecovered(Instant aFaultsEnded);
  double ServedShare(Instant aFrom, Instant aTo) const;

private:
  struct Route
  {
    std::set<std::string> mServices;
    std::optional<Instant> mRemovedAt;
  };

  struct Incarnation
  {
    bool mAlive = true;
    std::optional<Instant> mDrainedAt;
    Instant mColdUntil;
    std::deque<Instant> mColdSyns;
  };

  struct OpenFlow
  {
    IncarnationId mIncarnation;
    uint32_t mSequence = 0;
  };

  struct Outcome
  {
    Instant mTime;
    bool mServed = false;
  };

  /// True when aSince is longer ago than aBound and the time bounds apply (see
  /// kStableAfter).
  bool Overdue(Instant aSince, Duration aBound) const;

  Instant mStart;
  Instant mNow;
  int mActiveFaults = 0;
  Instant mLastFaultEnd;
  std::vector<std::string> mViolations;
  std::map<Address, Route> mRoutes;
  std::map<std::string, Instant> mEvacuated;
  std::map<IncarnationId, Incarnation> mIncarnations;
  std::map<flow::FlowTuple, OpenFlow> mOpenFlows;
  std::map<flow::FlowTuple, Instant> mSynSentAt;
  std::map<uint64_t, IncarnationId> mExecutedAttempts;
  std::map<uint64_t, uint64_t> mExecutedRequests;
  std::vector<Outcome> mOutcomes;
};

} // namespace snipepost::soak
