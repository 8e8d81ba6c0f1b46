#include <boost/test/unit_test.hpp>

#include <array>
#include <random>

#include <snipepost/Flow/FlowQueue.h>

#include "Samples.h"

using namespace snipepost;
using namespace snipepost::flow;
using namespace std::chrono_literals;

namespace {

using Ids = std::vector<uint32_t>;

constexpr Instant kStart{ 100s };

FlowTuple
Tuple(uint32_t aId)
{
  return { { aId, 40001 }, kService };
}

/// A flow whose first SYN was sent 1.3 s before it expires, with a target
/// latency of aTarget and a service time of 30 ms.
WaitingFlow
Flow(uint32_t aId,
     uint32_t aPriority,
     Duration aTarget,
     bool aIdempotent = true,
     Instant aFirstSyn = kStart)
{
  WaitingFlow flow;
  flow.mFlow = Tuple(aId);
  flow.mPriority = aPriority;
  flow.mIdempotent = aIdempotent;
  flow.mDeadline = aFirstSyn + aTarget;
  flow.mExpires = aFirstSyn + 1300ms;
  flow.mSlotTime = 30ms;
  flow.mTimeToResponse = 30ms;
  return flow;
}

uint32_t
Id(const WaitingFlow& aFlow)
{
  return aFlow.mFlow.mCaller.mIp;
}

struct Fixture
{
  /// Adds a flow; returns the evicted one, or 0.
  uint32_t Push(WaitingFlow aFlow)
  {
    const auto evicted = mQueue.Push(std::move(aFlow), mNow);
    return evicted ? Id(*evicted) : 0;
  }
  Ids PopAll()
  {
    Ids ids;
    while (const auto flow = mQueue.Pop(mNow)) {
      ids.push_back(Id(*flow));
    }
    return ids;
  }
  Ids Refused()
  {
    Ids ids;
    for (const WaitingFlow& flow : mQueue.TakeRefused(mNow)) {
      ids.push_back(Id(flow));
    }
    return ids;
  }

