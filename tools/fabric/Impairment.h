#pragma once

#include <chrono>

#include <snipepost/Base/Random.h>
#include <snipepost/Base/Types.h>

namespace snipepost::tools {

/// Packet impairments of a link; probabilities are from 0 to 1.
struct Impairment
{
  double mLoss = 0.0;
  double mDuplicate = 0.0;
  double mReorder = 0.0; ///< Probability of an additional kReorderDelay.
  Duration mDelay{};
  Duration mJitter{}; ///< Maximum of a uniformly distributed extra delay.

  /// Long enough for several later datagrams to overtake the delayed one.
  static constexpr Duration kReorderDelay = std::chrono::milliseconds(10);

  /// Calls aSend with the delay of each copy that is not lost.
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
      delay += kReorderDelay;
    }
    return delay;
  }
};

} // namespace snipepost::tools
