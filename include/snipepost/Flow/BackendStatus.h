#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include <snipepost/Base/Types.h>
#include <snipepost/Cluster/BackendRecord.h>

namespace snipepost::flow {

/// A backend server's heartbeat, decoded by the platform adapter.
struct Heartbeat
{
  std::string mId;
  std::string mService;
  cluster::BackendState mState = cluster::BackendState::Ready;
  uint32_t mSlots = 1;
  /// Remaining time of the backend server's cold phase.
  Duration mColdRemaining{};
  uint64_t mSequence = 0;
  /// Start of the backend server, in milliseconds since the Unix epoch; 0 when
  /// not reported.
  uint64_t mStartTime = 0;
};

/// Effect of a heartbeat.
enum class HeartbeatOutcome
{
  Unchanged,
  /// The state or the slots changed, or it is the first heartbeat.
  Changed,
  /// A new incarnation of the backend server; the flows of the earlier one are
  /// lost.
  Restarted,
  /// From an earlier incarnation, or received after a newer heartbeat. It has
  /// no effect and must not be acknowledged.
  Outdated,
  OtherService,
};

std::string_view
ToString(HeartbeatOutcome aOutcome);

/// State of an agent's backend server, as its heartbeats report it. Heartbeats
/// of an incarnation that seems to be an earlier one are accepted once it has
/// been the only one to send any for kTakeOverTime: the time of day from which
/// incarnations take their start time may step back, and another program may
/// have sent a heartbeat. Does no I/O; the time is an argument.
class BackendStatus
{
public:
  /// Longer than the interval between two heartbeats. Late heartbeats of an
  /// incarnation that has ended arrive all at once.
  static constexpr Duration kTakeOverTime = std::chrono::seconds(2);

  explicit BackendStatus(std::string aService);

  HeartbeatOutcome OnHeartbeat(const Heartbeat& aHeartbeat, Instant aNow);
  /// Handles the backend server's deregistration. aStartTime is 0 when not
  /// reported. False when it does not come from the current incarnation.
  bool OnDeregister(const std::string& aId, uint64_t aStartTime = 0);

  /// False until the first heartbeat.
  bool HasHeartbeat() const { return mCurrent.has_value(); }
  bool Deregistered() const { return mDeregistered; }
  bool Draining() const;
  bool Cold(Instant aNow) const { return aNow < mColdUntil; }
  uint32_t Slots() const { return mCurrent ? mCurrent->mSlots : 1; }
  uint64_t StartTime() const { return mCurrent ? mCurrent->mStartTime : 0; }
  const std::string& Id() const;

  /// Flows that a cold backend server may still accept in the second that ends
  /// at aNow, with a limit of aPerSecond.
  uint32_t ColdBudget(double aPerSecond, Instant aNow);
  /// Counts an accepted flow.
  void OnFlowAccepted(Instant aNow);

private:
  /// Heartbeats of an incarnation that seems to be an earlier one, since the
  /// latest heartbeat of the current one.
  struct Contender
  {
    std::string mId;
    uint64_t mStartTime = 0;
    uint64_t mSequence = 0;
    Instant mSince;
  };

  bool IsOutdated(const Heartbeat& aHeartbeat) const;
  /// Handles an outdated heartbeat. True when its incarnation takes over.
  bool TakesOver(const Heartbeat& aHeartbeat, Instant aNow);
  /// True when an accepted heartbeat shows that the server has restarted.
  /// aTookOver: it had seemed outdated.
  bool IsRestart(const Heartbeat& aHeartbeat, bool aTookOver) const;
  void AddEarlierId(const std::string& aId);

  std::string mService;
  std::optional<Heartbeat> mCurrent;
  std::optional<Contender> mContender;
  /// IDs of earlier incarnations, whose heartbeats may still arrive.
  std::deque<std::string> mEarlierIds;
  bool mDeregistered = false;
  Instant mColdUntil;
  /// Times at which the flows of the last second were accepted.
  std::deque<Instant> mAcceptTimes;
};

} // namespace snipepost::flow