  Instant mNow = kStart;
  FlowQueue mQueue;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FlowQueueTest, Fixture)

// Guards against urgent flows that wait behind others, and against flows that
// miss their deadline behind one that has more time.
BOOST_AUTO_TEST_CASE(UrgentPriorityAndEarliestDeadlineGoFirst)
{
  Push(Flow(1, 2, 100ms));
  Push(Flow(2, 1, 300ms));
  Push(Flow(3, 1, 200ms));
  Push(Flow(4, 1, 200ms));
  BOOST_TEST(PopAll() == Ids({ 3, 4, 2, 1 }), boost::test_tools::per_element());
}

// Guards against slots that are spent on late flows while others still can be
// in time. A response exactly at the deadline is in time.
BOOST_AUTO_TEST_CASE(LateFlowsGoLast)
{
  Push(Flow(1, 1, 29ms));
  Push(Flow(2, 1, 29ms, false));
  Push(Flow(3, 2, 29ms, false));
  Push(Flow(4, 2, 30ms));
  BOOST_TEST(PopAll() == Ids({ 4, 2, 3, 1 }), boost::test_tools::per_element());
}

// Guards against starvation of the less urgent priorities, and against turns
// that are counted while only one priority waits.
BOOST_AUTO_TEST_CASE(EveryEighthFlowIsOfTheLeastUrgentPriority)
{
  for (uint32_t id = 1; id <= 25; ++id) {
    Push(Flow(id, 1, 500ms));
  }
  for (uint32_t i = 0; i < 5; ++i) {
    mQueue.Pop(mNow);
  }
  Push(Flow(101, 2, 500ms));
  Push(Flow(102, 3, 500ms));
  Push(Flow(103, 3, 500ms));
  const Ids ids = PopAll();
  BOOST_TEST_REQUIRE(ids.size() == 23U);
  BOOST_TEST(ids[7] == 102U);
  BOOST_TEST(ids[15] == 103U);
  BOOST_TEST(ids[22] == 101U);
}

// Guards against a guaranteed turn that is spent on a response of no use, and
// against requests that are not idempotent being starved once they are late.
BOOST_AUTO_TEST_CASE(GuaranteedTurnSkipsLateIdempotentFlows)
{
  for (uint32_t id = 1; id <= 10; ++id) {
    Push(Flow(id, 1, 500ms));
  }
  Push(Flow(101, 2, 10ms));
  for (uint32_t id = 1; id <= 8; ++id) {
    BOOST_TEST(Id(*mQueue.Pop(mNow)) == id);
  }
  Push(Flow(102, 2, 20ms, false));
  BOOST_TEST(PopAll() == Ids({ 102, 9, 10, 101 }),
             boost::test_tools::per_element());
}

// Guards against an urgent flow being evicted for a less urgent one, and
// against a less urgent priority that is evicted before its guaranteed turn.
BOOST_AUTO_TEST_CASE(FullQueueEvictsTheFlowThatWouldLeaveLast)
{
  for (uint32_t id = 1; id <= FlowQueue::kCapacity; ++id) {
    BOOST_TEST(Push(Flow(id, 2, 400ms + id * 1ms)) == 0U);
  }
  BOOST_TEST(Push(Flow(101, 2, 600ms)) == 101U);
  BOOST_TEST(Push(Flow(102, 1, 600ms)) == 64U);
  for (uint32_t id = 103; id <= 157; ++id) {
    BOOST_TEST(Push(Flow(id, 1, 600ms)) == 166U - id);
  }
  // 56 urgent flows wait, and 8 others that leave at every eighth turn.
  BOOST_TEST(Push(Flow(158, 1, 650ms)) == 158U);
  BOOST_TEST(mQueue.Size() == FlowQueue::kCapacity);
}

// Guards against a request that is not idempotent being lost although a late
// idempotent flow or an expired one could have made room.
BOOST_AUTO_TEST_CASE(FullQueueEvictsUselessFlowsFirst)
{
  Push(Flow(1, 1, 10ms));
  Push(Flow(2, 1, 500ms, false, kStart - 1300ms));
  for (uint32_t id = 3; id <= FlowQueue::kCapacity; ++id) {
    Push(Flow(id, 2, 20ms, false));
  }
  BOOST_TEST(Push(Flow(101, 2, 20ms, false)) == 2U);
  BOOST_TEST(Push(Flow(102, 2, 20ms, false)) == 1U);
}

// Guards against callers that are kept waiting for a late response, and against
// refusals while the server has nothing better to do.
BOOST_AUTO_TEST_CASE(LateIdempotentFlowsGiveWay)
{
  Push(Flow(1, 1, 40ms));
  Push(Flow(2, 1, 40ms, false));
  BOOST_TEST(Refused().empty());
  mNow += 11ms;
  BOOST_TEST(Refused().empty());
  Push(Flow(3, 2, 500ms));
  BOOST_TEST(Refused() == Ids({ 1 }), boost::test_tools::per_element());
  BOOST_TEST(mQueue.Size() == 2U);
  for (uint32_t id = 4; mQueue.Size() < FlowQueue::kCapacity; ++id) {
    Push(Flow(id, 1, 40ms, id > 4));
  }
  mQueue.Remove(Tuple(3));
  BOOST_TEST(Refused().empty());
  Push(Flow(101, 1, 40ms));
  BOOST_TEST(Refused().size() == 62U);
}

// Guards against a slot being given to a caller that has abandoned its attempt.
BOOST_AUTO_TEST_CASE(ExpiredFlowsAreRefusedAndNotServed)
{
  Push(Flow(1, 1, 300ms, false));
  Push(Flow(2, 1, 2s, true, kStart - 200ms));
  BOOST_TEST((mQueue.NextExpiry() == kStart + 1100ms));
  mNow += 1100ms;
  BOOST_TEST((mQueue.WaitAhead({ 1, mNow + 2s, 30ms }, 1, mNow) == 0ms));
  BOOST_TEST(Id(*mQueue.Pop(mNow)) == 1U);
  BOOST_TEST(!mQueue.Pop(mNow));
  BOOST_TEST(Refused() == Ids({ 2 }), boost::test_tools::per_element());
  BOOST_TEST(!mQueue.NextExpiry());
}

// Guards against a wait that counts flows behind the position, which would
// refuse urgent flows, or that leaves out the slots.
BOOST_AUTO_TEST_CASE(WaitIsTheServiceTimeOfTheFlowsAhead)
{
  Push(Flow(1, 1, 300ms));
  Push(Flow(2, 1, 400ms));
  Push(Flow(3, 2, 100ms));
  Push(Flow(4, 1, 10ms, false));
  const auto wait = [&](uint32_t aPriority, Duration aTarget, uint32_t aSlots) {
    return mQueue.WaitAhead(
      { aPriority, kStart + aTarget, 30ms }, aSlots, mNow);
  };
  BOOST_TEST((wait(0, 900ms, 2) == 0ms));
  BOOST_TEST((wait(1, 299ms, 2) == 0ms));
  BOOST_TEST((wait(1, 300ms, 2) == 15ms));
  BOOST_TEST((wait(2, 500ms, 2) == 45ms));
  BOOST_TEST((wait(2, 20ms, 1) == 120ms));
  BOOST_TEST((wait(1, 400ms, 0) == 60ms));
}

// Guards against a second entry for a retransmitted SYN, and against a removed
// flow that is forwarded.
BOOST_AUTO_TEST_CASE(FlowsAreFoundAndRemovedByTuple)
{
  Push(Flow(1, 1, 300ms));
  Push(Flow(2, 1, 400ms));
  Push(Flow(3, 1, 200ms));
  BOOST_TEST(Id(*mQueue.Find(Tuple(2))) == 2U);
  BOOST_TEST(mQueue.Remove(Tuple(2)));
  BOOST_TEST(!mQueue.Remove(Tuple(2)));
  BOOST_TEST(mQueue.Find(Tuple(2)) == nullptr);
  BOOST_TEST(mQueue.TakeAll().size() == 2U);
  BOOST_TEST(mQueue.Size() == 0U);
}

// Guards against the urgent priority suffering in an overload that the other
// one causes, and against slots spent on late responses. The load is 2.5 times
// the capacity of 2 slots of 30 ms: .7 of it urgent and not idempotent, the
// rest idempotent. The target latency is 300 ms.
BOOST_AUTO_TEST_CASE(OverloadLeavesTheUrgentPriorityInTime)
{
  struct Count
  {
    uint32_t mArrived = 0;
    uint32_t mServed = 0;
    uint32_t mInTime = 0;
  };
  constexpr std::array kArrivalsPerSecond{ 46.7, 120.0 };
  constexpr double kMsPerSecond = 1000.0;
  std::array<Count, 2> counts;
  std::array<Instant, 2> slotFreeAt{ kStart, kStart };
  std::mt19937 random(1); // A fixed seed, so that each run has the same load.
  for (uint32_t id = 1; mNow < kStart + 20s; mNow += 1ms) {
    for (uint32_t priority = 0; priority < counts.size(); ++priority) {
      const double draw = static_cast<double>(random()) / std::mt19937::max();
      if (draw < kArrivalsPerSecond.at(priority) / kMsPerSecond) {
        ++counts.at(priority).mArrived;
        Push(Flow(id++, priority, 300ms, priority == 1, mNow));
      }
    }
    Refused();
    for (Instant& freeAt : slotFreeAt) {
      const auto flow = freeAt <= mNow ? mQueue.Pop(mNow) : std::nullopt;
      if (flow) {
        freeAt = mNow + 30ms;
        ++counts.at(flow->mPriority).mServed;
        counts.at(flow->mPriority).mInTime += freeAt <= flow->mDeadline;
      }
    }
  }
  const auto& [urgent, other] = counts;
  const uint32_t served = urgent.mServed + other.mServed;
  BOOST_TEST_MESSAGE("urgent " << urgent.mInTime << " in time of "
                               << urgent.mArrived << ", other " << other.mInTime
                               << " of " << other.mServed << " served, "
                               << other.mArrived << " arrived; served "
                               << served);
  BOOST_TEST(urgent.mInTime >= .98 * urgent.mArrived);
  BOOST_TEST(served - urgent.mInTime - other.mInTime < .05 * served);
  BOOST_TEST(other.mServed >= .1 * served);
}

BOOST_AUTO_TEST_SUITE_END()
