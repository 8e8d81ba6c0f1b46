#include <boost/test/unit_test.hpp>

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
PopId(RequestQueue& aQueue, bool aBulkAllowed = true)
{
  const auto entry = aQueue.Pop(aBulkAllowed);
  return entry ? entry->mRequest.Value() : 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestQueueTest)

BOOST_AUTO_TEST_CASE(UrgentClassThenEarliestDeadlineFirst)
{
  RequestQueue queue(8);
  queue.Push(Entry(1, RequestClass::Bulk, 1s));
  queue.Push(Entry(2, RequestClass::Query, 9s));
  queue.Push(Entry(3, RequestClass::Submission, 8s));
  queue.Push(Entry(4, RequestClass::Submission, 7s));
  queue.Push(Entry(5, RequestClass::Query, 6s));
  BOOST_TEST(PopId(queue) == 4U);
  BOOST_TEST(PopId(queue) == 3U);
  BOOST_TEST(PopId(queue) == 5U);
  BOOST_TEST(PopId(queue) == 2U);
  BOOST_TEST(PopId(queue, false) == 0U);
  BOOST_TEST(PopId(queue) == 1U);
}

// Guards against a queue full of bulk transfers that keeps submissions out.
BOOST_AUTO_TEST_CASE(SubmissionTakesThePlaceOfBulk)
{
  RequestQueue queue(2);
  queue.Push(Entry(1, RequestClass::Bulk, 5s));
  queue.Push(Entry(2, RequestClass::Bulk, 6s));
  const ServiceTime times;
  const auto bulk = Entry(3, RequestClass::Bulk, 4s);
  BOOST_TEST(
    (queue.Check(bulk, 4, 0, times, kStart) == RequestQueue::Refusal::Full));
  const auto urgent = Entry(4, RequestClass::Submission, 4s);
  BOOST_TEST(!queue.Check(urgent, 4, 0, times, kStart).has_value());
  const auto displaced = queue.Push(urgent);
  BOOST_REQUIRE(displaced.has_value());
  BOOST_TEST(displaced->mRequest.Value() == 2U);
  BOOST_TEST(queue.Count() == 2U);
}

// Guards against requests that wait for an answer that must come too late.
BOOST_AUTO_TEST_CASE(RefusesWhatCannotMeetItsDeadline)
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
              RequestQueue::Refusal::DeadlineTooShort));
  BOOST_TEST(!queue.Check(entry, 4, 0, times, kStart).has_value());
  BOOST_TEST(queue.Check(entry, 4, 0, times, kStart + 1s).has_value());
}

BOOST_AUTO_TEST_CASE(ExpiredEntriesLeaveTheQueue)
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

BOOST_AUTO_TEST_SUITE_END()
