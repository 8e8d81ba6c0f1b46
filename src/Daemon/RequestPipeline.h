#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <asio.hpp>

#include <snipepost/Admission/Events.h>
#include <snipepost/Http2/Client.h>
#include <snipepost/Metrics/Registry.h>

#include <src/Daemon/PeerClients.h>
#include <src/Daemon/ResponseSink.h>
#include <src/Daemon/StoredResponse.h>

namespace snipepost {

/// A caller's request as it is forwarded to the backend server.
struct CallerRequest
{
  std::string mMethod;
  std::string mPath;
  http2::Headers mHeaders;
  std::string mBody;
  bool mIdempotent = true;
  /// The deadline is much longer than the service's default, as for a session
  /// or a long transfer.
  bool mLongRunning = false;
  Instant mDeadline;
};

/// Carries out the admission core's effects on requests: forwards requests to
/// the backend server or another agent and responses to the caller, with
/// back pressure from the caller to the backend server.
class RequestPipeline
{
public:
  /// Passes an event to the admission core. Never called from within Perform().
  using EventHandler = std::function<void(const Event&)>;

  RequestPipeline(asio::io_context& aContext,
                  const Address& aBackend,
                  PeerClients& aPeers,
                  Registry& aRegistry,
                  EventHandler aOnEvent);

  /// Adds a request; effects refer to it by the returned ID.
  RequestId Add(CallerRequest aRequest, std::unique_ptr<ResponseSink> aSink);

  void Perform(const ForwardRequest& aEffect);
  void Perform(const Reject& aEffect);
  void Perform(const RespondOutcomeUnknown& aEffect);
  void Perform(const RespondKeyReused& aEffect);
  void Perform(const ReplayResponse& aEffect);
  void Perform(const Relay& aEffect);
  void Perform(const Cancel& aEffect);

  /// The caller's stream accepts more of the response.
  void OnCallerWritable(RequestId aRequest);

  /// The caller cancelled the request; nothing more is sent to it.
  void DetachCaller(RequestId aRequest);

  size_t Count() const { return mActive.size(); }

private:
  struct ActiveRequest
  {
    CallerRequest mRequest;
    std::unique_ptr<ResponseSink> mSink; ///< Null when nothing more is sent.
    Instant mArrived;
    std::optional<http2::RequestId> mBackendCall;
    bool mCallOpen = false; ///< A call to the backend server or a peer is open.
    bool mStarted = false;  ///< Part of the response was sent.
    CompleteResponse mResponse;
    std::string mPending;   ///< Body bytes blocked by flow control.
    bool mComplete = false; ///< The response ends after mPending.
  };

  /// Request metrics.
  struct Counters
  {
    explicit Counters(Registry& aRegistry);
    Counter& mForwardedToBackend;
    Counter& mAnswered;
    Counter& mNotRun;
    Counter& mOutcomeUnknown;
    Counter& mReplayed;
    Counter& mRelayed;
    LatencyHistogram& mLatency;
  };

  /// The request, or null when it is complete.
  ActiveRequest* Find(RequestId aRequest);
  void OnHeaders(RequestId aRequest, int aStatus, http2::Headers aHeaders);
  void OnData(RequestId aRequest, http2::Chunk aChunk);
  void OnEnd(RequestId aRequest, http2::Result aResult);
  void OnRelayEnd(RequestId aRequest,
                  http2::Result aResult,
                  const http2::Response& aResponse);
  void WritePending(ActiveRequest& aActive);
  void SendOutcomeUnknown(ActiveRequest& aActive);
  void SendComplete(ActiveRequest& aActive, const CompleteResponse& aResponse);
  void EraseWhenDone(RequestId aRequest);

  http2::Client mBackend;
  PeerClients& mPeers;
  EventHandler mOnEvent;
  Counters mCounters;
  uint64_t mNextId = 1;
  std::map<RequestId, ActiveRequest> mActive;
};

} // namespace snipepost
