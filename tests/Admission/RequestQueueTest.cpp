#include <boost/test/unit_test.hpp>

#include <array>
#include <vector>

#include <snipepost/Admission/RequestQueue.h>

using namespace snipepost;
using namespace std::chrono_literals;

namespace {

constexpr Instant kStart{ 100s };

RequestQueue::Entry
Entry(uint64_t aId, RequestClass aClass, Duration aLeft)
{
  return { RequestId(aId), aClass, kStart + aLeft };
}

uint64_t
PopRequestId(RequestQueue& aQueue, bool aBulkAllowed = true)
{
  const auto entry = aQueue.Pop(aBulkAllowed);
  return entry ? entry->mRequest.Value() : 0;
}

/// Dequeues aCount entries while every class of aWaiting always has entries,
/// and returns the slot time of each class. Requests occupy their slots for the
/// mean times of the model in tools/bench.
std::array<Duration, 3>
SlotTimes(RequestQueue& aQueue,
          const std::vector<RequestClass>& aWaiting,
          size_t aCount,
          bool aBulkAllowed = true)
{
  constexpr std::array kTimes{ 20ms, 5ms, 40ms };
  for (size_t i = 0; i < kTimes.size(); ++i) {
    aQueue.RecordSlotTime(static_cast<RequestClass>(i), kTimes[i]);
  }
  std::array<Duration, 3> used{};
  uint64_t id = 1000;
  for (const RequestClass each : aWaiting) {
    aQueue.Push(Entry(++id, each, 1s));
    aQueue.Push(Entry(++id, each, 1s));
  }
  for (size_t i = 0; i < aCount; ++i) {
    const auto taken = aQueue.Pop(aBulkAllowed);
    BOOST_REQUIRE(taken.has_value());
    const auto index = static_cast<size_t>(taken->mClass);
    used[index] += kTimes[index];
    aQueue.Push(Entry(++id, taken->mClass, 1s));
  }
  return used;
}

double
Share(Duration aPart, const std::array<Duration, 3>& aUsed)
{
  const Duration whole = aUsed[0] + aUsed[1] + aUsed[2];
  return static_cast<double>(aPart.count()) /
         static_cast<double>(whole.count());
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestQueueTest)

BOOST_AUTO_TEST_CASE(PriorityThenEarliestDeadlineFirst)
{
  RequestQueue queue(8);
  queue.Push(Entry(1, RequestClass::Bulk, 1s));
  queue.Push(Entry(2, RequestClass::Query, 9s));
  queue.Push(Entry(3, RequestClass::Submission, 8s));
  queue.Push(Entry(4, RequestClass::Submission, 7s));
  queue.Push(Entry(5, RequestClass::Query, 6s));
  BOOST_TEST(PopRequestId(queue) == 4U);
  BOOST_TEST(PopRequestId(queue) == 3U);
  BOOST_TEST(PopRequestId(queue) == 5U);
  BOOST_TEST(PopRequestId(queue) == 2U);
  BOOST_TEST(PopRequestId(queue, false) == 0U);
  BOOST_TEST(PopRequestId(queue) == 1U);
}

// Guards against submissions that are rejected because the queue is full of
// bulk transfers.
BOOST_AUTO_TEST_CASE(SubmissionEvictsBulk)
{
  RequestQueue queue(2);
  queue.Push(Entry(1, RequestClass::Bulk, 5s));
  queue.Push(Entry(2, RequestClass::Bulk, 6s));
  const ServiceTime times;
  const auto bulk = Entry(3, RequestClass::Bulk, 4s);
  BOOST_TEST(
    (queue.Check(bulk, 4, 0, times, kStart) == RequestQueue::Rejection::Full));
  const auto submission = Entry(4, RequestClass::Submission, 4s);
  BOOST_TEST(!queue.Check(submission, 4, 0, times, kStart).has_value());
  const auto evicted = queue.Push(submission);
  BOOST_REQUIRE(evicted.has_value());
  BOOST_TEST(evicted->mRequest.Value() == 2U);
  BOOST_TEST(queue.Count() == 2U);
}

// Guards against queueing requests whose response would miss the deadline.
BOOST_AUTO_TEST_CASE(RejectsRequestsThatCannotMeetTheirDeadline)
{
  RequestQueue queue(8);
  ServiceTime times;
  const auto entry = Entry(9, RequestClass::Query, 1s);
  BOOST_TEST(!queue.Check(entry, 1, 0, times, kStart).has_value());
  times.Record(RequestClass::Query, 400ms);
  queue.Push(Entry(1, RequestClass::Query, 500ms));
  BOOST_TEST(!queue.Check(entry, 1, 0, times, kStart).has_value());
  queue.Push(Entry(2, RequestClass::Query, 900ms));
  BOOST_TEST((queue.Check(entry, 1, 0, times, kStart) ==
              RequestQueue::Rejection::DeadlineTooShort));
  BOOST_TEST(!queue.Check(entry, 4, 0, times, kStart).has_value());
  BOOST_TEST(queue.Check(entry, 4, 0, times, kStart + 1s).has_value());
}

BOOST_AUTO_TEST_CASE(ExpiredEntriesAreRemoved)
{
  RequestQueue queue(8);
  queue.Push(Entry(1, RequestClass::Query, 1s));
  queue.Push(Entry(2, RequestClass::Bulk, 2s));
  queue.Push(Entry(3, RequestClass::Submission, 3s));
  BOOST_TEST((queue.EarliestDeadline() == kStart + 1s));
  BOOST_TEST(queue.TakeExpired(kStart + 2s).size() == 2U);
  BOOST_TEST(queue.Remove(RequestId(3)));
  BOOST_TEST(!queue.Remove(RequestId(3)));
  BOOST_TEST(queue.Count() == 0U);
}

// Guards against an overload of submissions that starves the other classes, and
// against other classes that get more than their guaranteed share.
BOOST_AUTO_TEST_CASE(Overload_EveryClassGetsItsShareOfSlotTime)
{
  RequestQueue queue(16);
  const auto used = SlotTimes(
    queue,
    { RequestClass::Submission, RequestClass::Query, RequestClass::Bulk },
    10000);
  BOOST_TEST(Share(used[0], used) == 0.82, boost::test_tools::tolerance(0.01));
  BOOST_TEST(Share(used[1], used) == 0.15, boost::test_tools::tolerance(0.01));
  BOOST_TEST(Share(used[2], used) == 0.03, boost::test_tools::tolerance(0.01));
}

// Guards against a class that accumulates credit while it has no entries or
// while all of its slots are in use, and then delays submissions.
BOOST_AUTO_TEST_CASE(CreditIsNotAccumulated)
{
  RequestQueue queue(16);
  SlotTimes(
    queue, { RequestClass::Submission, RequestClass::Bulk }, 1000, false);
  queue.Push(Entry(1, RequestClass::Query, 1s));
  for (int i = 0; i < 2; ++i) {
    const auto taken = queue.Pop(true);
    BOOST_REQUIRE(taken.has_value());
    BOOST_TEST((taken->mClass == RequestClass::Submission));
  }
}

// Guards against a class that exceeds its share because its slot time was not
// measured yet.
BOOST_AUTO_TEST_CASE(ClassWithoutMeasurementsKeepsToItsShare)
{
  RequestQueue queue(16);
  queue.RecordSlotTime(RequestClass::Submission, 20ms);
  size_t queries = 0;
  for (uint64_t id = 1; id <= 2000; id += 2) {
    queue.Push(Entry(id, RequestClass::Query, 1s));
    queue.Push(Entry(id + 1, RequestClass::Submission, 1s));
    const auto taken = queue.Pop(true);
    queries += taken && taken->mClass == RequestClass::Query ? 1 : 0;
  }
  BOOST_TEST(queries > 100U);
  BOOST_TEST(queries <= 150U);
}

// Guards against submissions that evict every query from a full queue, so that
// queries can't use their guaranteed share.
BOOST_AUTO_TEST_CASE(FullQueue_EveryClassKeepsItsGuaranteedCapacity)
{
  RequestQueue queue(16);
  const ServiceTime times;
  uint64_t id = 0;
  for (; id < 8; ++id) {
    queue.Push(Entry(id, RequestClass::Query, 1s));
  }
  for (; id < 16; ++id) {
    queue.Push(Entry(id, RequestClass::Submission, 1s));
  }
  for (; id < 22; ++id) {
    const auto next = Entry(id, RequestClass::Submission, 1s);
    BOOST_TEST(!queue.Check(next, 4, 4, times, kStart).has_value());
    const auto evicted = queue.Push(next);
    BOOST_REQUIRE(evicted.has_value());
    BOOST_TEST((evicted->mClass == RequestClass::Query));
  }
  const auto full = RequestQueue::Rejection::Full;
  const auto more = Entry(id, RequestClass::Submission, 1s);
  BOOST_TEST((queue.Check(more, 4, 4, times, kStart) == full));
  // Bulk has no entries yet, and submissions exceed their guaranteed capacity.
  const auto bulk = Entry(id, RequestClass::Bulk, 1s);
  BOOST_TEST(!queue.Check(bulk, 4, 4, times, kStart).has_value());
  const auto evicted = queue.Push(bulk);
  BOOST_REQUIRE(evicted.has_value());
  BOOST_TEST((evicted->mClass == RequestClass::Submission));
  BOOST_TEST(queue.Count() == 16U);
}

// Guards against estimates that assume strict priority: they would reject
// queries that run in time because of their share, and accept submissions that
// are late because of the shares of the others.
BOOST_AUTO_TEST_CASE(EstimateFollowsTheShares)
{
  RequestQueue queue(16);
  ServiceTime times;
  times.Record(RequestClass::Submission, 20ms);
  times.Record(RequestClass::Query, 5ms);
  for (uint64_t id = 1; id <= 8; ++id) {
    queue.RecordSlotTime(RequestClass::Submission, 20ms);
    queue.RecordSlotTime(RequestClass::Query, 5ms);
    queue.Push(Entry(id, RequestClass::Submission, 100ms));
  }
  const auto tooShort = RequestQueue::Rejection::DeadlineTooShort;
  // The share serves a query after 5 ms / 0.15 = 33 ms of slot time, while the
  // submissions take 160 ms.
  const auto query = Entry(9, RequestClass::Query, 50ms);
  BOOST_TEST(!queue.Check(query, 1, 0, times, kStart).has_value());
  const auto shortQuery = Entry(9, RequestClass::Query, 35ms);
  BOOST_TEST((queue.Check(shortQuery, 1, 0, times, kStart) == tooShort));
  // Queries get a credit of 25 ms during the 160 ms ahead of this submission.
  const auto last = Entry(20, RequestClass::Submission, 190ms);
  BOOST_TEST(!queue.Check(last, 1, 0, times, kStart).has_value());
  for (uint64_t id = 10; id <= 15; ++id) {
    queue.Push(Entry(id, RequestClass::Query, 1s));
  }
  BOOST_TEST((queue.Check(last, 1, 0, times, kStart) == tooShort));
}

BOOST_AUTO_TEST_SUITE_END()
