#include <algorithm>
#include <map>
#include <set>

#include <boost/test/unit_test.hpp>

#include <snipepost/Base/Random.h>
#include <snipepost/Flow/CandidateTable.h>

#include "tests/Flow/Samples.h"

using namespace snipepost;
using namespace snipepost::flow;
using namespace std::chrono_literals;
using cluster::BackendRecord;
using cluster::Revision;

namespace {

constexpr Instant kNow{ 1000s };
constexpr Duration kFlowLimit = 60s;

BackendRecord
MakeRecord(size_t aIndex, size_t aDomains)
{
  BackendRecord record;
  record.mService = "desk";
  record.mAgent = AgentAddress(aIndex);
  record.mDomain = std::string(1, static_cast<char>('a' + aIndex % aDomains));
  return record;
}

RecordHistory::KnownRecord
MakeKnown(size_t aIndex, size_t aDomains, Revision aCreated)
{
  return { MakeRecord(aIndex, aDomains), aCreated, aCreated, kNow, {} };
}

using StoredServers = std::map<size_t, RecordHistory::KnownRecord>;

CandidateTable
MakeTable(const StoredServers& aServers)
{
  CandidateTable table;
  for (const auto& [index, server] : aServers) {
    table.Add(server);
  }
  return table;
}

StoredServers
MakeServers(size_t aCount, size_t aDomains)
{
  StoredServers servers;
  for (size_t i = 0; i < aCount; ++i) {
    servers[i] = MakeKnown(i, aDomains, Revision(i + 1));
  }
  return servers;
}

std::set<Address>
CandidatesOf(const CandidateTable& aTable, uint64_t aFlowHash)
{
  std::set<Address> agents;
  for (const Candidate& candidate : aTable.Candidates(aFlowHash, "a")) {
    agents.insert(candidate.mRecord->mAgent);
  }
  return agents;
}

std::set<Address>
PossibleOwners(const CandidateTable& aTable, uint64_t aFlowHash)
{
  std::vector<const BackendRecord*> owners;
  aTable.AppendPossibleOwners(aFlowHash, kNow, kFlowLimit, owners);
  std::set<Address> agents;
  for (const BackendRecord* owner : owners) {
    agents.insert(owner->mAgent);
  }
  return agents;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CandidateTableTest)

// Another entry instance must compute the same candidates to continue the flow.
BOOST_AUTO_TEST_CASE(CandidatesDoNotDependOnTheOrderOfTheRecords)
{
  const StoredServers servers = MakeServers(45, 3);
  const CandidateTable table = MakeTable(servers);
  CandidateTable reversed;
  for (auto at = servers.rbegin(); at != servers.rend(); ++at) {
    reversed.Add(at->second);
  }
  for (uint64_t hash = 1; hash < 200; ++hash) {
    const auto candidates = CandidatesOf(table, hash);
    BOOST_TEST(candidates.size() == 12U);
    BOOST_TEST((candidates == CandidatesOf(reversed, hash)));
  }
}

BOOST_AUTO_TEST_CASE(LocalCandidatesComeFirst)
{
  const StoredServers servers = MakeServers(45, 3);
  const auto candidates = MakeTable(servers).Candidates(7, "b");
  for (size_t i = 0; i < candidates.size(); ++i) {
    BOOST_TEST(candidates[i].mLocal == (i < 4));
    BOOST_TEST(candidates[i].mRank == i);
  }
}

BOOST_AUTO_TEST_CASE(RemovingAServerKeepsTheOtherCandidates)
{
  StoredServers servers = MakeServers(45, 3);
  const CandidateTable table = MakeTable(servers);
  const Address gone = servers[44].mRecord.mAgent;
  StoredServers fewer = servers;
  fewer.erase(44);
  const CandidateTable smaller = MakeTable(fewer);
  for (uint64_t hash = 1; hash < 200; ++hash) {
    auto before = CandidatesOf(table, hash);
    const auto after = CandidatesOf(smaller, hash);
    before.erase(gone);
    BOOST_TEST(
      std::includes(after.begin(), after.end(), before.begin(), before.end()));
  }
}

// With records that all nodes have known for longer than any flow lasts, a
// lookup asks only the candidates, whatever the size of the service.
BOOST_AUTO_TEST_CASE(OnlyCandidatesOfSettledRecordsAreAsked)
{
  StoredServers servers = MakeServers(3500, 5);
  for (auto& [index, server] : servers) {
    server.mKnownSince = kNow - kFlowLimit;
  }
  const CandidateTable table = MakeTable(servers);
  for (uint64_t hash = 1; hash < 20; ++hash) {
    BOOST_TEST((PossibleOwners(table, hash) == CandidatesOf(table, hash)));
  }
}

// A snapshot of a node of the previous version does not contain the revisions:
// nothing is excluded then.
BOOST_AUTO_TEST_CASE(RecordsOfUnknownAgeExcludeNoOwner)
{
  StoredServers servers = MakeServers(45, 3);
  for (auto& [index, server] : servers) {
    server.mCreated = Revision();
    server.mFirstCreated = Revision();
  }
  BOOST_TEST(PossibleOwners(MakeTable(servers), 5).size() == 45U);
}

// Guards against the reset of an open flow: whatever servers are added, removed
// and added again after it was opened, its owner is among the possible owners,
// also for an instance that has just started.
BOOST_AUTO_TEST_CASE(OwnerIsAPossibleOwnerAfterAnyChanges)
{
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    Random random(seed);
    uint64_t revision = 0;
    StoredServers servers;
    const auto change = [&] {
      const size_t index = random.Below(60);
      if (servers.erase(index) == 0) {
        servers[index] = MakeKnown(index, 3, Revision(++revision));
      }
    };
    for (int i = 0; i < 100; ++i) {
      change();
    }
    const uint64_t hash = random.Below(1U << 30);
    const auto candidates = CandidatesOf(MakeTable(servers), hash);
    // Each candidate may be the owner as long as its record is not removed.
    std::map<Address, Revision> owners;
    for (const auto& [index, server] : servers) {
      if (candidates.contains(server.mRecord.mAgent)) {
        owners[server.mRecord.mAgent] = server.mCreated;
      }
    }
    for (int i = 0; i < 60; ++i) {
      change();
      const auto possible = PossibleOwners(MakeTable(servers), hash);
      for (const auto& [index, server] : servers) {
        const auto owner = owners.find(server.mRecord.mAgent);
        if (owner != owners.end() && owner->second == server.mCreated) {
          BOOST_TEST(possible.contains(owner->first),
                     "seed " << seed << " change " << i);
        }
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
