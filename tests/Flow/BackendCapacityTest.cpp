#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <random>
#include <set>

#include <snipepost/Flow/BackendCapacity.h>

using namespace snipepost;
using namespace snipepost::flow;
using namespace std::chrono_literals;

namespace {

constexpr Instant kStart = Instant(1h);

Address
Route(uint16_t aNumber)
{
  return { 0xc6120001, aNumber };
}

void
Serve(BackendCapacity& aCapacity, uint16_t aRoute, Duration aTime, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    aCapacity.OnServed(Route(aRoute), aTime);
  }
}

constexpr uint32_t kSlots = 2;
constexpr uint32_t kServerLimit = 8;

/// An agent that forwards up to slots + QueueLimit flows to a server that
/// queues kServerLimit requests. Packets take 0.3 ms to the server, so that
/// the agent's load is not exactly the server's. Requests take 20 to 40 ms.
struct ReplayedLoad
{
  uint32_t Load() const { return mFinished.size() + mArrivals.size(); }
  void Step(Instant aNow);

  std::mt19937_64 mRandom;
  BackendCapacity mCapacity;
  std::deque<Instant> mArrivals;
  std::multiset<Instant> mFinished;
  Instant mSlotFree[kSlots];
  uint32_t mForwarded = 0;
  uint32_t mReturned = 0;
};

