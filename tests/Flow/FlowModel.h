#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <snipepost/Base/Random.h>
#include <snipepost/Flow/FlowAgentCore.h>
#include <snipepost/Flow/FlowEntryCore.h>

#include "tests/Flow/Samples.h"

namespace snipepost::flow {

/// A route of a FlowModel; all routes send their flows to the same service.
struct ModelRoute
{
  Address mAddress;
  /// 0 is the most urgent.
  uint32_t mPriority = 0;
  cluster::RequestKind mKind = cluster::RequestKind::Safe;
  /// Target latency.
  Duration mObjective = std::chrono::milliseconds(300);
  /// Time from an attempt's first SYN after which its caller stops waiting for
  /// the response.
  Duration mTimeout = std::chrono::milliseconds(2500);
  /// Mean; service times are evenly distributed from half of it to one and a
  /// half times.
  Duration mServiceTime = std::chrono::milliseconds(25);
  /// Flows that the callers open at the start of RunPhases() and keep open.
  /// Each request uses the flow that has been idle for longest; a request that
  /// finds none opens a flow, which is kept, too. 0: each request opens a flow,
  /// which is closed after the response.
  size_t mKeptFlows = 0;
  /// A caller sends the next request of a flow mPause after the response to the
  /// previous one.
  uint32_t mRequestsPerFlow = 1;
  Duration mPause{};
};

/// Parameters of a FlowModel.
struct ModelOptions
{
  size_t mEntries = 4;
  size_t mServers = 12;
  uint32_t mSlots = 2;
  Duration mServiceTime = std::chrono::milliseconds(25);
  Duration mObjective = std::chrono::milliseconds(200);
  /// Queue length of a backend server beyond its slots. Without mRoutes it
  /// opens every flow and sheds further requests; with mRoutes it returns
  /// further SYNs.
  size_t mQueue = 16;
  uint64_t mSeed = 1;
  /// When empty, the model has one route to kService with mServiceTime and
  /// mObjective, and its callers do not retry.
  std::vector<ModelRoute> mRoutes;
  /// When above 0, the last servers, as many, are of a second service, to which
  /// the weights send a tenth of the flows. Only without mRoutes.
  size_t mSplitServers = 0;
  /// EntryOptions::mOverflowBetweenServices.
  bool mOverflow = true;
  /// By backend server, repeated for further ones: the factor by which the
  /// server is faster than the service times. All have 1 when empty.
  std::vector<double> mSpeeds;
  /// Percentage of the callers that use the entry instances of the first
  /// failure domain instead of their own.
  uint32_t mMovedCallers = 0;
};

/// Results as seen by the callers.
struct ModelResult
{
  size_t mRequestCount = 0;
  size_t mInTime = 0;
  size_t mLate = 0;
  size_t mRejected = 0;
  /// Reset by a backend server.
  size_t mFailed = 0;
  size_t mOffers = 0;
  /// Offers without a reply in time.
  size_t mUnansweredOffers = 0;
  /// Accepted by agents of the second service.
  size_t mPlacedAtSecond = 0;
  /// Accepted by agents of another service than the weights chose.
  size_t mOverflows = 0;

  double InTimeShare() const
  {
    return mRequestCount == 0 ? 1.0
                              : static_cast<double>(mInTime) /
                                  static_cast<double>(mRequestCount);
  }
};

/// A period of constant load on a model with ModelOptions::mRoutes.
struct LoadPhase
{
  Duration mTime{};
  /// Requests per second of each route, in the order of ModelOptions::mRoutes.
  std::vector<double> mPerSecond;
  /// Failure domains that are evacuated during the phase.
  std::vector<std::string> mEvacuated;
};

/// Results of the requests of one route whose first attempt began in a phase.
/// Each request is in time, late or failed; the latency counts from its first
/// attempt.
struct RouteResult
{
  size_t mRequestCount = 0;
  size_t mInTime = 0;
  size_t mLate = 0;
  size_t mFailed = 0;
  /// Failed because the last attempt was refused with a reset before the flow
  /// opened, within a tenth of the target latency.
  size_t mRefusedAtOnce = 0;
};

/// Results of a phase.
struct LoadResult
{
  /// In the order of ModelOptions::mRoutes.
  std::vector<RouteResult> mRoutes;
  /// SYNs that reached backend servers during the phase, without
  /// retransmissions of those that the server has answered.
  size_t mSynsAtServers = 0;
  size_t mReturnedSyns = 0;
  /// Requests that reached backend servers during the phase, without
  /// retransmissions.
  size_t mRequestsAtServers = 0;
  /// Those of them that arrived when the server had as many requests as its
  /// agent's window: the slots and the look-ahead.
  size_t mAboveWindow = 0;
  /// Data packets that reached a backend server before an earlier one of their
  /// flow.
  size_t mOutOfOrder = 0;
  size_t mOffers = 0;
  size_t mAcceptedOffers = 0;
  /// Median time from the first attempt of a request that failed to the end of
  /// its last one; zero if none failed.
  Duration mMedianFailureTime{};
  /// Sum over the slots of the servers that are not evacuated of the time that
  /// they were idle while other requests waited. With fewer waiting requests
  /// than idle slots, only as many slots count. A request waits from the time
  /// at which it would have started without load until a server starts it, and
  /// after it failed until the end of its target latency.
  Duration mIdleTime{};
  /// Times from the first attempt to the response.
  std::vector<Duration> mLatencies;
  /// By backend server, the sum of the service times that began in the phase.
  std::vector<Duration> mBusyTimes;

