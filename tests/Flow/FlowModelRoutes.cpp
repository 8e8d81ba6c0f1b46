// Requests of the callers in a model with several routes.

#include "tests/Flow/FlowModel.h"

#include <algorithm>
#include <utility>

#include "tests/Flow/FlowModelNodes.h"

namespace snipepost::flow {

namespace {

/// Data of a request.
constexpr uint16_t kRequestLength = 100;
/// Longest time from a caller's first SYN until an idle server without other
/// offers starts its request.
constexpr Duration kUnloadedStartTime =
  3 * kCallerPath + 2 * kRemotePath + kHandshake;

} // namespace

LoadResult*
FlowModel::CurrentResult()
{
  return mPhase ? &mLoadResults[*mPhase] : nullptr;
}

RouteResult&
FlowModel::ResultOf(const RouteRequest& aRequest)
{
  return mLoadResults[aRequest.mPhase].mRoutes[aRequest.mRoute];
}

Duration
FlowModel::ServiceTimeOf(const Address& aService) const
{
  for (const ModelRoute& route : mOptions.mRoutes) {
    if (route.mAddress == aService) {
      return route.mServiceTime;
    }
  }
  return mOptions.mServiceTime;
}

FlowModel::RouteRequest*
FlowModel::FindAttempt(const Address& aCaller)
{
  const auto found = mRouteRequests.find(aCaller.mIp);
  const bool current = found != mRouteRequests.end() &&
                       found->second.mCaller == aCaller && !found->second.mDone;
  return current ? &found->second : nullptr;
}

bool
FlowModel::KeepsFlows(const Address& aService) const
{
  return std::ranges::any_of(mOptions.mRoutes, [&](const ModelRoute& aRoute) {
    return aRoute.mAddress == aService && aRoute.mKeptFlows > 0;
  });
}

void
FlowModel::OpenRouteRequest(size_t aRoute)
{
  std::deque<Address>& idle = mIdleFlows[aRoute];
  if (idle.empty()) {
    StartAttempt(AddRequest(aRoute, mNextCaller++));
    return;
  }
  const uint32_t ip = idle.front().mIp;
  idle.pop_front();
  ContinueFlow(aRoute, ip);
}

void
FlowModel::ContinueFlow(size_t aRoute, uint32_t aIp)
{
  RouteRequest& request = AddRequest(aRoute, aIp);
  ++request.mAttempts;
  request.mAttempt = ++mAttemptCount;
  request.mSent += kRequestLength;
  SendRequest(request);
  ScheduleTimeout(request);
}

FlowModel::RouteRequest&
FlowModel::AddRequest(size_t aRoute, uint32_t aIp)
{
  RouteRequest& request = mRouteRequests[aIp];
  request.mRoute = aRoute;
  request.mPhase = *mPhase;
  request.mStart = mNow;
  request.mAttempts = 0;
  request.mDone = false;
  request.mReceived = false;
  request.mRunning = false;
  if (request.mCaller == Address()) {
    request.mCaller = { aIp, kFirstPort - 1 };
  }
  ++ResultOf(request).mRequestCount;
  // When these times are over, a later request may use the flow.
  ScheduleAt(mNow + kUnloadedStartTime, [this, aIp, start = mNow] {
    RouteRequest& waiting = mRouteRequests[aIp];
    if (waiting.mStart == start) {
      SetWaiting(waiting, !waiting.mRunning);
    }
  });
  ScheduleAt(mNow + mOptions.mRoutes[aRoute].mObjective,
             [this, aIp, start = mNow] {
               RouteRequest& waiting = mRouteRequests[aIp];
               if (waiting.mStart == start) {
                 SetWaiting(waiting, waiting.mWaiting && !waiting.mDone);
               }
             });
  return request;
}

void
FlowModel::StartAttempt(RouteRequest& aRequest)
{
  ++aRequest.mAttempts;
  ++aRequest.mCaller.mPort;
  aRequest.mAttempt = ++mAttemptCount;
  aRequest.mSent = 0;
  aRequest.mSequence = static_cast<uint32_t>(mRandom.Below(1U << 31));
  aRequest.mOpened = false;
  aRequest.mReceived = false;
  aRequest.mRunning = false;
  aRequest.mResponses = 0;
  SendSyn(aRequest, 0);
  uint32_t retransmission = 0;
  for (const Duration& wait : kRetransmissionTimes) {
    ++retransmission;
    ScheduleInAttempt(
      aRequest, wait, [this, retransmission](RouteRequest& aCurrent) {
        if (!aCurrent.mOpened) {
          SendSyn(aCurrent, retransmission);
        }
      });
  }
  ScheduleInAttempt(aRequest, kConnectTimeout, [this](RouteRequest& aCurrent) {
    if (!aCurrent.mOpened) {
      EndAttempt(aCurrent, false);
    }
  });
  ScheduleTimeout(aRequest);
}

void
FlowModel::ScheduleTimeout(const RouteRequest& aRequest)
{
  const ModelRoute& route = mOptions.mRoutes[aRequest.mRoute];
  ScheduleInAttempt(
    aRequest, route.mTimeout, [this, &route](RouteRequest& aCurrent) {
      if (route.mKeptFlows > 0 && aCurrent.mOpened) {
        Packet reset;
        reset.mSource = aCurrent.mCaller;
        reset.mDestination = route.mAddress;
        reset.mReset = true;
        SendFromCaller(reset);
      }
      EndAttempt(aCurrent, false);
    });
}

void
FlowModel::ScheduleInAttempt(const RouteRequest& aRequest,
                             Duration aDelay,
                             std::function<void(RouteRequest&)> aAction)
{
  ScheduleAt(mNow + aDelay,
             [this,
              caller = aRequest.mCaller,
              attempt = aRequest.mAttempt,
              action = std::move(aAction)] {
               RouteRequest* request = FindAttempt(caller);
               if (request && request->mAttempt == attempt) {
                 action(*request);
               }
             });
}

void
FlowModel::SendSyn(const RouteRequest& aRequest, uint32_t aRetransmission)
{
  Packet syn = SynPacket(aRequest.mCaller, aRequest.mSequence, aRetransmission);
  syn.mDestination = mOptions.mRoutes[aRequest.mRoute].mAddress;
  SendFromCaller(syn);
}

void
FlowModel::SendRequestData(const RouteRequest& aRequest)
{
  Packet data =
    CallerData(aRequest.mCaller, aRequest.mBackendSequence + 1, kRequestLength);
  data.mSequence = aRequest.mSent;
  data.mDestination = mOptions.mRoutes[aRequest.mRoute].mAddress;
  SendFromCaller(data);
}

void
FlowModel::DeliverToRouteCaller(const Packet& aPacket)
{
  RouteRequest* request = FindAttempt(aPacket.mDestination);
  if (!request) {
    return;
  }
  if (aPacket.mReset) {
    EndAttempt(*request, true);
  } else if (aPacket.IsSynAck()) {
    OnRouteSynAck(*request, aPacket);
  } else {
    OnRouteResponse(*request);
  }
}

void
FlowModel::OnRouteSynAck(RouteRequest& aRequest, const Packet& aPacket)
{
  if (aRequest.mOpened) {
    return;
  }
  aRequest.mOpened = true;
  aRequest.mBackendSequence = aPacket.mSequence;
  SendRequest(aRequest);
}

void
FlowModel::SendRequest(const RouteRequest& aRequest)
{
  SendRequestData(aRequest);
  for (const Duration& wait : kRetransmissionTimes) {
    ScheduleInAttempt(aRequest, wait, [this](RouteRequest& aCurrent) {
      if (!aCurrent.mReceived) {
        SendRequestData(aCurrent);
      }
    });
  }
}

void
FlowModel::OnRouteResponse(RouteRequest& aRequest)
{
  aRequest.mDone = true;
  SetWaiting(aRequest, false);
  RouteResult& result = ResultOf(aRequest);
  const Duration latency = mNow - aRequest.mStart;
  const bool inTime = latency <= mOptions.mRoutes[aRequest.mRoute].mObjective;
  ++(inTime ? result.mInTime : result.mLate);
  if (mOptions.mRoutes[aRequest.mRoute].mKeptFlows > 0) {
    mIdleFlows[aRequest.mRoute].push_back(aRequest.mCaller);
  }
  mLoadResults[aRequest.mPhase].mLatencies.push_back(latency);
  ++aRequest.mResponses;
  const ModelRoute& route = mOptions.mRoutes[aRequest.mRoute];
  if (aRequest.mResponses < route.mRequestsPerFlow) {
    ScheduleAt(mNow + route.mPause,
               [this, index = aRequest.mRoute, ip = aRequest.mCaller.mIp] {
                 if (mPhase) {
                   ContinueFlow(index, ip);
                 }
               });
  }
}

bool
FlowModel::EndsFlow(const FlowTuple& aFlow) const
{
  const auto found = mRouteRequests.find(aFlow.mCaller.mIp);
  return !KeepsFlows(aFlow.mService) &&
         (found == mRouteRequests.end() ||
          found->second.mResponses + 1 >=
            mOptions.mRoutes[found->second.mRoute].mRequestsPerFlow);
}

void
FlowModel::EndAttempt(RouteRequest& aRequest, bool aReset)
{
  const bool idempotent =
    mOptions.mRoutes[aRequest.mRoute].mKind != cluster::RequestKind::Unsafe;
  const bool retries =
    aRequest.mAttempts < kMaxAttempts && (idempotent || !aRequest.mOpened);
  if (!retries) {
    FailRequest(aRequest, aReset);
    return;
  }
  SetWaiting(aRequest, aRequest.mWaiting || aRequest.mRunning);
  StartAttempt(aRequest);
}

void
FlowModel::FailRequest(RouteRequest& aRequest, bool aReset)
{
  const Duration objective = mOptions.mRoutes[aRequest.mRoute].mObjective;
  const Duration elapsed = mNow - aRequest.mStart;
  aRequest.mDone = true;
  if (elapsed >= objective) {
    SetWaiting(aRequest, false);
  }
  RouteResult& result = ResultOf(aRequest);
  ++result.mFailed;
  result.mRefusedAtOnce +=
    aReset && !aRequest.mOpened && elapsed <= objective / 10;
  mFailureTimes[aRequest.mPhase].push_back(elapsed);
}

void
FlowModel::SetWaiting(RouteRequest& aRequest, bool aWaiting)
{
  if (aRequest.mWaiting == aWaiting) {
    return;
  }
  CountIdleTime();
  aRequest.mWaiting = aWaiting;
  if (aWaiting) {
    ++mWaitingRequests;
  } else {
    --mWaitingRequests;
  }
}

void
FlowModel::CountIdleTime()
{
  const Duration elapsed = mNow - std::exchange(mIdleTimeCountedTo, mNow);
  LoadResult* result = CurrentResult();
  if (!result || elapsed == Duration::zero()) {
    return;
  }
  size_t idle = 0;
  for (const auto& agent : mAgents) {
    idle += agent->IdleSlots();
  }
  result->mIdleTime +=
    elapsed * static_cast<int64_t>(std::min(idle, mWaitingRequests));
}

} // namespace snipepost::flow
