#include <boost/test/unit_test.hpp>

#include "src/FlowDaemon/RecentRefusals.h"

using namespace snipepost;
using namespace std::chrono_literals;

namespace {

constexpr Instant kNow{ 1000s };
constexpr Address kRoute{ 0xc6120001, 443 };

uint64_t
Total(RecentRefusals& aRefusals, Instant aNow)
{
  uint64_t total = 0;
  for (const auto& count : aRefusals.Counts(aNow)) {
    total += count.mFlows;
  }
  return total;
}

flow::Decision
Rejection(flow::Refusal aRefusal, std::string_view aReason)
{
  flow::Decision decision;
  decision.mVerdict = flow::Verdict::Rejected;
  decision.mFlow.mService = kRoute;
  decision.mRefusal = aRefusal;
  decision.mReason = aReason;
  return decision;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RecentRefusalsTest)

// Guards against refusals that are reported after the overload has ended, and
// against such that are lost before.
BOOST_AUTO_TEST_CASE(CountsCoverTheLastTenSeconds)
{
  RecentRefusals refusals;
  for (int second = 0; second < 25; ++second) {
    refusals.Add(kRoute, "full", kNow + second * 1s);
  }
  BOOST_TEST(Total(refusals, kNow + 24s) == 10U);
  BOOST_TEST(Total(refusals, kNow + 33s) == 1U);
  BOOST_TEST(refusals.Counts(kNow + 34s).empty());
}

// Guards against resets of open flows, and drops of SYNs whose retransmission
// may be accepted, that are reported as refusals of new flows.
BOOST_AUTO_TEST_CASE(OnlyRefusalsOfNewFlowsAreCounted)
{
  RecentRefusals refusals;
  flow::Decision dropped = Rejection(flow::Refusal::Full, "copy-may-be-served");
  dropped.mVerdict = flow::Verdict::Dropped;
  for (const flow::Decision& decision :
       { Rejection(flow::Refusal::Full, "all-refused"),
         Rejection(flow::Refusal::None, "overloaded"),
         Rejection(flow::Refusal::None, "owner-ended"),
         dropped }) {
    refusals.OnDecision(decision, kNow);
  }
  const auto counts = refusals.Counts(kNow);
  BOOST_REQUIRE(counts.size() == 2U);
  BOOST_TEST(counts[0].mReason == "full");
  BOOST_TEST(counts[1].mReason == "overloaded");
}

// Guards against memory that grows with the routes, and against entries of
// routes that are no longer refused, which would hide those that are.
BOOST_AUTO_TEST_CASE(MemoryIsBounded)
{
  RecentRefusals refusals;
  for (uint16_t port = 1; port <= 2 * RecentRefusals::kMaxCounts; ++port) {
    refusals.Add({ kRoute.mIp, port }, "full", kNow);
  }
  const auto counts = refusals.Counts(kNow);
  BOOST_REQUIRE(counts.size() == RecentRefusals::kMaxCounts + 1);
  BOOST_TEST(counts.back().mReason == RecentRefusals::kOther);
  BOOST_TEST(counts.back().mFlows == RecentRefusals::kMaxCounts);
  refusals.Add({ kRoute.mIp, 9999 }, "full", kNow + 20s);
  BOOST_REQUIRE(refusals.Counts(kNow + 20s).size() == 1U);
  BOOST_TEST(refusals.Counts(kNow + 20s)[0].mRoute.mPort == 9999);
}

BOOST_AUTO_TEST_SUITE_END()
