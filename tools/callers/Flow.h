#pragma once

#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <snipepost/Quic/ClientConnection.h>

#include "tools/callers/RequestClass.h"

namespace snipepost::tools {

/// Current time of the monotonic clock.
Instant
Now();

/// Receives the response events of one request on one flow. Exactly one of
/// OnEnd(), OnRejected() and OnBroken() is called, unless the request is
/// cancelled.
class ResponseEvents
{
public:
  virtual ~ResponseEvents() = default;
  virtual void OnHeaders(const HttpFields& aFields) = 0;
  virtual void OnBody(std::span<const uint8_t> aBytes) = 0;
  virtual void OnEnd() = 0;
  virtual void OnRejected() = 0;
  virtual void OnBroken() = 0;
};

class Flow;

/// The caller that owns a flow.
class FlowOwner
{
public:
  virtual ~FlowOwner() = default;
  virtual void OnFlowOpened(Flow& aFlow) = 0;
  /// The flow accepts no new requests; those in progress continue.
  virtual void OnFlowRetired(Flow& aFlow) = 0;
  /// The flow is closed. aWasOpen: its handshake had completed.
  virtual void OnFlowClosed(Flow& aFlow,
                            ClientCloseReason aReason,
                            bool aWasOpen) = 0;
  /// A request has ended, so the flow may have room for another one.
  virtual void OnStreamFreed(Flow& aFlow) = 0;
};

/// One QUIC connection with its own UDP socket on 127.0.0.1.
class Flow
  : public std::enable_shared_from_this<Flow>
  , public ClientEvents
{
public:
  Flow(asio::io_context& aContext, const Address& aService, FlowOwner& aOwner);

  /// Starts the handshake.
  void Start();

  bool IsUsable() const { return mConnection->IsOpen() && !mRetired; }
  size_t InProgress() const { return mResponses.size(); }
  Instant OpenedAt() const { return mOpenedAt; }
  /// Time of the last received datagram.
  Instant LastReceived() const { return mLastReceived; }

  /// Sends a request; nothing when the flow has no room for it.
  std::optional<StreamId> Submit(const HttpFields& aFields,
                                 std::span<const uint8_t> aBody,
                                 std::shared_ptr<ResponseEvents> aEvents);
  void Cancel(StreamId aStream);

  /// Accepts no new requests and closes once those in progress have ended.
  void Retire();
  void Close();

  /// Closes a flow whose server has become unresponsive. Requests in progress
  /// are reported as broken.
  void Abandon();

  /// Key scope of this connection's agent, and when it was requested.
  std::string mKeyScope;
  Instant mKeyScopeTime{};
  bool mKeyScopePending = false;

  /// Requests cancelled at their deadline since the last received datagram, and
  /// when the first of them was cancelled. A running server acknowledges the
  /// cancellation.
  std::vector<RequestClass> mUnacknowledged;
  Instant mUnacknowledgedSince{};

private:
  void OnConnected() override;
  void OnClosed(ClientCloseReason aReason, uint64_t aErrorCode) override;
  void OnResponseHeaders(StreamId aStream, const HttpFields& aFields) override;
  void OnResponseBody(StreamId aStream,
                      std::span<const uint8_t> aBytes) override;
  void OnResponseEnd(StreamId aStream) override;
  void OnRejected(StreamId aStream) override;
  void OnResponseBroken(StreamId aStream, uint64_t aErrorCode) override;
  void OnGoaway(StreamId aFirstUnprocessed) override;

  void WaitForDatagrams();
  void ReadSocket();
  /// Posts one flush for all calls made while handling the current event.
  void ScheduleFlush();
  void FlushAndArmTimer();
  std::shared_ptr<ResponseEvents> ExtractResponse(StreamId aStream);
  void CloseIfIdle();

  asio::ip::udp::socket mSocket;
  asio::steady_timer mTimer;
  asio::ip::udp::endpoint mRemote;
  FlowOwner& mOwner;
  std::unique_ptr<ClientConnection> mConnection;
  std::map<StreamId, std::shared_ptr<ResponseEvents>> mResponses;
  Instant mOpenedAt{};
  Instant mLastReceived{};
  bool mFlushScheduled = false;
  bool mWasOpen = false;
  bool mRetired = false;
  bool mAbandoned = false;
  bool mClosed = false;
};

} // namespace snipepost::tools
