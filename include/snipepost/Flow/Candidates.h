#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include <snipepost/Base/Types.h>
#include <snipepost/Cluster/BackendRecord.h>
#include <snipepost/Flow/NodeMessage.h>

namespace snipepost::flow {

/// What an entry instance believes of one agent, from its own exchanges with
/// it only: another instance may reach it when this one does not.
struct AgentView
{
  /// Estimated requests at the backend server at mLoadAt.
  double mLoad = 0.0;
  Instant mLoadAt;
  bool mCold = false;
  /// Smoothed time from an offer to its reply; zero before the first.
  Duration mReplyTime{};
  /// Offers in a row that were not answered in time, and when the first of
  /// them was sent.
  uint32_t mUnanswered = 0;
  Instant mSilentSince;
  /// No offer before this time, unless nobody else is left.
  Instant mAvoidUntil;
  Refusal mLastRefusal = Refusal::None;
};

/// A backend server that may take a new flow.
struct Candidate
{
  const cluster::BackendRecord* mRecord = nullptr;
  const AgentView* mView = nullptr;
  bool mLocal = false;
  /// Position by the flow's hash, from 0.
  uint32_t mRank = 0;
};

/// Load estimate that is forgotten with time: a request takes tens of
/// milliseconds, so that an old report says nothing.
double
LoadNow(const AgentView& aView, Instant aNow);

/// The backend servers of a service in the order of the flow's hash, by
/// rendezvous hashing (Thaler and Ravishankar, 1998): an order that every node
/// finds alike and that changes little when servers come or go. At most
/// aLimit of the own failure domain and aLimit others.
std::vector<Candidate>
RankByHash(uint64_t aFlowHash,
           const std::vector<const cluster::BackendRecord*>& aServers,
           const std::string& aOwnDomain,
           size_t aLimit);

/// Position of the best candidate in aCandidates by what is known of it now:
/// reachable ones first, then the expected wait, which includes the path and
/// the start of the backend server. Nothing when there is none.
std::optional<size_t>
BestCandidate(const std::vector<Candidate>& aCandidates, Instant aNow);

} // namespace snipepost::flow
