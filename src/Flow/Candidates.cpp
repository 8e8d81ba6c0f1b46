#include <snipepost/Flow/Candidates.h>

#include <algorithm>
#include <cmath>

#include "src/Routing/Hash.h"

namespace snipepost::flow {

namespace {

constexpr uint64_t kCandidateSeed = 0x63616e6469646174;

/// Time after which the weight of a load report has decayed to 1/e: a few
/// service times.
constexpr double kLoadDecaySeconds = 0.1;

// Costs are in units of a request's service time.
constexpr double kRemotePenalty = 0.35; // For a round trip of about 8 ms.
constexpr double kColdFactor = 1.6;     // Requests take longer after a start.
constexpr double kAvoidPenalty = 1e3;

double
Cost(const Candidate& aCandidate, Instant aNow)
{
  const AgentView& view = *aCandidate.mView;
  const double load = EstimatedLoad(view, aNow);
  const double slots = aCandidate.mRecord->mSlots;
  // With a free slot the request is not queued, but the risk of a queue grows
  // with the load.
  const double queued = std::max(0.0, load + 1.0 - slots) / slots;
  double cost = (1.0 + queued) * (view.mCold ? kColdFactor : 1.0);
  cost += 0.1 * load / slots;
  if (!aCandidate.mLocal) {
    cost += kRemotePenalty;
  }
  if (aNow < view.mAvoidUntil) {
    cost += kAvoidPenalty + view.mUnansweredOffers;
  }
  return cost + 1e-3 * aCandidate.mRank;
}

} // namespace

double
EstimatedLoad(const AgentView& aView, Instant aNow)
{
  const double age =
    std::chrono::duration<double>(aNow - aView.mLoadAt).count();
  return aView.mLoad * std::exp(-std::max(0.0, age) / kLoadDecaySeconds);
}

std::vector<Candidate>
RankByHash(uint64_t aFlowHash,
           const std::vector<const cluster::BackendRecord*>& aServers,
           const std::string& aLocalDomain,
           size_t aLimit)
{
  struct Scored
  {
    uint64_t mScore;
    const cluster::BackendRecord* mRecord;
  };
  std::vector<Scored> scored;
  scored.reserve(aServers.size());
  for (const cluster::BackendRecord* server : aServers) {
    const uint64_t seed = HashAddress(server->mAgent, kCandidateSeed);
    scored.push_back({ HashWord(aFlowHash, seed), server });
  }
  std::ranges::sort(scored, std::ranges::greater{}, &Scored::mScore);
  std::vector<Candidate> candidates;
  size_t local = 0;
  size_t remote = 0;
  for (const Scored& item : scored) {
    const bool isLocal = item.mRecord->mDomain == aLocalDomain;
    size_t& count = isLocal ? local : remote;
    if (count == aLimit) {
      continue;
    }
    ++count;
    candidates.push_back({ item.mRecord,
                           nullptr,
                           isLocal,
                           static_cast<uint32_t>(candidates.size()) });
  }
  return candidates;
}

std::optional<size_t>
BestCandidate(const std::vector<Candidate>& aCandidates, Instant aNow)
{
  std::optional<size_t> best;
  double bestCost = 0.0;
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    const double cost = Cost(aCandidates[i], aNow);
    if (!best || cost < bestCost) {
      best = i;
      bestCost = cost;
    }
  }
  return best;
}

} // namespace snipepost::flow
