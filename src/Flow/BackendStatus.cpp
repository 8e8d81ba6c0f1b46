#include <snipepost/Flow/BackendStatus.h>

#include <algorithm>
#include <cmath>

namespace snipepost::flow {

namespace {

/// Number of earlier IDs to store. A late heartbeat is only some seconds old,
/// so few incarnations have started since.
constexpr size_t kMaxEarlierIds = 8;
/// The limit of a cold backend server applies to every interval of one second.
/// The window is somewhat longer, because delays may move packets of adjacent
/// seconds closer together.
constexpr Duration kColdWindow = std::chrono::milliseconds(1100);

} // namespace

std::string_view
ToString(HeartbeatOutcome aOutcome)
{
  switch (aOutcome) {
    case HeartbeatOutcome::Unchanged:
      return "unchanged";
    case HeartbeatOutcome::Changed:
      return "changed";
    case HeartbeatOutcome::Restarted:
      return "restarted";
    case HeartbeatOutcome::Outdated:
      return "outdated";
    case HeartbeatOutcome::OtherService:
      return "other-service";
  }
  return "invalid";
}

BackendStatus::BackendStatus(std::string aService)
  : mService(std::move(aService))
{
}

bool
BackendStatus::IsOutdated(const Heartbeat& aHeartbeat) const
{
  if (!mCurrent) {
    return false;
  }
  if (aHeartbeat.mStartTime != mCurrent->mStartTime) {
    // A server reports its start time always or never, so one without it is not
    // the current server.
    return aHeartbeat.mStartTime < mCurrent->mStartTime;
  }
  if (aHeartbeat.mId != mCurrent->mId) {
    return std::ranges::find(mEarlierIds, aHeartbeat.mId) != mEarlierIds.end();
  }
  return aHeartbeat.mSequence < mCurrent->mSequence || mDeregistered;
}

bool
BackendStatus::TakesOver(const Heartbeat& aHeartbeat, Instant aNow)
{
  // A server that has deregistered was acknowledged to be gone.
  const bool deregistered = mDeregistered && aHeartbeat.mId == mCurrent->mId &&
                            aHeartbeat.mStartTime == mCurrent->mStartTime;
  const bool same = mContender && mContender->mId == aHeartbeat.mId &&
                    mContender->mStartTime == aHeartbeat.mStartTime &&
                    mContender->mSequence < aHeartbeat.mSequence;
  if (deregistered || !same) {
    mContender = {
      aHeartbeat.mId, aHeartbeat.mStartTime, aHeartbeat.mSequence, aNow
    };
    return false;
  }
  mContender->mSequence = aHeartbeat.mSequence;
  return aNow - mContender->mSince >= kTakeOverTime;
}

bool
BackendStatus::IsRestart(const Heartbeat& aHeartbeat, bool aTookOver) const
{
  if (aHeartbeat.mStartTime != 0 && mCurrent->mStartTime == 0) {
    // The earlier heartbeats came from another program, and show no end of the
    // server.
    return false;
  }
  if (aHeartbeat.mId != mCurrent->mId ||
      aHeartbeat.mStartTime != mCurrent->mStartTime) {
    return true;
  }
  // Without a start time, only the sequence shows a restart.
  return aTookOver && aHeartbeat.mStartTime == 0;
}

void
BackendStatus::AddEarlierId(const std::string& aId)
{
  mEarlierIds.push_back(aId);
  if (mEarlierIds.size() > kMaxEarlierIds) {
    mEarlierIds.pop_front();
  }
}

HeartbeatOutcome
BackendStatus::OnHeartbeat(const Heartbeat& aHeartbeat, Instant aNow)
{
  if (aHeartbeat.mService != mService) {
    return HeartbeatOutcome::OtherService;
  }
  const bool outdated = IsOutdated(aHeartbeat);
  if (outdated && !TakesOver(aHeartbeat, aNow)) {
    return HeartbeatOutcome::Outdated;
  }
  mContender.reset();
  const bool first = !mCurrent;
  const bool restarted = !first && IsRestart(aHeartbeat, outdated);
  const bool changed = first || aHeartbeat.mState != mCurrent->mState ||
                       aHeartbeat.mSlots != mCurrent->mSlots;
  if (!first && aHeartbeat.mId != mCurrent->mId) {
    AddEarlierId(mCurrent->mId);
    std::erase(mEarlierIds, aHeartbeat.mId);
  }
  mCurrent = aHeartbeat;
  mColdUntil = aNow + aHeartbeat.mColdRemaining;
  if (restarted) {
    mDeregistered = false;
    return HeartbeatOutcome::Restarted;
  }
  return changed ? HeartbeatOutcome::Changed : HeartbeatOutcome::Unchanged;
}

bool
BackendStatus::OnDeregister(const std::string& aId, uint64_t aStartTime)
{
  const bool otherStart = mCurrent && aStartTime != 0 &&
                          mCurrent->mStartTime != 0 &&
                          aStartTime != mCurrent->mStartTime;
  if (otherStart || (mCurrent && mCurrent->mId != aId)) {
    return false;
  }
  mDeregistered = true;
  return true;
}

bool
BackendStatus::Draining() const
{
  return mDeregistered ||
         (mCurrent && mCurrent->mState == cluster::BackendState::Draining);
}

const std::string&
BackendStatus::Id() const
{
  static const std::string sNone;
  return mCurrent ? mCurrent->mId : sNone;
}

uint32_t
BackendStatus::ColdBudget(double aPerSecond, Instant aNow)
{
  while (!mAcceptTimes.empty() && aNow - mAcceptTimes.front() > kColdWindow) {
    mAcceptTimes.pop_front();
  }
  const auto limit = static_cast<size_t>(std::max(1.0, std::floor(aPerSecond)));
  return limit > mAcceptTimes.size()
           ? static_cast<uint32_t>(limit - mAcceptTimes.size())
           : 0;
}

void
BackendStatus::OnFlowAccepted(Instant aNow)
{
  mAcceptTimes.push_back(aNow);
  while (aNow - mAcceptTimes.front() > kColdWindow) {
    mAcceptTimes.pop_front();
  }
}

} // namespace snipepost::flow
