#include <src/Daemon/RequestPipeline.h>

#include <algorithm>

#include <src/Daemon/ControlPlane.h>

namespace snipepost {

namespace {

/// Largest response body that is stored for duplicates of its request. A longer
/// one is delivered once, and duplicates get "outcome unknown".
constexpr size_t kMaxStoredBody = 16384;
constexpr size_t kMaxRelayedResponseBody = 1U << 20U;

std::span<const uint8_t>
AsBytes(std::string_view aText)
{
  return { reinterpret_cast<const uint8_t*>(aText.data()), aText.size() };
}

std::string
RemainingMs(Instant aDeadline, Instant aNow)
{
  const auto left =
    std::chrono::duration_cast<std::chrono::milliseconds>(aDeadline - aNow);
  return std::to_string(std::max<int64_t>(left.count(), 1));
}

http2::Request
ToRequest(const CallerRequest& aRequest, Instant aDeadline)
{
  const Instant now = MonotonicNow();
  http2::Request request;
  request.mMethod = aRequest.mMethod;
  request.mPath = aRequest.mPath;
  request.mHeaders = aRequest.mHeaders;
  request.mHeaders.emplace_back("deadline-ms", RemainingMs(aDeadline, now));
  request.mBody = aRequest.mBody;
  request.mTimeout =
    std::max<Duration>(aDeadline - now, std::chrono::milliseconds(1));
  return request;
}

BackendOutcome
OutcomeOf(http2::Result aResult, int aStatus)
{
  switch (aResult) {
    case http2::Result::Answered:
      return aStatus == 503 ? BackendOutcome::Shed : BackendOutcome::Answered;
    case http2::Result::Refused:
    case http2::Result::NotSent:
      return BackendOutcome::Refused;
    case http2::Result::TimedOut:
      return BackendOutcome::TimedOut;
    case http2::Result::Broken:
    case http2::Result::Cancelled:
      return BackendOutcome::Broken;
  }
  return BackendOutcome::Broken;
}

} // namespace

RequestPipeline::Counters::Counters(Registry& aRegistry)
  : mForwardedToBackend(
      aRegistry.AddCounter("snipepost_passed_on_requests_total",
                           "Requests sent to the backend server."))
  , mAnswered(aRegistry.AddCounter("snipepost_answered_requests_total",
                                   "Requests answered by the backend server."))
  , mNotRun(aRegistry.AddCounter("snipepost_not_run_requests_total",
                                 "Requests rejected before they ran."))
  , mOutcomeUnknown(aRegistry.AddCounter("snipepost_unknown_requests_total",
                                         "Requests whose outcome is unknown."))
  , mReplayed(aRegistry.AddCounter("snipepost_stored_answers_total",
                                   "Duplicates answered from the table."))
  , mRelayed(aRegistry.AddCounter("snipepost_relayed_requests_total",
                                  "Requests relayed to another agent."))
  , mLatency(aRegistry.AddLatency("snipepost_request_seconds",
                                  "Time from arrival to complete answer."))
{
}

RequestPipeline::RequestPipeline(asio::io_context& aContext,
                                 const Address& aBackend,
                                 PeerClients& aPeers,
                                 Registry& aRegistry,
                                 EventHandler aOnEvent)
  : mBackend(aContext, aBackend)
  , mPeers(aPeers)
  , mOnEvent(std::move(aOnEvent))
  , mCounters(aRegistry)
{
}

RequestPipeline::ActiveRequest*
RequestPipeline::Find(RequestId aRequest)
{
  const auto found = mActive.find(aRequest);
  return found == mActive.end() ? nullptr : &found->second;
}

RequestId
RequestPipeline::Add(CallerRequest aRequest,
                     std::unique_ptr<ResponseSink> aSink)
{
  const RequestId id(mNextId++);
  ActiveRequest& active = mActive[id];
  active.mRequest = std::move(aRequest);
  active.mSink = std::move(aSink);
  active.mArrived = MonotonicNow();
  return id;
}

void
RequestPipeline::Perform(const ForwardRequest& aEffect)
{
  const RequestId id = aEffect.mRequest;
  ActiveRequest* found = Find(id);
  if (!found) {
    return;
  }
  ActiveRequest& active = *found;
  active.mCallOpen = true;
  active.mResponse = {};
  mCounters.mForwardedToBackend.Add();
  http2::ResponseCallbacks callbacks;
  callbacks.mOnHeaders = [this, id](int aStatus, http2::Headers aHeaders) {
    OnHeaders(id, aStatus, std::move(aHeaders));
  };
  callbacks.mOnData = [this, id](http2::Chunk aChunk) { OnData(id, aChunk); };
  callbacks.mOnEnd = [this, id](http2::Result aResult) { OnEnd(id, aResult); };
  active.mBackendCall = mBackend.Send(
    ToRequest(active.mRequest, aEffect.mDeadline), std::move(callbacks));
}

void
RequestPipeline::OnHeaders(RequestId aRequest,
                           int aStatus,
                           http2::Headers aHeaders)
{
  ActiveRequest& active = mActive.at(aRequest);
  active.mResponse.mStatus = aStatus;
  active.mResponse.mHeaders = std::move(aHeaders);
  if (active.mSink) {
    active.mSink->Start(aStatus, active.mResponse.mHeaders);
    active.mStarted = true;
  }
}

void
RequestPipeline::OnData(RequestId aRequest, http2::Chunk aChunk)
{
  ActiveRequest& active = mActive.at(aRequest);
  if (!active.mRequest.mIdempotent &&
      active.mResponse.mBody.size() <= kMaxStoredBody) {
    active.mResponse.mBody += http2::AsText(aChunk);
  }
  if (!active.mSink) {
    mBackend.Consume(*active.mBackendCall, aChunk.size());
    return;
  }
  active.mPending += http2::AsText(aChunk);
  WritePending(active);
}

void
RequestPipeline::WritePending(ActiveRequest& aActive)
{
  if (!aActive.mSink) {
    return;
  }
  const size_t written = aActive.mSink->Write(AsBytes(aActive.mPending));
  aActive.mPending.erase(0, written);
  if (written > 0 && aActive.mCallOpen && aActive.mBackendCall) {
    mBackend.Consume(*aActive.mBackendCall, written);
  }
  if (aActive.mComplete && aActive.mPending.empty()) {
    aActive.mSink->End();
    aActive.mSink.reset();
  }
}

void
RequestPipeline::OnEnd(RequestId aRequest, http2::Result aResult)
{
  ActiveRequest& active = mActive.at(aRequest);
  active.mCallOpen = false;
  active.mBackendCall.reset();
  BackendResult result;
  result.mRequest = aRequest;
  result.mOutcome = OutcomeOf(aResult, active.mResponse.mStatus);
  result.mResponseStarted = active.mStarted;
  if (aResult == http2::Result::Answered) {
    mCounters.mAnswered.Add();
    mCounters.mLatency.Record(MonotonicNow() - active.mArrived);
    if (!active.mRequest.mIdempotent &&
        active.mResponse.mBody.size() <= kMaxStoredBody) {
      result.mResponse =
        std::make_shared<const std::string>(PackResponse(active.mResponse));
    }
    active.mComplete = true;
    WritePending(active);
  }
  mOnEvent(result);
  EraseWhenDone(aRequest);
}

void
RequestPipeline::Perform(const Reject& aEffect)
{
  ActiveRequest* found = Find(aEffect.mRequest);
  if (!found) {
    return;
  }
  ActiveRequest& active = *found;
  mCounters.mNotRun.Add();
  if (active.mSink) {
    active.mSink->Reject();
    active.mSink.reset();
  }
  EraseWhenDone(aEffect.mRequest);
}

void
RequestPipeline::Perform(const RespondOutcomeUnknown& aEffect)
{
  ActiveRequest* found = Find(aEffect.mRequest);
  if (!found) {
    return;
  }
  ActiveRequest& active = *found;
  mCounters.mOutcomeUnknown.Add();
  SendOutcomeUnknown(active);
  EraseWhenDone(aEffect.mRequest);
}

void
RequestPipeline::SendOutcomeUnknown(ActiveRequest& aActive)
{
  if (!aActive.mSink) {
    return;
  }
  if (aActive.mStarted) {
    aActive.mSink->Abort();
  } else {
    aActive.mSink->Start(502,
                         { { "proxy-status",
                             "snipepost; error=connection_terminated; "
                             "details=\"outcome unknown\"" } });
    aActive.mSink->End();
  }
  aActive.mSink.reset();
}

void
RequestPipeline::Perform(const RespondKeyReused& aEffect)
{
  ActiveRequest* found = Find(aEffect.mRequest);
  if (!found) {
    return;
  }
  mCounters.mNotRun.Add();
  CompleteResponse response;
  response.mStatus = 422;
  response.mHeaders = { { "content-type", "text/plain" } };
  response.mBody = "idempotency key already used for another request\n";
  SendComplete(*found, response);
  EraseWhenDone(aEffect.mRequest);
}

void
RequestPipeline::Perform(const ReplayResponse& aEffect)
{
  ActiveRequest* found = Find(aEffect.mRequest);
  if (!found) {
    return;
  }
  ActiveRequest& active = *found;
  const auto response =
    aEffect.mResponse ? UnpackResponse(*aEffect.mResponse) : std::nullopt;
  mCounters.mReplayed.Add();
  if (response) {
    SendComplete(active, *response);
  } else {
    SendOutcomeUnknown(active);
  }
  EraseWhenDone(aEffect.mRequest);
}

void
RequestPipeline::SendComplete(ActiveRequest& aActive,
                              const CompleteResponse& aResponse)
{
  if (!aActive.mSink) {
    return;
  }
  aActive.mSink->Start(aResponse.mStatus, aResponse.mHeaders);
  aActive.mStarted = true;
  aActive.mPending = aResponse.mBody;
  aActive.mComplete = true;
  WritePending(aActive);
}

void
RequestPipeline::Perform(const Relay& aEffect)
{
  const RequestId id = aEffect.mRequest;
  ActiveRequest* found = Find(id);
  if (!found) {
    return;
  }
  ActiveRequest& active = *found;
  active.mCallOpen = true;
  mCounters.mRelayed.Add();
  http2::Request request =
    ToRequest(active.mRequest, active.mRequest.mDeadline);
  request.mHeaders.emplace_back("snipepost-method", request.mMethod);
  request.mHeaders.emplace_back("snipepost-path", request.mPath);
  request.mMethod = "POST";
  request.mPath = "/v1/relay";
  mPeers.Call(
    aEffect.mAgent,
    std::move(request),
    kMaxRelayedResponseBody,
    MonotonicNow(),
    [this, id](http2::Result aResult, const http2::Response& aResponse) {
      OnRelayEnd(id, aResult, aResponse);
    });
}

void
RequestPipeline::OnRelayEnd(RequestId aRequest,
                            http2::Result aResult,
                            const http2::Response& aResponse)
{
  ActiveRequest& active = mActive.at(aRequest);
  active.mCallOpen = false;
  const bool answered =
    aResult == http2::Result::Answered && !aResponse.mTruncated;
  // 403 and 404 may come from the other agent's control server (invalid tag, no
  // relay handler) instead of its backend server.
  const bool notRun =
    answered && aResponse.mStatus == kRelayNotRunStatus &&
    http2::FindHeader(aResponse.mHeaders, kRelayOutcomeHeader) == kRelayNotRun;
  if (notRun && active.mSink) {
    mCounters.mNotRun.Add();
    active.mSink->Reject();
    active.mSink.reset();
  } else if (answered && aResponse.mStatus != 403 && aResponse.mStatus != 404) {
    SendComplete(active,
                 { aResponse.mStatus, aResponse.mHeaders, aResponse.mBody });
  } else {
    mCounters.mOutcomeUnknown.Add();
    SendOutcomeUnknown(active);
  }
  mOnEvent(RelayFinished{ aRequest });
  EraseWhenDone(aRequest);
}

void
RequestPipeline::Perform(const Cancel& aEffect)
{
  const auto found = mActive.find(aEffect.mRequest);
  if (found != mActive.end() && found->second.mBackendCall) {
    mBackend.Cancel(*found->second.mBackendCall);
  }
}

void
RequestPipeline::OnCallerWritable(RequestId aRequest)
{
  const auto found = mActive.find(aRequest);
  if (found != mActive.end()) {
    WritePending(found->second);
    EraseWhenDone(aRequest);
  }
}

void
RequestPipeline::DetachCaller(RequestId aRequest)
{
  ActiveRequest* found = Find(aRequest);
  if (!found) {
    return;
  }
  ActiveRequest& active = *found;
  active.mSink.reset();
  if (active.mBackendCall && !active.mPending.empty()) {
    mBackend.Consume(*active.mBackendCall, active.mPending.size());
  }
  active.mPending.clear();
  EraseWhenDone(aRequest);
}

void
RequestPipeline::EraseWhenDone(RequestId aRequest)
{
  const auto found = mActive.find(aRequest);
  if (found != mActive.end() && !found->second.mSink &&
      !found->second.mCallOpen) {
    mActive.erase(found);
  }
}

} // namespace snipepost
