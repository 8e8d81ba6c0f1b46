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

/// A caller's request as it is passed on.
struct CallerRequest
{
  std::string mMethod;
  std::string mPath;
  http2::Headers mHeaders;
  std::string mBody;
  bool mIdempotent = true;
  /// The caller allows for far more time than requests of the service usually
  /// get, as for a session or a long transfer.
  bool mLongRunning = false;
  Instant mDeadline;
};

/// Carries out the admission core's effects on requests: passes them to the
/// backend server or another agent and their responses to the caller, with
/// back pressure from the caller to the backend server.
class RequestPipeline
{
public:
  /// Hands an event to the admission core. Never called from within Perform().
  using Feed = std::function<void(const Event&)>;

  RequestPipeline(asio::io_context& aContext,
                  const Address& aBackend,
                  PeerClients& aPeers,
                  Registry& aRegistry,
                  Feed aFeed);

  /// Takes a request over; effects refer to the returned number.
  RequestId Add(CallerRequest aRequest, std::unique_ptr<ResponseSink> aSink);

  void Perform(const ForwardRequest& aEffect);
  void Perform(const Reject& aEffect);
  void Perform(const RespondOutcomeUnknown& aEffect);
  void Perform(const RespondKeyReused& aEffect);
  void Perform(const ReplayResponse& aEffect);
  void Perform(const Relay& aEffect);
  void Perform(const Cancel& aEffect);

  /// The caller can take more of the response.
  void Drained(RequestId aRequest);

  /// The caller is gone; nothing more is sent to it.
  void Forget(RequestId aRequest);

  size_t Count() const { return mActive.size(); }

private:
  struct Active
  {
    CallerRequest mRequest;
    std::unique_ptr<ResponseSink> mSink; ///< Null when the caller is gone.
    Instant mArrived;
    std::optional<http2::RequestId> mCall;
    bool mCalling = false; ///< A call to the backend server or a peer is open.
    bool mStarted = false; ///< A part of the response was sent.
    CompleteResponse mResponse;
    std::string mPending;   ///< Body bytes that the caller has no room for yet.
    bool mComplete = false; ///< The response ends after mPending.
  };

  /// Metrics of requests.
  struct Counters
  {
    explicit Counters(Registry& aRegistry);
    Counter& mPassedOn;
    Counter& mAnswered;
    Counter& mNotRun;
    Counter& mUnknown;
    Counter& mStored;
    Counter& mRelayed;
    LatencyHistogram& mLatency;
  };

  /// The request, or null when it is settled.
  Active* Find(RequestId aRequest);
  void OnHeaders(RequestId aRequest, int aStatus, http2::Headers aHeaders);
  void OnData(RequestId aRequest, http2::Chunk aChunk);
  void OnEnd(RequestId aRequest, http2::Result aResult);
  void OnRelayEnd(RequestId aRequest,
                  http2::Result aResult,
                  const http2::Response& aResponse);
  void WritePending(Active& aActive);
  void SendUnknown(Active& aActive);
  void SendComplete(Active& aActive, const CompleteResponse& aResponse);
  void EraseWhenDone(RequestId aRequest);

  http2::Client mBackend;
  PeerClients& mPeers;
  Feed mFeed;
  Counters mCounters;
  uint64_t mNextId = 1;
  std::map<RequestId, Active> mActive;
};

} // namespace snipepost