  /// The sum over all routes.
  RouteResult Total() const;
  /// Offers of the phase that were not accepted during it.
  size_t OffersWithoutAcceptance() const
  {
    return mOffers - std::min(mOffers, mAcceptedOffers);
  }
};

/// Discrete-event simulation of loads, without sockets: FlowEntryCore and
/// FlowAgentCore between simplified callers and backend servers, with a delay
/// for each message.
class FlowModel
{
public:
  explicit FlowModel(const ModelOptions& aOptions);
  ~FlowModel();

  /// Callers open aPerSecond flows, one request each, for aTime.
  ModelResult Run(double aPerSecond, Duration aTime);

  /// Callers of ModelOptions::mRoutes make requests in successive phases
  /// without a pause. A caller retransmits its SYN and abandons the attempt as
  /// in docs/design/overload.md. After a reset or an abandoned attempt it
  /// retries at once from another port, up to twice, when the route is
  /// idempotent or the flow never opened.
  std::vector<LoadResult> RunPhases(const std::vector<LoadPhase>& aPhases);

  /// Sets an additional delay of every message between instances, as during
  /// processor overload; zero removes it.
  void DelayMessages(Duration aDelay) { mExtraDelay = aDelay; }
  /// Stops a backend server and its agent without notice.
  void KillServer(size_t aIndex);
  /// Sets whether a backend server resets each flow on its first request.
  void SetFailing(size_t aIndex, bool aFailing);

private:
  class Entry;
  template<typename Core>
  class Timer;
  class Agent;
  struct Request;
  struct RouteRequest;

  void ScheduleAt(Instant aTime, std::function<void()> aAction);
  void RunUntil(Instant aEnd);
  Duration PathDelay(size_t aEntry, size_t aAgent);
  void OpenFlow(ModelResult& aResult);
  void SendFromCaller(const Packet& aPacket);
  void DeliverToCaller(const Packet& aPacket);
  size_t EntryOf(const Address& aCaller) const;
  std::string ServiceOf(size_t aServer) const;

  bool HasRoutes() const { return !mOptions.mRoutes.empty(); }
  Duration ServiceTimeOf(const Address& aService) const;
  bool KeepsFlows(const Address& aService) const;
  void RunFor(Duration aTime);
  void BeginPhase(const LoadPhase& aPhase);
  void SetEvacuated(const std::vector<std::string>& aDomains);
  /// Adds the decisions since the last call to the phase's result.
  void CountDecisions();
  void OpenRouteRequest(size_t aRoute);
  /// Sends the next request on the open flow of a caller.
  void ContinueFlow(size_t aRoute, uint32_t aIp);
  /// Adds a request of the caller with the address aIp, whose earlier requests
  /// have ended.
  RouteRequest& AddRequest(size_t aRoute, uint32_t aIp);
  void StartAttempt(RouteRequest& aRequest);
  /// Runs aAction after aDelay if the current attempt of the request has not
  /// ended by then.
  void ScheduleInAttempt(const RouteRequest& aRequest,
                         Duration aDelay,
                         std::function<void(RouteRequest&)> aAction);
  void SendSyn(const RouteRequest& aRequest, uint32_t aRetransmission);
  /// Ends the attempt after the route's timeout.
  void ScheduleTimeout(const RouteRequest& aRequest);
  /// Sends the request's data and its retransmissions.
  void SendRequest(const RouteRequest& aRequest);
  void SendRequestData(const RouteRequest& aRequest);
  void DeliverToRouteCaller(const Packet& aPacket);
  void OnRouteSynAck(RouteRequest& aRequest, const Packet& aPacket);
  void OnRouteResponse(RouteRequest& aRequest);
  /// True when the caller sends no further request on the flow.
  bool EndsFlow(const FlowTuple& aFlow) const;
  void EndAttempt(RouteRequest& aRequest, bool aReset);
  void FailRequest(RouteRequest& aRequest, bool aReset);
  /// The request whose current attempt is made from aCaller; null if none is.
  RouteRequest* FindAttempt(const Address& aCaller);
  RouteResult& ResultOf(const RouteRequest& aRequest);
  /// The result of the current phase; null outside of the phases.
  LoadResult* CurrentResult();
  /// Sets whether the request counts as waiting in LoadResult::mIdleTime.
  void SetWaiting(RouteRequest& aRequest, bool aWaiting);
  /// Adds the idle time since the last call; called before each change of the
  /// requests that run or wait.
  void CountIdleTime();

  ModelOptions mOptions;
  cluster::Replica mReplica;
  FakeDecisions mDecisions;
  Random mRandom;
  Instant mNow{ std::chrono::seconds(100) };
  Duration mExtraDelay{};
  std::vector<std::unique_ptr<Entry>> mEntries;
  std::vector<std::unique_ptr<Agent>> mAgents;
  std::map<Address, std::unique_ptr<Request>> mRequests;
  std::multimap<Instant, std::function<void()>> mEvents;
  uint32_t mNextCaller = 0x64400001;

  /// By the caller's IP address.
  std::map<uint32_t, RouteRequest> mRouteRequests;
  /// By route, the callers of idle flows, the longest idle one first.
  std::vector<std::deque<Address>> mIdleFlows;
  uint64_t mAttemptCount = 0;
  std::vector<LoadResult> mLoadResults;
  /// By phase, the times from the first attempts of failed requests to the ends
  /// of their last ones.
  std::vector<std::vector<Duration>> mFailureTimes;
  /// Nothing before the first phase and after the last one.
  std::optional<size_t> mPhase;
  std::vector<std::string> mEvacuated;
  uint64_t mEvacuationRevision = 1;
  size_t mWaitingRequests = 0;
  Instant mIdleTimeCountedTo;
};

} // namespace snipepost::flow
