#include "src/FlowDaemon/NodeMetrics.h"

namespace snipepost {

NodeMetrics::NodeMetrics()
  : mPacketsIn(
      mRegistry.AddCounter("snipepost_packets_in_total", "Packets received"))
  , mPacketsOut(
      mRegistry.AddCounter("snipepost_packets_out_total", "Packets sent on"))
  , mMalformedPackets(mRegistry.AddCounter("snipepost_malformed_packets_total",
                                           "Packets that can't be read"))
  , mMalformedMessages(
      mRegistry.AddCounter("snipepost_malformed_messages_total",
                           "Messages of other instances that can't be read"))
  , mHeartbeats(mRegistry.AddCounter("snipepost_heartbeats_total",
                                     "Heartbeats of the backend server"))
  , mRejectedHeartbeats(
      mRegistry.AddCounter("snipepost_rejected_heartbeats_total",
                           "Heartbeats that are malformed or out of date"))
  , mBackendChecks(mRegistry.AddCounter(
      "snipepost_backend_checks_total",
      "Connections to a backend server that may have ended"))
  , mOverflowFlows(mRegistry.AddCounter(
      "snipepost_overflow_flows_total",
      "Flows accepted by another service than the weights of the route chose"))
  , mPeerFetches(mRegistry.AddCounter("snipepost_peer_fetches_total",
                                      "Parts of the state asked of a peer"))
  , mPeerSnapshots(
      mRegistry.AddCounter("snipepost_peer_snapshots_total",
                           "Whole parts of the state received from peers"))
  , mPeerFetchBytes(mRegistry.AddCounter("snipepost_peer_fetch_bytes_total",
                                         "Bytes of state received from peers"))
  , mStoreReachable(mRegistry.AddGauge("snipepost_store_reachable",
                                       "1 while the store answers"))
  , mStoreEpoch(mRegistry.AddGauge(
      "snipepost_store_epoch",
      "Epoch of the store's state, higher after each restore from a copy"))
  , mConfigVersion(mRegistry.AddGauge("snipepost_config_version",
                                      "Version of the configuration in force"))
  , mEvacuations(mRegistry.AddGauge("snipepost_evacuated_domains",
                                    "Failure domains that are evacuated"))
  , mBackends(mRegistry.AddGauge("snipepost_backend_records",
                                 "Backend servers that are announced"))
  , mFlows(mRegistry.AddGauge("snipepost_flows", "Flows in the table"))
  , mLoad(mRegistry.AddGauge("snipepost_backend_load",
                             "Requests at the backend server"))
  , mWaitingFlows(
      mRegistry.AddGauge("snipepost_waiting_flows",
                         "New flows that wait at the agent for a slot"))
  , mWaitingRequests(mRegistry.AddGauge(
      "snipepost_waiting_requests",
      "Requests on open flows that wait at the agent for a slot"))
  , mServiceTime(mRegistry.AddGauge("snipepost_backend_service_seconds",
                                    "Mean time that a request occupies a slot"))
  , mQueueLimit(
      mRegistry.AddGauge("snipepost_backend_queue_limit",
                         "Requests that the backend server queues, as learnt"))
  , mLogLinesDropped(mRegistry.AddGauge("snipepost_log_lines_dropped",
                                        "Log lines above the rate"))
  , mPlacement(
      mRegistry.AddLatency("snipepost_placement_seconds",
                           "First opening packet until an agent took the flow"))
  , mOpening(
      mRegistry.AddLatency("snipepost_opening_seconds",
                           "Opening packet until the backend server's answer"))
{
  for (size_t i = 0; i < kVerdicts; ++i) {
    const auto name = flow::ToString(static_cast<flow::Verdict>(i));
    mDecisions[i] =
      &mRegistry.AddCounter("snipepost_decisions_total",
                            "Decisions about flows",
                            "verdict=\"" + std::string(name) + '"');
  }
}

void
NodeMetrics::OnDecision(const flow::Decision& aDecision)
{
  mDecisions.at(static_cast<size_t>(aDecision.mVerdict))->Add();
  if (aDecision.mVerdict == flow::Verdict::Placed) {
    mPlacement.Record(aDecision.mElapsed);
    if (!aDecision.mService.empty()) {
      mOverflowFlows.Add();
    }
  } else if (aDecision.mVerdict == flow::Verdict::Opened) {
    mOpening.Record(aDecision.mElapsed);
  }
}

} // namespace snipepost
