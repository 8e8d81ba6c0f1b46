#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <queue>
#include <utility>
#include <vector>

#include <snipepost/Base/Random.h>
#include <snipepost/Flow/OverloadThrottle.h>

using namespace snipepost;
using namespace snipepost::flow;
using namespace std::chrono_literals;

namespace {

constexpr uint32_t kPriority = 1;
constexpr double kCapacityPerMs = 1.5;
constexpr size_t kEntries = 20;
constexpr CallerIp kCallerIp{ 0x64400007 };

struct Tally
{
  size_t mThrottled = 0;
  size_t mAccepted = 0;
  size_t mRefused = 0;
  /// Accepted flows by caller.
  std::vector<size_t> mAcceptedOf;
};

/// Entry instances that offer flows to a capacity that they share. One reply in
/// 20 is lost, and one in 20 arrives 100 ms late. The flows come from aCallers
/// callers, of which the first one has aFirstRate times the rate of each other,
/// and each through a random instance.
class ThrottleModel
{
public:
  explicit ThrottleModel(uint64_t aSeed,
                         size_t aCallers = 200,
                         size_t aFirstRate = 1,
                         size_t aEntries = kEntries)
    : mRandom(aSeed)
    , mCallers(aCallers)
    , mFirstRate(aFirstRate)
  {
    for (size_t entry = 0; entry < aEntries; ++entry) {
      mThrottles.emplace_back(aSeed * aEntries + entry);
    }
  }

  /// Runs for aTime with aLoad times the capacity.
  Tally Run(Duration aTime, double aLoad)
  {
    Tally tally;
    tally.mAcceptedOf.resize(mCallers);
    for (const Instant end = mNow + aTime; mNow < end; mNow += 1ms) {
      mFree = std::min(mFree + kCapacityPerMs, 30.0);
      DeliverReplies();
      for (double flows = aLoad * kCapacityPerMs; flows > 0.0; flows -= 1.0) {
        if (mRandom.Chance(std::min(flows, 1.0))) {
          AddFlow(mRandom.Below(mThrottles.size()), tally);
        }
      }
    }
    return tally;
  }

private:
  struct Reply
  {
    Instant mAt;
    size_t mEntry = 0;
    bool mAccepted = false;

    bool operator<(const Reply& aOther) const { return mAt > aOther.mAt; }
  };

  void AddFlow(size_t aEntry, Tally& aTally)
  {
    OverloadThrottle& throttle = mThrottles.at(aEntry);
    const uint64_t point = mRandom.Below(mCallers - 1 + mFirstRate);
    const auto caller =
      static_cast<uint32_t>(point < mFirstRate ? 0 : point - mFirstRate + 1);
    if (throttle.Refuses(
          kPriority, CallerIp(caller), mRandom.Fraction(), mNow)) {
      throttle.OnThrottled(kPriority, mNow);
      ++aTally.mThrottled;
      return;
    }
    const bool accepted = mFree >= 1.0;
    mFree -= accepted ? 1.0 : 0.0;
    ++(accepted ? aTally.mAccepted : aTally.mRefused);
    aTally.mAcceptedOf[caller] += accepted;
    if (!mRandom.Chance(.05)) {
      const auto late = mRandom.Chance(.05) ? 100ms : 0ms;
      const auto delay = std::chrono::milliseconds(1 + mRandom.Below(9));
      mReplies.push({ mNow + delay + late, aEntry, accepted });
    }
  }

  void DeliverReplies()
  {
    for (; !mReplies.empty() && mReplies.top().mAt <= mNow; mReplies.pop()) {
      const Reply& reply = mReplies.top();
      mThrottles.at(reply.mEntry).OnDecided(kPriority, mNow);
      if (reply.mAccepted) {
        mThrottles.at(reply.mEntry).OnAccepted(kPriority, mNow);
      }
    }
  }

  Random mRandom;
  Instant mNow{ 10s };
  double mFree = 30.0;
  size_t mCallers;
  size_t mFirstRate;
  std::vector<OverloadThrottle> mThrottles;
  std::priority_queue<Reply> mReplies;
};

} // namespace

BOOST_AUTO_TEST_SUITE(OverloadThrottleTest)

