#include <set>

#include <boost/test/unit_test.hpp>

#include <snipepost/Flow/Candidates.h>

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

std::set<Address>
AgentsOf(const std::vector<Candidate>& aCandidates)
{
  std::set<Address> agents;
  for (const Candidate& candidate : aCandidates) {
    agents.insert(candidate.mRecord->mAgent);
  }
  return agents;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CandidatesTest)

// Another entry instance must compute the same candidates to continue the flow.
BOOST_AUTO_TEST_CASE(CandidatesDoNotDependOnTheOrderOfTheList)
{
  Servers servers(45);
  auto reversed = servers.mRecords;
  std::reverse(reversed.begin(), reversed.end());
  for (uint64_t hash = 1; hash < 200; ++hash) {
    const auto one = RankByHash(hash, servers.mRecords, "a", 4);
    const auto two = RankByHash(hash, reversed, "a", 4);
    BOOST_TEST(one.size() == 8U);
    BOOST_TEST((AgentsOf(one) == AgentsOf(two)));
  }
}

BOOST_AUTO_TEST_CASE(RemovingAServerKeepsTheOtherCandidates)
{
  Servers servers(45);
  auto fewer = servers.mRecords;
  const Address gone = fewer.back()->mAgent;
  fewer.pop_back();
  for (uint64_t hash = 1; hash < 200; ++hash) {
    auto before = AgentsOf(RankByHash(hash, servers.mRecords, "a", 4));
    const auto after = AgentsOf(RankByHash(hash, fewer, "a", 4));
    before.erase(gone);
    BOOST_TEST(
      std::includes(after.begin(), after.end(), before.begin(), before.end()));
  }
}

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
  auto candidates = RankByHash(7, servers.mRecords, "a", 4);
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
