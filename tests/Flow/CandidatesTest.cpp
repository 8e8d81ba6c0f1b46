#include <deque>

#include <boost/test/unit_test.hpp>

#include <snipepost/Flow/CandidateTable.h>

#include "tests/Flow/Samples.h"

using namespace snipepost;
using namespace snipepost::flow;
using namespace std::chrono_literals;

namespace {

constexpr Instant kNow{ 10s };

struct Servers
{
  explicit Servers(size_t aCount)
    : mReplica(&DecodeSampleConfig)
  {
    FillReplica(mReplica, aCount, 3, 4);
    for (const auto& [name, record] : mReplica.Backends()) {
      mRecords.push_back(&record);
    }
  }

  cluster::Replica mReplica;
  std::vector<const cluster::BackendRecord*> mRecords;
};

} // namespace

BOOST_AUTO_TEST_SUITE(CandidatesTest)

BOOST_AUTO_TEST_CASE(LoadReportsDecay)
{
  AgentView view;
  view.mLoad = 10.0;
  view.mLoadAt = kNow;
  BOOST_TEST(EstimatedLoad(view, kNow) == 10.0);
  BOOST_TEST(EstimatedLoad(view, kNow + 1s) < 0.01);
}

BOOST_AUTO_TEST_CASE(LocalFreeAndReachableServersComeFirst)
{
  Servers servers(6);
  std::vector<AgentView> views(6);
  CandidateTable table;
  std::deque<RecordHistory::KnownRecord> known;
  for (const cluster::BackendRecord* record : servers.mRecords) {
    const cluster::Revision created(1);
    known.push_back({ *record, created, created, kNow, std::nullopt });
    table.Add(known.back());
  }
  auto candidates = table.Candidates(7, "a");
  for (size_t i = 0; i < candidates.size(); ++i) {
    candidates[i].mView = &views[i];
  }
  auto best = *BestCandidate(candidates, kNow);
  BOOST_TEST(candidates[best].mLocal);
  // A free server in another domain is better than a full one in the local
  // domain.
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].mLocal) {
      views[i].mLoad = 8.0;
      views[i].mLoadAt = kNow;
    }
  }
  best = *BestCandidate(candidates, kNow);
  BOOST_TEST(!candidates[best].mLocal);
  // A server that does not reply is the last choice.
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (!candidates[i].mLocal) {
      views[i].mAvoidUntil = kNow + 1s;
    }
  }
  best = *BestCandidate(candidates, kNow);
  BOOST_TEST(candidates[best].mLocal);
  BOOST_TEST(!BestCandidate({}, kNow).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
