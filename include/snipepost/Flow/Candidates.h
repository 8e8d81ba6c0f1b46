#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <snipepost/Base/Types.h>
#include <snipepost/Cluster/BackendRecord.h>
#include <snipepost/Flow/NodeMessage.h>

namespace snipepost::flow {

/// Requests of a cold backend server take longer by this factor.
constexpr double kColdFactor = 1.6;

/// The expected waits and the capacity that an agent reported, in whole
/// milliseconds. Kept small, since an entry instance may have thousands of
/// agents.
struct WaitReport
{
  static constexpr uint16_t kUnknownUtilisation = UINT16_MAX;

  struct Wait
  {
    uint16_t mMilliseconds = 0;
    uint8_t mPriority = 0;
  };

  std::array<Wait, OfferReply::kMaxWaits> mWaits{};
  uint8_t mCount = 0;
  /// Mean service time; 0 when unknown.
  uint16_t mServiceMilliseconds = 0;
  /// In per mille.
  uint16_t mUtilisation = kUnknownUtilisation;
  Instant mAt;
};

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
  /// Whether the last reply announced that the agent reads
  /// Packet::mReadsWaits, and when it arrived.
  bool mAnnouncedWaits = false;
  Instant mRepliedAt;
  WaitReport mWaits;
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

/// Takes the announcement, the waits and the capacity of a reply into aView.
void
UpdateWaits(AgentView& aView, const OfferReply& aReply, Instant aNow);

/// True when the agent reads Packet::mReadsWaits. An announcement is forgotten
/// 10 s after the last reply, as the agent may have been replaced by one of the
/// previous version.
bool
ReadsWaits(const AgentView& aView, Instant aNow);

/// The wait that the agent reported for a priority, less the age of the report;
/// nothing when there is no report, or it is older than 500 ms.
std::optional<Duration>
ExpectedWait(const AgentView& aView, uint32_t aPriority, Instant aNow);

/// The mean service time that the agent reported; nothing when it is unknown,
/// or the report is older than 10 s.
std::optional<Duration>
ReportedServiceTime(const AgentView& aView, Instant aNow);

/// The utilisation that the agent reported, from 0 to 1; nothing when it is
/// unknown, or the report is older than 10 s.
std::optional<double>
ReportedUtilisation(const AgentView& aView, Instant aNow);

/// Index of the best candidate in aCandidates: reachable ones first, then by
/// expected wait, which includes the network path and the slower service of a
/// cold backend server. Nothing when aCandidates is empty.
std::optional<size_t>
BestCandidate(const std::vector<Candidate>& aCandidates, Instant aNow);

} // namespace snipepost::flow