void
ReplayedLoad::Step(Instant aNow)
{
  mFinished.erase(mFinished.begin(), mFinished.upper_bound(aNow));
  while (!mArrivals.empty() && mArrivals.front() <= aNow) {
    mArrivals.pop_front();
    if (mFinished.size() >= kSlots + kServerLimit) {
      ++mReturned;
      mCapacity.OnSynReturned(Load(), kSlots, aNow);
      continue;
    }
    Instant& slot = *std::ranges::min_element(mSlotFree);
    slot = std::max(slot, aNow) + 20ms + 1us * (mRandom() % 20000);
    mFinished.insert(slot);
  }
  // 200 flows a second, three times what the server can serve.
  if (mRandom() % 50 == 0 && Load() < kSlots + mCapacity.QueueLimit(aNow)) {
    ++mForwarded;
    mArrivals.push_back(aNow + 300us);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(BackendCapacityTest)

// Guards against a wrong assumed service time, or the mean of other routes,
// that stays in the estimate of a route for tens of responses.
BOOST_AUTO_TEST_CASE(FirstSamplesReplaceTheInitialValue)
{
  BackendCapacity capacity;
  BOOST_TEST((capacity.ServiceTime(Route(1)) == 25ms));
  capacity.OnServed(Route(1), 2ms);
  capacity.OnServed(Route(1), 4ms);
  BOOST_TEST((capacity.ServiceTime(Route(1)) == 3ms));
  BOOST_TEST((capacity.ServiceTime(Route(2)) == 3ms));
  capacity.OnServed(Route(2), 300ms);
  BOOST_TEST((capacity.ServiceTime(Route(1)) == 3ms));
  BOOST_TEST((capacity.ServiceTime(Route(2)) == 300ms));
  BOOST_TEST((capacity.MeanServiceTime() == 102ms));
}

// Guards against a weight that keeps decreasing: the estimate would no longer
// follow a server that becomes slower.
BOOST_AUTO_TEST_CASE(LaterSamplesHaveAConstantWeight)
{
  BackendCapacity capacity;
  Serve(capacity, 1, 16ms, 1000);
  capacity.OnServed(Route(1), 32ms);
  BOOST_TEST((capacity.ServiceTime(Route(1)) == 17ms));
}

// Guards against refusals for many requests after a single stalled one.
BOOST_AUTO_TEST_CASE(OutlierIsLimited)
{
  BackendCapacity capacity;
  Serve(capacity, 1, 10ms, 4);
  capacity.OnServed(Route(1), 5s);
  BOOST_TEST((capacity.ServiceTime(Route(1)) == 24ms));
  BOOST_TEST((capacity.MeanServiceTime() == 24ms));
}

// Guards against an estimate that can't rise again, because the limit of
// outliers is relative to it.
BOOST_AUTO_TEST_CASE(EstimateRisesFromZero)
{
  BackendCapacity capacity;
  Serve(capacity, 1, 0ms, 20);
  Serve(capacity, 1, 10ms, 100);
  BOOST_TEST((capacity.ServiceTime(Route(1)) > 9ms));
}

// Guards against a mean of all that takes each request of a slow route for an
// outlier and is too low. The true mean is 20.8 ms.
BOOST_AUTO_TEST_CASE(SlowRouteIsNoOutlierInTheMean)
{
  BackendCapacity capacity;
  Duration sum{};
  for (int i = 0; i < 1000; ++i) {
    Serve(capacity, 1, 1ms, 9);
    sum += capacity.MeanServiceTime();
    capacity.OnServed(Route(2), 199ms);
    sum += capacity.MeanServiceTime();
  }
  BOOST_TEST((sum / 2000 > 18ms));
}

// Guards against unbounded state, against routes in use that replace each
// other's estimates, and against estimates of removed routes that stay.
BOOST_AUTO_TEST_CASE(OnlyUnusedRoutesAreReplaced)
{
  BackendCapacity capacity;
  constexpr uint16_t kExtra = BackendCapacity::kMaxRoutes + 1;
  const auto serveFrom = [&](uint16_t aFirst, int aRounds) {
    for (; aRounds > 0; --aRounds) {
      for (uint16_t route = aFirst; route <= kExtra; ++route) {
        Serve(capacity, route, route * 1ms, 1);
      }
    }
  };
  serveFrom(1, 100);
  BOOST_TEST((capacity.ServiceTime(Route(1)) == 1ms));
  BOOST_TEST((capacity.ServiceTime(Route(32)) == 32ms));
  BOOST_TEST(
    (capacity.ServiceTime(Route(kExtra)) == capacity.MeanServiceTime()));
  // Route 1 is removed; the others stay in use.
  serveFrom(2, 20);
  BOOST_TEST((capacity.ServiceTime(Route(kExtra)) == 33ms));
  BOOST_TEST((capacity.ServiceTime(Route(1)) == capacity.MeanServiceTime()));
}

// Guards against an agent that overfills the server's queue, or never uses a
// queue again that was short once.
BOOST_AUTO_TEST_CASE(QueueLimitFollowsReturnedSyns)
{
  BackendCapacity capacity;
  BOOST_TEST(capacity.QueueLimit(kStart) == 16U);
  capacity.OnSynReturned(2 + 5, 2, kStart);
  BOOST_TEST(capacity.QueueLimit(kStart) == 5U);
  BOOST_TEST(capacity.QueueLimit(kStart + 4999ms) == 5U);
  BOOST_TEST(capacity.QueueLimit(kStart + 10s) == 7U);
  // A SYN beyond the limit doesn't raise it and restarts the interval.
  capacity.OnSynReturned(2 + 9, 2, kStart + 14s);
  BOOST_TEST(capacity.QueueLimit(kStart + 18s) == 7U);
  BOOST_TEST(capacity.QueueLimit(kStart + 19s) == 8U);
  BOOST_TEST(capacity.QueueLimit(kStart + 1h) == 16U);
  capacity.OnSynReturned(2, 2, kStart + 1h);
  BOOST_TEST(capacity.QueueLimit(kStart + 1h) == 0U);
}

// Guards against a server that starts or has ended and would be taken for one
// without a queue.
BOOST_AUTO_TEST_CASE(SynReturnedWithAFreeSlotKeepsTheLimit)
{
  BackendCapacity capacity;
  capacity.OnSynReturned(1, 2, kStart);
  BOOST_TEST(capacity.QueueLimit(kStart) == 16U);
  capacity.OnSynReturned(2 + 3, 2, kStart);
  capacity.OnSynReturned(0, 2, kStart + 4s);
  BOOST_TEST(capacity.QueueLimit(kStart + 4s) == 3U);
  BOOST_TEST(capacity.QueueLimit(kStart + 5s) == 4U);
}

// Guards against slots that are idle while the next caller's data is in
// transit, and against flows that wait at the server without need.
BOOST_AUTO_TEST_CASE(LookAheadCoversTheOpeningTime)
{
  BackendCapacity capacity;
  BOOST_TEST(capacity.LookAhead(2, kStart) == 2U);
  Serve(capacity, 1, 30ms, 20);
  capacity.OnOpened(10ms);
  BOOST_TEST(capacity.LookAhead(2, kStart) == 3U);
  BOOST_TEST(capacity.LookAhead(6, kStart) == 4U);
  BOOST_TEST(capacity.LookAhead(7, kStart) == 5U);
  BOOST_TEST(capacity.LookAhead(UINT32_MAX, kStart) == 16U);
  capacity.OnSynReturned(2 + 1, 2, kStart);
  BOOST_TEST(capacity.LookAhead(7, kStart) == 1U);
  capacity.OnSynReturned(2, 2, kStart);
  BOOST_TEST(capacity.LookAhead(7, kStart) == 0U);
}

// Guards against a server that sheds load in a lasting overload, as with the
// fixed limit of 16, and against a limit so low that slots are idle.
BOOST_AUTO_TEST_CASE(ReplayedOverloadIsHardlyShed)
{
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    ReplayedLoad load;
    load.mRandom.seed(seed);
    Instant now = kStart;
    for (; now < kStart + 61s; now += 100us) {
      if (now == kStart + 1s) {
        load.mForwarded = load.mReturned = 0;
      }
      load.Step(now);
    }
    BOOST_TEST_CONTEXT("seed " << seed << ", " << load.mReturned << " of "
                               << load.mForwarded << " returned")
    {
      BOOST_TEST(load.mReturned < load.mForwarded * 0.005);
      // Two slots of 30 ms serve 4,000 requests in 60 s.
      BOOST_TEST(load.mForwarded > 3900U);
      BOOST_TEST(load.mCapacity.QueueLimit(now) >= kServerLimit - 1);
      BOOST_TEST(load.mCapacity.QueueLimit(now) <= kServerLimit + 1);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
