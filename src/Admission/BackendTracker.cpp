#include <snipepost/Admission/BackendTracker.h>

#include <algorithm>

namespace snipepost {

namespace {

/// Number of previous incarnations whose reports are detected as stale. A stale
/// report comes from one of the last few incarnations.
constexpr size_t kMaxPreviousBoots = 4;

} // namespace

bool
BackendTracker::IsStale(const BackendState& aState)
{
  const std::string& boot = aState.mBoot;
  const bool isPrevious =
    boot != mBoot &&
    std::find(mPreviousBoots.begin(), mPreviousBoots.end(), boot) !=
      mPreviousBoots.end();
  if (!isPrevious || boot == mLastStaleBoot) {
    mLastStaleBoot.clear();
    return false;
  }
  mLastStaleBoot = boot;
  return true;
}

BackendTracker::UpdateResult
BackendTracker::Update(const BackendState& aState)
{
  const bool hasBoot = !aState.mBoot.empty();
  if (hasBoot && IsStale(aState)) {
    if (aState.mHealth == BackendHealth::Draining) {
      mHealth = BackendHealth::Draining;
    }
    return UpdateResult::StaleReport;
  }
  const bool connectionChanged = mReachable != aState.mReachable;
  const bool rebooted = hasBoot && !mBoot.empty() && aState.mBoot != mBoot;
  mReachable = aState.mReachable;
  mHealth = aState.mHealth.value_or(mHealth);
  if (rebooted) {
    mPreviousBoots.push_back(mBoot);
    if (mPreviousBoots.size() > kMaxPreviousBoots) {
      mPreviousBoots.pop_front();
    }
  }
  if (hasBoot) {
    mBoot = aState.mBoot;
  }
  if (rebooted) {
    return UpdateResult::Restarted;
  }
  return connectionChanged ? UpdateResult::ConnectionChanged
                           : UpdateResult::Unchanged;
}

} // namespace snipepost
