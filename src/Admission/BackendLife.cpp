#include <snipepost/Admission/BackendLife.h>

#include <algorithm>
#include <utility>

namespace snipepost {

namespace {

/// A late report comes from one of the last few lives.
constexpr size_t kRemembered = 4;

} // namespace

BackendLife::Change
BackendLife::Update(const BackendState& aState)
{
  const bool known = !aState.mBoot.empty();
  if (known && aState.mBoot != mBoot &&
      std::find(mEarlier.begin(), mEarlier.end(), aState.mBoot) !=
        mEarlier.end()) {
    return Change::Stale;
  }
  const bool reconnected = mReachable != aState.mReachable;
  const bool rebooted = known && !mBoot.empty() && aState.mBoot != mBoot;
  mReachable = aState.mReachable;
  if (rebooted) {
    mEarlier.push_back(std::exchange(mBoot, aState.mBoot));
    if (mEarlier.size() > kRemembered) {
      mEarlier.pop_front();
    }
    mHealth = BackendHealth::Ok;
  } else if (known) {
    mBoot = aState.mBoot;
  }
  mHealth = aState.mHealth.value_or(mHealth);
  if (rebooted) {
    return Change::Boot;
  }
  return reconnected ? Change::Connection : Change::None;
}

} // namespace snipepost
