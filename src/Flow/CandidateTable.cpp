#include <snipepost/Flow/CandidateTable.h>

#include <algorithm>
#include <array>
#include <limits>

#include "src/Routing/Hash.h"

namespace snipepost::flow {

namespace {

constexpr uint64_t kCandidateSeed = 0x63616e6469646174;

struct Scored
{
  uint64_t mScore = 0;
  const cluster::BackendRecord* mRecord = nullptr;
};

/// The best servers that were inserted, best first.
class BestServers
{
public:
  void Insert(uint64_t aScore, const cluster::BackendRecord* aRecord)
  {
    if (mCount == mBest.size() && aScore <= mBest.back().mScore) {
      return;
    }
    if (mCount < mBest.size()) {
      ++mCount;
    }
    size_t at = mCount - 1;
    for (; at > 0 && mBest[at - 1].mScore < aScore; --at) {
      mBest[at] = mBest[at - 1];
    }
    mBest[at] = { aScore, aRecord };
  }

  auto begin() const { return mBest.begin(); }
  auto end() const { return mBest.begin() + static_cast<ptrdiff_t>(mCount); }

private:
  std::array<Scored, CandidateTable::kCandidatesPerDomain> mBest{};
  size_t mCount = 0;
};

/// The kCandidatesPerDomain lowest revisions that were inserted.
class EarliestRevisions
{
public:
  EarliestRevisions() { mRevisions.fill(std::numeric_limits<uint64_t>::max()); }

  void Insert(uint64_t aRevision)
  {
    const auto latest = std::ranges::max_element(mRevisions);
    *latest = std::min(*latest, aRevision);
  }

  /// The latest of them; the maximum while there are fewer.
  uint64_t Latest() const { return *std::ranges::max_element(mRevisions); }

private:
  std::array<uint64_t, CandidateTable::kCandidatesPerDomain> mRevisions{};
};

} // namespace

void
CandidateTable::Add(const RecordHistory::KnownRecord& aRecord)
{
  const cluster::BackendRecord& record = aRecord.mRecord;
  mDomains[record.mDomain].push_back(
    { &aRecord,
      HashAddress(record.mAgent, kCandidateSeed),
      aRecord.mMissingSince.has_value() });
}

std::vector<Candidate>
CandidateTable::Candidates(uint64_t aFlowHash,
                           const std::string& aLocalDomain) const
{
  std::vector<Scored> local;
  std::vector<Scored> remote;
  for (const auto& [domain, servers] : mDomains) {
    BestServers best;
    for (const Server& server : servers) {
      if (!server.mMissing) {
        best.Insert(HashWord(aFlowHash, server.mHashSeed),
                    &server.mKnown->mRecord);
      }
    }
    auto& group = domain == aLocalDomain ? local : remote;
    group.insert(group.end(), best.begin(), best.end());
  }
  std::ranges::sort(remote, std::ranges::greater{}, &Scored::mScore);
  std::vector<Candidate> candidates;
  candidates.reserve(local.size() + remote.size());
  for (const auto* group : { &local, &remote }) {
    for (const Scored& server : *group) {
      candidates.push_back({ server.mRecord,
                             nullptr,
                             group == &local,
                             static_cast<uint32_t>(candidates.size()) });
    }
  }
  return candidates;
}

void
CandidateTable::AppendScored(uint64_t aFlowHash,
                             const Servers& aServers,
                             RankedServers& aRanked)
{
  for (const Server& server : aServers) {
    aRanked.emplace_back(HashWord(aFlowHash, server.mHashSeed), &server);
  }
}

void
CandidateTable::AppendAll(
  uint64_t aFlowHash,
  std::vector<const cluster::BackendRecord*>& aServers) const
{
  RankedServers ranked;
  for (const auto& [domain, servers] : mDomains) {
    AppendScored(aFlowHash, servers, ranked);
  }
  std::ranges::sort(ranked, std::ranges::greater{});
  for (const auto& [score, server] : ranked) {
    aServers.push_back(&server->mKnown->mRecord);
  }
}

void
CandidateTable::AppendPossibleOwners(
  uint64_t aFlowHash,
  Instant aNow,
  Duration aFlowLimit,
  std::vector<const cluster::BackendRecord*>& aOwners) const
{
  for (const auto& [domain, servers] : mDomains) {
    RankedServers ranked;
    AppendScored(aFlowHash, servers, ranked);
    std::ranges::sort(ranked, std::ranges::greater{});
    EarliestRevisions better;
    for (const auto& [score, server] : ranked) {
      const RecordHistory::KnownRecord& known = *server->mKnown;
      if (better.Latest() > known.mFirstCreated.Value()) {
        aOwners.push_back(&known.mRecord);
      }
      if (server->mMissing) {
        continue;
      }
      if (aNow - known.mKnownSince >= aFlowLimit) {
        better.Insert(0);
      } else if (known.mCreated != cluster::Revision()) {
        better.Insert(known.mCreated.Value());
      }
    }
  }
}

} // namespace snipepost::flow
