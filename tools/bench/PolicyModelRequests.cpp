#include "tools/bench/PolicyModelState.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace snipepost::bench {

namespace {

/// Time in which a server refuses a request.
constexpr Duration kRefusalTime = 200us;

double
Milliseconds(Duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

} // namespace

void
PolicyModel::IssueRequest(size_t aFlow, size_t aRequest)
{
  FlowModel& flow = mFlows[aFlow];
  if (mNow >= kMeasureStart) {
    ++mResult.mRequests;
    ++mResult.mRequestsByClass[static_cast<size_t>(
      flow.mPlan->mRequests[aRequest].mClass)];
  }
  if (flow.mEnded) {
    mResult.mNotRun += mNow >= kMeasureStart ? 1 : 0;
  } else if (flow.mOpen) {
    SendRequest(aFlow, aRequest);
  } else {
    flow.mWaiting.push_back(aRequest);
  }
}

void
PolicyModel::SendRequest(size_t aFlow, size_t aRequest)
{
  const FlowModel& flow = mFlows[aFlow];
  const PlannedRequest& plan = flow.mPlan->mRequests[aRequest];
  const Instant plannedTime = flow.mPlan->mStartTime + plan.mOffset;
  const RequestId id(++mLastRequest);
  const size_t server = flow.mServer;
  mPending.emplace(id, PendingRequest{ aFlow, &plan, plannedTime, server });
  const Duration time =
    mOptions.mSite.mToCallers + HopTime(PickEntry(), DomainOf(server));
  ScheduleAfter(time, [this, id, server, aFlow, &plan, plannedTime] {
    const auto owner = std::ranges::find(
      mOwned[server], aFlow, &std::map<FlowId, size_t>::value_type::second);
    if (owner == mOwned[server].end()) {
      // The flow was closed while the request was in transit, so the agent
      // never received the request.
      CountOutcome(id, &ModelResult::mNotRun);
      return;
    }
    Deliver(
      server,
      RequestArrived{ .mRequest = id,
                      .mFlow = owner->first,
                      .mClass = plan.mClass,
                      .mIdempotent = plan.mClass != RequestClass::Submission,
                      .mDeadline = plannedTime + DeadlineOf(plan.mClass) });
  });
}

void
PolicyModel::Deliver(size_t aServer, const Event& aEvent)
{
  for (const Effect& effect : mAgents[aServer].mCore.Handle(aEvent, mNow)) {
    Apply(aServer, effect);
  }
}

void
PolicyModel::Apply(size_t aServer, const Effect& aEffect)
{
  if (const auto* forward = std::get_if<ForwardRequest>(&aEffect)) {
    ForwardToServer(aServer, *forward);
  } else if (const auto* reject = std::get_if<Reject>(&aEffect)) {
    CountOutcome(reject->mRequest, &ModelResult::mNotRun);
  } else if (const auto* unknown =
               std::get_if<RespondOutcomeUnknown>(&aEffect)) {
    CountOutcome(unknown->mRequest, &ModelResult::mUnknown);
  } else if (const auto* cancel = std::get_if<Cancel>(&aEffect)) {
    const RequestId id = cancel->mRequest;
    mAgents[aServer].mServer.mRunning.erase(id);
    ScheduleAt(mNow, [this, aServer, id] {
      Deliver(
        aServer,
        BackendResult{ .mRequest = id, .mOutcome = BackendOutcome::Broken });
    });
  } else if (const auto* closed = std::get_if<CloseFlow>(&aEffect)) {
    OnFlowClosedByAgent(aServer, closed->mFlow, true);
  } else if (std::holds_alternative<SendFinalGoaway>(aEffect)) {
    std::vector<FlowId> flows;
    for (const auto& [id, flow] : mOwned[aServer]) {
      flows.push_back(id);
    }
    for (const FlowId flow : flows) {
      OnFlowClosedByAgent(aServer, flow, false);
    }
  }
}

void
PolicyModel::ForwardToServer(size_t aServer, const ForwardRequest& aEffect)
{
  ServerModel& server = mAgents[aServer].mServer;
  const RequestId id = aEffect.mRequest;
  const uint64_t run = ++mLastRun;
  if (aServer < kInteractiveServers) {
    ++mResult.mRequestsPerServer[aServer];
  }
  const bool overloads = server.mRunning.size() >= server.Capacity(mNow);
  const auto outcome =
    overloads ? BackendOutcome::Refused : BackendOutcome::Answered;
  mResult.mColdOverloads += overloads ? 1 : 0;
  Duration time = kRefusalTime;
  if (!overloads) {
    time = std::chrono::duration_cast<Duration>(
      mPending.at(id).mPlan->mServiceTime / server.Speed(mNow));
  }
  // A refused request counts as running until the refusal is sent.
  server.mRunning[id] = run;
  ScheduleAfter(time, [this, aServer, id, run, outcome] {
    auto& running = mAgents[aServer].mServer.mRunning;
    const auto found = running.find(id);
    if (found != running.end() && found->second == run) {
      running.erase(found);
      FinishRequest(aServer, id, outcome);
    }
  });
}

void
PolicyModel::FinishRequest(size_t aServer,
                           RequestId aRequest,
                           BackendOutcome aOutcome)
{
  if (aOutcome == BackendOutcome::Answered) {
    const Duration returnTime =
      HopTime(DomainOf(aServer), PickEntry()) + mOptions.mSite.mToCallers;
    ScheduleAfter(returnTime, [this, aRequest] { DeliverResponse(aRequest); });
  }
  Deliver(aServer, BackendResult{ .mRequest = aRequest, .mOutcome = aOutcome });
}

void
PolicyModel::DeliverResponse(RequestId aRequest)
{
  const auto found = mPending.find(aRequest);
  if (found == mPending.end()) {
    return;
  }
  const PendingRequest pending = found->second;
  mPending.erase(found);
  if (pending.mPlannedTime < kMeasureStart) {
    return;
  }
  const auto classIndex = static_cast<size_t>(pending.mPlan->mClass);
  const double latency = Milliseconds(mNow - pending.mPlannedTime);
  mResult.mLatencies[classIndex].push_back(latency);
  const auto bucket = static_cast<size_t>((mNow - kMeasureStart) / kBucketTime);
  const bool hasBucket = bucket < mResult.mBuckets.size();
  if (hasBucket && pending.mPlan->mClass != RequestClass::Bulk) {
    mResult.mBuckets[bucket].mLatencies.push_back(latency);
  }
  if (mNow - pending.mPlannedTime <= DeadlineOf(pending.mPlan->mClass)) {
    ++mResult.mGood;
    ++mResult.mGoodByClass[classIndex];
    mResult.mGoodWork += Milliseconds(pending.mPlan->mServiceTime) / 1000;
    if (hasBucket) {
      ++mResult.mBuckets[bucket].mGood;
    }
  }
}

void
PolicyModel::CountOutcome(RequestId aRequest, size_t ModelResult::*aCounter)
{
  // The caller receives the outcome some milliseconds later. This delay isn't
  // modelled, because no figure depends on it.
  const auto found = mPending.find(aRequest);
  if (found == mPending.end()) {
    return;
  }
  mResult.*aCounter += found->second.mPlannedTime >= kMeasureStart ? 1 : 0;
  mPending.erase(found);
}

} // namespace snipepost::bench
