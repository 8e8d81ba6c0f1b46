#pragma once

#include <array>
#include <cstdint>
#include <string>

#include <snipepost/Flow/Decision.h>
#include <snipepost/Metrics/Registry.h>

namespace snipepost {

/// Counters and histograms of a node.
class NodeMetrics
{
public:
  NodeMetrics();

  /// Counts a decision and its time.
  void OnDecision(const flow::Decision& aDecision);

  std::string Text() const { return mRegistry.PrometheusText(); }

  Registry mRegistry;
  Counter& mPacketsIn;
  Counter& mPacketsOut;
  Counter& mMalformedPackets;
  Counter& mMalformedMessages;
  Counter& mHeartbeats;
  Counter& mRejectedHeartbeats;
  Counter& mBackendChecks;
  Counter& mOverflowFlows;
  Counter& mPeerFetches;
  Counter& mPeerSnapshots;
  Counter& mPeerFetchBytes;
  Gauge& mStoreReachable;
  Gauge& mStoreEpoch;
  Gauge& mConfigVersion;
  Gauge& mEvacuations;
  Gauge& mBackends;
  Gauge& mFlows;
  Gauge& mLoad;
  Gauge& mWaitingFlows;
  Gauge& mWaitingRequests;
  Gauge& mServiceTime;
  Gauge& mQueueLimit;
  Gauge& mLogLinesDropped;

private:
  static constexpr size_t kVerdicts = 13;

  std::array<Counter*, kVerdicts> mDecisions{};
  LatencyHistogram& mPlacement;
  LatencyHistogram& mOpening;
};

} // namespace snipepost
