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

/// The time of the monotonic clock.
Instant
Now();

/// Hears what becomes of one request on one flow. Exactly one of OnEnd(),
/// OnRejected() and OnBroken() is called, unless the request is cancelled.
class Exchange
{
public:
  virtual ~Exchange() = default;
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
  /// The flow takes no more requests; those in progress go on.
  virtual void OnFlowRetired(Flow& aFlow) = 0;
  /// The flow is over. aWasOpen: its handshake had completed.
  virtual void OnFlowClosed(Flow& aFlow,
                            ClientCloseReason aEnd,
                            bool aWasOpen) = 0;
  /// A request is over, so another may fit.
  virtual void OnFlowRoom(Flow& aFlow) = 0;
};

/// One QUIC connection with a UDP socket of its own on 127.0.0.1.
class Flow
  : public std::enable_shared_from_this<Flow>
  , public ClientEvents
{
public:
  Flow(asio::io_context& aContext, const Address& aService, FlowOwner& aOwner);

  /// Starts the handshake.
  void Start();

  bool IsUsable() const { return mConnection->IsOpen() && !mRetired; }
  size_t InProgress() const { return mExchanges.size(); }
  Instant OpenedAt() const { return mOpenedAt; }
  /// When the last datagram came.
  Instant LastReceived() const { return mLastReceived; }

  /// Sends a request; nothing when the flow has no room for it.
  std::optional<StreamId> Submit(const HttpFields& aFields,
                                 std::span<const uint8_t> aBody,
                                 std::shared_ptr<Exchange> aExchange);
  void Cancel(StreamId aStream);

  /// Takes no more requests and closes once those in progress are over.
  void Retire();
  void Close();

  /// Gives up on a flow whose server doesn't answer any more: requests in
  /// progress are reported as broken.
  void Abandon();

  /// Key scope of this connection's agent, and when it was asked for.
  std::string mScope;
  Instant mScopeTime{};
  bool mScopePending = false;

  /// Requests cancelled at their deadline since a datagram last came, and when
  /// the first was. The cancellation makes a live server acknowledge.
  std::vector<RequestClass> mUnanswered;
  Instant mUnansweredSince{};

private:
  void OnConnected() override;
  void OnClosed(ClientCloseReason aEnd, uint64_t aErrorCode) override;
  void OnResponseHeaders(StreamId aStream, const HttpFields& aFields) override;
  void OnResponseBody(StreamId aStream,
                      std::span<const uint8_t> aBytes) override;
  void OnResponseEnd(StreamId aStream) override;
  void OnRejected(StreamId aStream) override;
  void OnResponseBroken(StreamId aStream, uint64_t aErrorCode) override;
  void OnGoaway(StreamId aLast) override;

  void Receive();
  void ReadSocket();
  /// Flushes soon, once for all calls of the current event.
  void Schedule();
  void Pump();
  std::shared_ptr<Exchange> Take(StreamId aStream);
  void CloseIfIdle();

  asio::ip::udp::socket mSocket;
  asio::steady_timer mTimer;
  asio::ip::udp::endpoint mRemote;
  FlowOwner& mOwner;
  std::unique_ptr<ClientConnection> mConnection;
  std::map<StreamId, std::shared_ptr<Exchange>> mExchanges;
  Instant mOpenedAt{};
  Instant mLastReceived{};
  bool mScheduled = false;
  bool mWasOpen = false;
  bool mRetired = false;
  bool mAbandoned = false;
  bool mOver = false;
};

} // namespace snipepost::tools
