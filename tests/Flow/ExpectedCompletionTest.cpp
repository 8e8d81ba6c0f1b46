#include <boost/test/unit_test.hpp>

#include <snipepost/Flow/ExpectedCompletion.h>

#include "tests/Flow/Samples.h"

using namespace snipepost;
using namespace snipepost::flow;
using namespace std::chrono_literals;

namespace {

constexpr Instant kNow{ 100s };

/// Candidates of one failure domain with reports of kNow.
struct Reports
{
  void Add(Duration aWait,
           std::optional<Duration> aServiceTime,
           std::optional<uint16_t> aUtilisation)
  {
    OfferReply reply;
    reply.mWaits = { { 1, aWait } };
    reply.mServiceTime = aServiceTime;
    reply.mUtilisation = aUtilisation;
    mViews.emplace_back().mReplyTime = 1ms;
    UpdateWaits(mViews.back(), reply, kNow);
  }
  std::vector<Candidate> Candidates() const
  {
    std::vector<Candidate> candidates;
    for (const AgentView& view : mViews) {
      candidates.push_back({ &mRecord, &view, true, 0 });
    }
    return candidates;
  }
  std::optional<size_t> Soonest(Duration aAge = {}) const
  {
    return SoonestCandidate(Candidates(), 1, kNow + aAge);
  }

  cluster::BackendRecord mRecord;
  std::vector<AgentView> mViews;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ExpectedCompletionTest)

// Guards against a choice that ignores one of the terms: each candidate is the
// best by all values but one.
BOOST_AUTO_TEST_CASE(AllTermsCount)
{
  Reports reports;
  reports.Add(0ms, 90ms, 500);  // Slow.
  reports.Add(90ms, 20ms, 500); // Its queue is long.
  reports.Add(0ms, 20ms, 900);  // Later requests would wait.
  reports.Add(0ms, 20ms, 500);  // Far away.
  reports.mViews.back().mReplyTime = 90ms;
  reports.Add(0ms, 20ms, 500); // Cold: by the factor 1.6.
  reports.mViews.back().mCold = true;
  reports.Add(5ms, 20ms, 500);
  BOOST_TEST(reports.Soonest().value() == 5U);
  reports.mViews.back().mAvoidUntil = kNow + 1s;
  BOOST_TEST(reports.Soonest().value() == 4U);
}

// Guards against a server that is preferred or excluded because its agent
// reports nothing, and against reports that are used for longer than 10 s.
BOOST_AUTO_TEST_CASE(UnknownValuesAreTheMedian)
{
  Reports reports;
  reports.Add(5ms, std::nullopt, std::nullopt);
  BOOST_TEST(!reports.Soonest().has_value());
  reports.Add(0ms, 90ms, 500);
  reports.Add(0ms, 40ms, 500);
  reports.Add(9ms, 40ms, 500);
  BOOST_TEST(reports.Soonest().value() == 2U);
  reports.Add(0ms, 20ms, 500);
  reports.mViews.back().mAvoidUntil = kNow + 1s;
  reports.mViews[2].mAvoidUntil = kNow + 1s;
  BOOST_TEST(reports.Soonest().value() == 0U);
  BOOST_TEST(reports.Soonest(10s).has_value());
  BOOST_TEST(!reports.Soonest(10001ms).has_value());
  BOOST_TEST(!SoonestCandidate({}, 1, kNow).has_value());
}

// Guards against successive flows that go to one of several equal servers
// because of the error of its mean, and against a choice that differs from
// BestCandidate() while no service time is known.
BOOST_AUTO_TEST_CASE(SmallDifferencesDoNotOutweighTheLoad)
{
  Reports reports;
  reports.Add(0ms, std::nullopt, 500);
  reports.Add(0ms, std::nullopt, 0);
  reports.mViews.back().mLoad = 1.0;
  reports.mViews.back().mLoadAt = kNow;
  const auto choose = [&reports] {
    return CandidateForFreeSlot(reports.Candidates(), 1, kNow).value();
  };
  BOOST_TEST(choose() == 0U);
  reports.Add(0ms, 20ms, 500);
  reports.mViews.back().mLoad = 1.0;
  reports.mViews.back().mLoadAt = kNow;
  reports.Add(0ms, 25ms, 500);
  reports.Add(0ms, 60ms, 500);
  reports.mViews[0].mAvoidUntil = kNow + 1s;
  BOOST_TEST(choose() == 3U);
  BOOST_TEST(!CandidateForFreeSlot({}, 1, kNow).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
