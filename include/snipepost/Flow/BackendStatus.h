#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include <snipepost/Base/Types.h>
#include <snipepost/Cluster/BackendRecord.h>

namespace snipepost::flow {

/// What a backend server says of itself, decoded by the platform adapter.
struct Heartbeat
{
  std::string mId;
  std::string mService;
  cluster::BackendState mState = cluster::BackendState::Ready;
  uint32_t mSlots = 1;
  /// How much longer the backend server stays cold.
  Duration mColdFor{};
  uint64_t mSequence = 0;
  /// Start of the backend server, in milliseconds since the Unix epoch; 0 when
  /// it does not say.
  uint64_t mBorn = 0;
};

/// What became of a heartbeat.
enum class HeartbeatOutcome
{
  /// The same as before.
  Unchanged,
  /// Another state, or the first heartbeat.
  Changed,
  /// A new incarnation of the backend server: its flows are gone.
  Restarted,
  /// Sent by an earlier incarnation, or overtaken by a later one.
  Outdated,
  OtherService,
};

std::string_view
ToString(HeartbeatOutcome aOutcome);

/// An agent's knowledge of the backend server beside it. Pure.
class BackendStatus
{
public:
  explicit BackendStatus(std::string aService);

  HeartbeatOutcome OnHeartbeat(const Heartbeat& aHeartbeat, Instant aNow);
  /// The backend server says that it has left. False when aId is not the
  /// current incarnation.
  bool OnDeregister(const std::string& aId);

  /// False until a first heartbeat.
  bool Known() const { return mCurrent.has_value(); }
  bool Left() const { return mLeft; }
  bool Draining() const;
  bool Cold(Instant aNow) const { return aNow < mColdUntil; }
  uint32_t Slots() const { return mCurrent ? mCurrent->mSlots : 1; }
  uint64_t Born() const { return mCurrent ? mCurrent->mBorn : 0; }
  const std::string& Id() const;

  /// Flows that a cold backend server may still take in the second that ends
  /// at aNow, when it bears aPerSecond.
  uint32_t ColdBudget(double aPerSecond, Instant aNow);
  /// Counts a flow that was taken.
  void OnTaken(Instant aNow);

private:
  bool IsOutdated(const Heartbeat& aHeartbeat) const;

  std::string mService;
  std::optional<Heartbeat> mCurrent;
  /// Ids of earlier incarnations; heartbeats of theirs may still arrive.
  std::deque<std::string> mEarlierIds;
  bool mLeft = false;
  Instant mColdUntil;
  /// Times of the flows taken within the last second.
  std::deque<Instant> mTaken;
};

} // namespace snipepost::flow
