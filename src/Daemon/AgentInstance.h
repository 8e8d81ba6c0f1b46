#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include <asio.hpp>

#include <snipepost/Admission/AgentCore.h>
#include <snipepost/Metrics/Registry.h>
#include <snipepost/Net/DatagramSocket.h>
#include <snipepost/Quic/ServerEndpoint.h>
#include <snipepost/Routing/PacketHeader.h>

#include <src/Daemon/BackendMonitor.h>
#include <src/Daemon/ControlPlane.h>
#include <src/Daemon/ControlServer.h>
#include <src/Daemon/RequestPipeline.h>
#include <src/Daemon/ReturnPaths.h>

namespace snipepost {

/// The agent role: terminates callers' QUIC connections next to one backend
/// server and carries out the decisions of the admission core.
class AgentInstance
  : private DatagramHandler
  , private ControlOwner
  , private ServerEvents
{
public:
  /// aOnExit is called after BeginShutdown(), once no request is in progress.
  AgentInstance(asio::io_context& aContext,
                const DaemonSettings& aSettings,
                Credentials aCredentials,
                std::function<void()> aOnExit);

  /// Starts draining: requests in progress finish, new ones are rejected.
  void BeginShutdown();

private:
  // DatagramHandler
  void OnDatagram(std::span<const uint8_t> aBytes,
                  const Address& aFrom) override;
  void OnBatchEnd() override;

  // ControlOwner
  void OnViewChanged() override;
  void SendProbePacket(const Address&) override {} ///< Agents send none.
  void OnControlTick(Instant aNow) override;

  // ServerEvents
  void OnFlowOpened(ConnectionHandle aFlow) override;
  void OnFlowClosed(ConnectionHandle aFlow, FlowCloseReason aReason) override;
  void OnRequestHeaders(RequestHandle aRequest,
                        const HttpFields& aFields) override;
  void OnRequestBody(RequestHandle aRequest,
                     std::span<const uint8_t> aBytes) override;
  void OnRequestEnd(RequestHandle aRequest) override;
  void OnRequestCancelled(RequestHandle aRequest) override;
  void OnResponseWritable(RequestHandle aRequest) override;
  void OnRequestDone(RequestHandle aRequest) override;

  /// A request on a caller's stream; mId is set once the request is complete.
  struct IncomingRequest
  {
    HttpFields mFields;
    std::string mBody;
    std::optional<RequestId> mId;
  };

  void HandleFlowPacket(const Packet& aPacket,
                        std::span<const uint8_t> aBytes,
                        const Address& aFrom);
  void Deliver(const Packet& aPacket, const Address& aEntry);
  /// Resets a flow that an earlier incarnation of this agent owned.
  void ResetStaleFlow(const Packet& aPacket);
  ResetToken ResetTokenOf(std::span<const uint8_t> aId) const;
  void ForwardToCandidate(const Packet& aPacket, uint8_t aCandidate);
  void ReplyToProbe(const Address& aFrom);
  void SendReply(std::span<const uint8_t> aPayload,
                 const Address& aCaller,
                 ConnectionHandle aFlow);
  LoadReport Load() const;
  void OnRelayRequest(http2::ServerRequest aRequest,
                      std::shared_ptr<http2::Responder> aResponder);
  void Admit(CallerRequest aRequest,
             std::unique_ptr<ResponseSink> aSink,
             std::optional<RequestHandle> aHandle);
  void HandleAdmissionEvent(const Event& aEvent);
  template<typename RequestEffect>
  void Perform(const RequestEffect& aEffect)
  {
    mPipeline.Perform(aEffect);
  }
  void Perform(const SendShutdownNotice& aEffect);
  void Perform(const SendFinalGoaway& aEffect);
  void Perform(const CloseFlow& aEffect);
  void Perform(const ReadyToExit& aEffect);
  void ApplyConfig();
  void UpdateState(Instant aNow);
  void Leave();
  void ScheduleFlush();
  /// Handles due timeouts, sends all queued datagrams and sets the timer for
  /// the next timeout.
  void FlushAndSetTimer();
  boost::json::object Status() const;
  ConnectionIdBytes IssueRouteId();

  /// Data path metrics.
  struct Counters
  {
    explicit Counters(Registry& aRegistry);
    Counter& mFlowPackets;
    Counter& mFlowsAccepted;
    Counter& mForwardedToCandidate;
    Counter& mFlowsRefused;
    Counter& mDropped;
    Counter& mBadPackets;
    Counter& mReplies;
    Counter& mNoReturnPath;
  };

  asio::io_context& mContext;
  KeyRing mKeys;
  DaemonSettings mSettings;
  std::function<void()> mOnExit;
  Registry mRegistry;
  Counters mCounters;
  DatagramSocket mSocket;
  ControlPlane mControl;
  ControlServer mServer;
  AgentCore mCore;
  ServerEndpoint mEndpoint;
  RequestPipeline mPipeline;
  BackendMonitor mMonitor;
  ReturnPaths mReturnPaths;
  asio::steady_timer mTimer;
  Random mRandom;
  /// Used for stateless reset tokens instead of the tag when the key slot is
  /// empty; random, so that a token can't be guessed.
  uint64_t mFallbackTag = 0;
  std::map<RequestHandle, IncomingRequest> mIncoming;
  std::map<RequestId, RequestHandle> mHandles;
  /// Entry instance that forwarded the packet being handled; null otherwise.
  Address mCurrentEntry;
  std::chrono::milliseconds mDefaultTimeout{ 5000 };
  bool mBulkService = false;
  bool mFlushScheduled = false;
  bool mLeaving = false;
  bool mShutdownNoticeSent = false; ///< New flows get the notice, too.
};

} // namespace snipepost
