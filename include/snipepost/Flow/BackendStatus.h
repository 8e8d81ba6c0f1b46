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
  /// From an earlier incarnation, or received after a newer heartbeat.
  Outdated,
  OtherService,
};

std::string_view
ToString(HeartbeatOutcome aOutcome);

/// State of an agent's backend server, as its heartbeats report it. Does no
/// I/O; the time is an argument.
class BackendStatus
{
public:
  explicit BackendStatus(std::string aService);

  HeartbeatOutcome OnHeartbeat(const Heartbeat& aHeartbeat, Instant aNow);
  /// Handles the backend server's deregistration. False when aId is not the
  /// current incarnation.
  bool OnDeregister(const std::string& aId);

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
  bool IsOutdated(const Heartbeat& aHeartbeat) const;

  std::string mService;
  std::optional<Heartbeat> mCurrent;
  /// IDs of earlier incarnations, whose heartbeats may still arrive.
  std::deque<std::string> mEarlierIds;
  bool mDeregistered = false;
  Instant mColdUntil;
  /// Times at which the flows of the last second were accepted.
  std::deque<Instant> mAcceptTimes;
};

} // namespace snipepost::flow
