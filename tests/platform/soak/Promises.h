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

/// Names one incarnation of a backend server.
using LifeId = StrongType<struct LifeIdTag, uint64_t>;

/// A request as its caller knows it. Attempts of one order share mOrder.
struct RequestId
{
  uint64_t mOrder = 0;
  uint64_t mAttempt = 0;
  bool mRepeatable = false;
};

/// Checks what the system promises while a soak runs, from what callers,
/// backend servers and the operator see. Bounds are those of the users' site
/// files.
class Promises
{
public:
  static constexpr Duration kDrainBound = std::chrono::seconds(3);
  static constexpr Duration kEvacuationBound = std::chrono::seconds(5);
  static constexpr Duration kConfigBound = std::chrono::seconds(3);
  /// Time without faults after which bounds hold again.
  static constexpr Duration kStableAfter = std::chrono::seconds(4);
  /// Flows that a cold backend server bears a second, and the allowance above.
  static constexpr double kColdPerSecond = 20.0;
  static constexpr size_t kColdLimit = 35;
  static constexpr Duration kRecovery = std::chrono::seconds(12);
  static constexpr double kRecoveredShare = 0.25;

  explicit Promises(Instant aStart);

  void Violate(const std::string& aPromise, const std::string& aText);
  const std::vector<std::string>& Violations() const { return mViolations; }
  void SetNow(Instant aNow) { mNow = aNow; }
  Instant Now() const { return mNow; }

  /// Faults that suspend the bounds in time, from begin to end.
  void BeginFault() { ++mFaults; }
  void EndFault();

  // What the operator did.
  void OnRoute(const Address& aRoute, const std::string& aService);
  void OnRouteRemoved(const Address& aRoute);
  void OnEvacuated(const std::string& aDomain);
  void OnTakenBack(const std::string& aDomain);

  // What backend servers see.
  void OnStarted(LifeId aLife, Duration aColdFor);
  void OnEnded(LifeId aLife);
  void OnDrainAcknowledged(LifeId aLife);
  /// An opening packet arrived, whether or not it is taken.
  void OnOpening(LifeId aLife,
                 const std::string& aService,
                 const std::string& aDomain,
                 const flow::FlowTuple& aFlow);
  void OnOpened(LifeId aLife, const flow::FlowTuple& aFlow, uint32_t aSequence);
  void OnClosed(LifeId aLife, const flow::FlowTuple& aFlow);
  void OnRun(LifeId aLife, const RequestId& aRequest);

  // What callers see.
  void OnAsked(const flow::FlowTuple& aFlow) { mSentAt[aFlow] = mNow; }
  void OnSystemReset(const flow::FlowTuple& aFlow);
  void OnOutcome(bool aServed);

  /// Checked at the end: the share served since the recovery.
  void CheckRecovered(Instant aFaultsEnded);
  double ServedShare(Instant aFrom, Instant aTo) const;

private:
  struct Route
  {
    std::set<std::string> mServices;
    std::optional<Instant> mRemoved;
  };

  struct Life
  {
    bool mAlive = true;
    std::optional<Instant> mDrained;
    Instant mColdUntil;
    std::deque<Instant> mColdOpenings;
  };

  struct OpenFlow
  {
    LifeId mLife;
    uint32_t mSequence = 0;
  };

  struct Outcome
  {
    Instant mAt;
    bool mServed = false;
  };

  /// True when aSince is older than aBound and nothing was disturbed.
  bool Overdue(Instant aSince, Duration aBound) const;

  Instant mStart;
  Instant mNow;
  int mFaults = 0;
  Instant mLastFault;
  std::vector<std::string> mViolations;
  std::map<Address, Route> mRoutes;
  std::map<std::string, Instant> mEvacuated;
  std::map<LifeId, Life> mLives;
  std::map<flow::FlowTuple, OpenFlow> mOpen;
  std::map<flow::FlowTuple, Instant> mSentAt;
  std::map<uint64_t, LifeId> mAttemptsRun;
  std::map<uint64_t, uint64_t> mOrdersRun;
  std::vector<Outcome> mOutcomes;
};

} // namespace snipepost::soak