// Guards against offers that cost agents and entry instances more than the
// flows that are served, and against a throttle that leaves capacity unused
// because the entry instances open and close it together.
BOOST_AUTO_TEST_CASE(OverloadIsThrottledWithoutOscillation)
{
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    ThrottleModel model(seed);
    model.Run(1s, 3.0);
    size_t least = SIZE_MAX;
    size_t most = 0;
    Tally total;
    for (int i = 0; i < 50; ++i) {
      const Tally tally = model.Run(100ms, 3.0);
      least = std::min(least, tally.mAccepted);
      most = std::max(most, tally.mAccepted);
      total.mAccepted += tally.mAccepted;
      total.mRefused += tally.mRefused;
    }
    BOOST_TEST(total.mRefused < total.mAccepted * 1.2);
    const double mean = static_cast<double>(total.mAccepted) / 50;
    BOOST_TEST(least > mean * .9);
    BOOST_TEST(most < mean * 1.1);
    BOOST_TEST(mean > .95 * 100 * kCapacityPerMs);
  }
}

// Guards against throttled flows that are not counted as requests: offers would
// then grow with the load.
BOOST_AUTO_TEST_CASE(OffersDoNotGrowWithTheLoad)
{
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    ThrottleModel model(seed);
    model.Run(1s, 8.0);
    const Tally tally = model.Run(5s, 8.0);
    BOOST_TEST(tally.mRefused < tally.mAccepted * 1.2);
  }
}

// Guards against flows that are refused although there is capacity, from the
// first flow on and from a second after an overload on.
BOOST_AUTO_TEST_CASE(NothingIsThrottledBelowTheCapacity)
{
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    ThrottleModel model(seed);
    BOOST_TEST(model.Run(5s, .9).mThrottled == 0U);
    BOOST_TEST(model.Run(5s, 3.0).mThrottled > 1000U);
    model.Run(1s, .8);
    BOOST_TEST(model.Run(5s, .8).mThrottled == 0U);
  }
}

// Guards against an instance that refuses flows because of what it knew before
// it was frozen or partitioned. In a partition its own refusals go on.
BOOST_AUTO_TEST_CASE(CountsWithoutAnAgentsDecisionForASecondHaveNoEffect)
{
  OverloadThrottle throttle(1);
  Instant now{ 10s };
  for (int i = 0; i < 100; ++i) {
    throttle.OnDecided(kPriority, now);
  }
  BOOST_TEST(throttle.Refuses(kPriority, kCallerIp, .5, now));
  for (int i = 0; i < 1001; ++i) {
    now += 1ms;
    throttle.OnThrottled(kPriority, now);
  }
  BOOST_TEST(!throttle.Refuses(kPriority, kCallerIp, 0.0, now));
}

// Guards against urgent flows that are refused while agents still accept less
// urgent ones.
BOOST_AUTO_TEST_CASE(MoreUrgentThanAnAcceptedPriorityIsNotThrottled)
{
  OverloadThrottle throttle(1);
  const Instant now{ 10s };
  for (int i = 0; i < 100; ++i) {
    throttle.OnDecided(1, now);
    throttle.OnDecided(2, now);
  }
  BOOST_TEST(throttle.Refuses(1, kCallerIp, .5, now));
  throttle.OnAccepted(2, now);
  BOOST_TEST(!throttle.Refuses(1, kCallerIp, 0.0, now));
  BOOST_TEST(throttle.Refuses(2, kCallerIp, .5, now));
}

// Guards against callers that are refused because of one that sends ten times
// as much, and against a heavy caller that gets less than the others. Every
// caller's demand is above its share.
BOOST_AUTO_TEST_CASE(OneCallerAtTenTimesTheRateLeavesTheOthersTheirShares)
{
  constexpr size_t kCallers = 31;
  // Without an effect of CallerShares the others get 78 % of their shares.
  using Scale = std::pair<size_t, double>;
  for (const auto& [entries, load] :
       { Scale{ 20, 4.0 }, { 20, 6.0 }, { 100, 6.0 } }) {
    for (uint64_t seed = 1; seed <= 3; ++seed) {
      ThrottleModel model(seed, kCallers, 10, entries);
      model.Run(2s, load);
      const Tally tally = model.Run(20s, load);
      const auto heavy = static_cast<double>(tally.mAcceptedOf[0]);
      const auto accepted = static_cast<double>(tally.mAccepted);
      const double share = accepted / kCallers;
      const double others = (accepted - heavy) / (kCallers - 1);
      BOOST_TEST_MESSAGE(entries << " instances, load " << load << ": others "
                                 << others / share << " of their shares, heavy "
                                 << heavy / share);
      BOOST_TEST(others > .9 * share);
      BOOST_TEST(heavy >= share);
      // The total is the throttle's: offers do not grow.
      BOOST_TEST(static_cast<double>(tally.mRefused) < accepted * 1.35);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
