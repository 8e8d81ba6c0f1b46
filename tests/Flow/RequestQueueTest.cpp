#include <boost/test/unit_test.hpp>

#include <snipepost/Flow/RequestQueue.h>

#include "tests/Flow/Samples.h"

using namespace snipepost;
using namespace snipepost::flow;
using namespace std::chrono_literals;

namespace {

constexpr Instant kStart{ 100s };

FlowTuple
Tuple(uint32_t aId)
{
  return { { aId, 40001 }, kService };
}

struct Fixture
{
  /// Adds a request and its first packet. Requests with a higher aId have a
  /// later deadline.
  void Add(uint32_t aId, size_t aBytes = 100)
  {
    WaitingRequest request;
    request.mFlow = Tuple(aId);
    request.mPriority = 1;
    request.mDeadline = kStart + 1s + aId * 1ms;
    request.mForwardBy = kStart + 1250ms;
    request.mSlotTime = 30ms;
    mQueue.Add(std::move(request));
    Keep(aId, 0, aBytes);
  }
  void Keep(uint32_t aId, uint32_t aSequence, size_t aBytes = 100)
  {
    Packet packet = CallerData({ aId, 40001 }, 1, 100);
    packet.mSequence = aSequence;
    mQueue.Keep(Tuple(aId), packet, std::vector<uint8_t>(aBytes));
  }

  RequestQueue mQueue;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RequestQueueTest, Fixture)

// Guards against memory without a bound: too many requests, too many packets of
// one, too many bytes. The first one in the order makes room.
BOOST_AUTO_TEST_CASE(LimitsMakeRequestsDue)
{
  for (uint32_t id = 65; id > 0; --id) {
    BOOST_TEST(mQueue.TakeDue(kStart).empty());
    Add(id);
  }
  auto due = mQueue.TakeDue(kStart);
  BOOST_REQUIRE(due.size() == 1U);
  BOOST_TEST((due[0].mFlow == Tuple(1)));
  for (uint32_t packet = 1; packet <= RequestQueue::kMaxPackets; ++packet) {
    BOOST_TEST(mQueue.TakeDue(kStart).empty());
    Keep(30, packet * 100);
  }
  due = mQueue.TakeDue(kStart);
  BOOST_REQUIRE(due.size() == 1U);
  BOOST_TEST((due[0].mFlow == Tuple(30)));
  mQueue.TakeAll();
  Add(2, RequestQueue::kMaxBytes / 2);
  Add(1, RequestQueue::kMaxBytes / 2);
  BOOST_TEST(mQueue.TakeDue(kStart).size() == 1U);
  // The memory of requests that left is not counted.
  BOOST_TEST(mQueue.TakeDue(kStart).empty());
  BOOST_TEST(mQueue.Size() == 1U);
}

// Guards against the loss of a FIN or of data that only a retransmission
// carries.
BOOST_AUTO_TEST_CASE(RetransmissionWithMoreThanTheKeptPacketIsKept)
{
  Add(1);
  Packet packet = CallerData({ 1, 40001 }, 1, 100);
  mQueue.Keep(Tuple(1), packet, std::vector<uint8_t>(100));
  packet.mFin = true;
  mQueue.Keep(Tuple(1), packet, std::vector<uint8_t>(100));
  BOOST_TEST(mQueue.Take(Tuple(1))->mPackets.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
