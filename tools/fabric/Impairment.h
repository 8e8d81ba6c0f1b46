#pragma once

#include <chrono>

#include <snipepost/Base/Random.h>
#include <snipepost/Base/Types.h>

namespace snipepost::tools {

/// What a link does to datagrams; shares are from 0 to 1.
struct Impairment
{
  double mLoss = 0.0;
  double mDuplicate = 0.0;
  double mReorder = 0.0; ///< Share that is held back for kHoldBack.
  Duration mDelay{};
  Duration mJitter{}; ///< Added to the delay, uniform from zero.

  /// Long enough that several later datagrams overtake the one held back.
  static constexpr Duration kHoldBack = std::chrono::milliseconds(10);

  /// Calls aSend with the delay of each copy that gets through.
  template<typename Send>
  void Apply(Random& aRandom, Send aSend) const
  {
    if (mLoss > 0 && aRandom.Chance(mLoss)) {
      return;
    }
    aSend(NextDelay(aRandom));
    if (mDuplicate > 0 && aRandom.Chance(mDuplicate)) {
      aSend(NextDelay(aRandom));
    }
  }

private:
  Duration NextDelay(Random& aRandom) const
  {
    Duration delay = mDelay;
    if (mJitter > Duration::zero()) {
      delay += Duration(static_cast<int64_t>(
        aRandom.Below(static_cast<uint64_t>(mJitter.count()) + 1)));
    }
    if (mReorder > 0 && aRandom.Chance(mReorder)) {
      delay += kHoldBack;
    }
    return delay;
  }
};

} // namespace snipepost::tools
