#include <snipepost/Admission/BackendLife.h>

#include <algorithm>

namespace snipepost {

namespace {

/// A late report comes from one of the last few lives.
constexpr size_t kRemembered = 4;

} // namespace

bool
BackendLife::IsLate(const BackendState& aState)
{
  const std::string& boot = aState.mBoot;
  const bool earlier =
    boot != mBoot &&
    std::find(mEarlier.begin(), mEarlier.end(), boot) != mEarlier.end();
  if (!earlier || boot == mDoubted) {
    mDoubted.clear();
    return false;
  }
  mDoubted = boot;
  return true;
}

BackendLife::Change
BackendLife::Update(const BackendState& aState)
{
  const bool known = !aState.mBoot.empty();
  if (known && IsLate(aState)) {
    if (aState.mHealth == BackendHealth::Draining) {
      mHealth = BackendHealth::Draining;
    }
    return Change::Stale;
  }
  const bool reconnected = mReachable != aState.mReachable;
  const bool rebooted = known && !mBoot.empty() && aState.mBoot != mBoot;
  mReachable = aState.mReachable;
  mHealth = aState.mHealth.value_or(mHealth);
  if (rebooted) {
    mEarlier.push_back(mBoot);
    if (mEarlier.size() > kRemembered) {
      mEarlier.pop_front();
    }
  }
  if (known) {
    mBoot = aState.mBoot;
  }
  if (rebooted) {
    return Change::Boot;
  }
  return reconnected ? Change::Connection : Change::None;
}

} // namespace snipepost
