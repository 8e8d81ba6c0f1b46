#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include <snipepost/Base/Types.h>
#include <snipepost/Cluster/BackendRecord.h>
#include <snipepost/Flow/NodeMessage.h>

namespace snipepost::flow {

/// An entry instance's state of one agent. It comes only from messages between
/// the two, since an agent that this instance can't reach may be reachable for
/// another entry instance.
struct AgentView
{
  /// Estimated requests at the backend server at mLoadAt.
  double mLoad = 0.0;
  Instant mLoadAt;
  bool mCold = false;
  /// Smoothed time from an offer to its reply; zero before the first.
  Duration mReplyTime{};
  /// Consecutive offers and owner lookups without a reply in time, and when the
  /// first of them was sent.
  uint32_t mUnansweredOffers = 0;
  Instant mUnansweredSince;
  /// No offer is made before this time unless no other candidate is left.
  Instant mAvoidUntil;
  Refusal mLastRefusal = Refusal::None;
};

/// A backend server to which a new flow may be offered.
struct Candidate
{
  const cluster::BackendRecord* mRecord = nullptr;
  const AgentView* mView = nullptr;
  bool mLocal = false;
  /// Position among the candidates of the flow, from 0: those of the local
  /// failure domain first, each group in rendezvous order.
  uint32_t mRank = 0;
};

/// Load estimate that decays with the age of the report: a request takes tens
/// of milliseconds, so an old report has no value.
double
EstimatedLoad(const AgentView& aView, Instant aNow);

/// Index of the best candidate in aCandidates: reachable ones first, then by
/// expected wait, which includes the network path and the slower service of a
/// cold backend server. Nothing when aCandidates is empty.
std::optional<size_t>
BestCandidate(const std::vector<Candidate>& aCandidates, Instant aNow);

} // namespace snipepost::flow
