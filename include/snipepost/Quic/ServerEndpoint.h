#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/Types.h>
#include <snipepost/Quic/Credentials.h>
#include <snipepost/Quic/Types.h>

namespace snipepost {

/// Why a flow ended.
enum class FlowEnd : uint8_t
{
  ClosedByCaller,
  ClosedByServer,
  TimedOut,
  ProtocolError,
};

/// What a ServerEndpoint reports. Calls come from inside OnDatagram(),
/// Accept(), OnTimer() and Flush(); every method of the endpoint that takes a
/// handle may be called from within them. Fields and bodies are only valid
/// during the call. A handle stays valid until OnRequestDone() or
/// OnRequestCancelled() for a request, and OnFlowClosed() for a connection;
/// later calls with it do nothing.
class ServerEvents
{
public:
  virtual ~ServerEvents() = default;

  /// The handshake completed.
  virtual void OnFlowOpened(ConnectionHandle aFlow) = 0;

  /// The connection is gone, opened or not. Every request in progress has
  /// been reported as cancelled before.
  virtual void OnFlowClosed(ConnectionHandle aFlow, FlowEnd aEnd) = 0;

  virtual void OnRequestHeaders(RequestHandle aRequest,
                                const HttpFields& aFields) = 0;

  /// The owner calls ConsumeBody() when it has passed the bytes on.
  virtual void OnRequestBody(RequestHandle aRequest,
                             std::span<const uint8_t> aBytes) = 0;

  /// The request is complete.
  virtual void OnRequestEnd(RequestHandle aRequest) = 0;

  /// The caller gave up, or its connection ended. Not called for a request
  /// that the owner itself rejected.
  virtual void OnRequestCancelled(RequestHandle aRequest) = 0;

  /// There is room again after SendBody() accepted less than it was given.
  virtual void OnResponseDrained(RequestHandle aRequest) = 0;

  /// The caller has acknowledged the complete response.
  virtual void OnRequestDone(RequestHandle /* aRequest */) {}
};

/// QUIC and HTTP/3 for all callers of one agent. It has no socket, clock or
/// thread: datagrams come in through OnDatagram() and Accept() and leave
/// through the sink, and the owner runs one timer. Every call that changes
/// something only marks its connection; after a batch of calls the owner calls
/// Flush() once, which writes the datagrams, and then sets its timer to
/// NextDeadline().
///
/// Callers' addresses are not validated (no Retry), so amplification is
/// limited by QUIC's factor of 3 only. There is no 0-RTT, no session
/// resumption and no version negotiation: other versions
/// than 1 are ignored.
class ServerEndpoint
{
public:
  /// Receives a datagram for aCaller. aFlow tells the owner which return path
  /// to use; it is null for the answer to a refused Initial.
  using DatagramSink = std::function<void(std::span<const uint8_t> aPayload,
                                          const Address& aCaller,
                                          ConnectionHandle aFlow)>;

  /// aLocal is the service address that callers use. aEvents outlives the
  /// endpoint.
  ServerEndpoint(Credentials aCredentials,
                 const QuicLimits& aLimits,
                 const Address& aLocal,
                 RouteIdIssuer aIssuer,
                 DatagramSink aSink,
                 ServerEvents& aEvents);
  ~ServerEndpoint();
  ServerEndpoint(const ServerEndpoint&) = delete;
  ServerEndpoint& operator=(const ServerEndpoint&) = delete;

  /// True when the datagram's destination connection ID is one that this
  /// endpoint issued to a connection it still holds, or the one with which
  /// the caller started such a connection.
  bool ClaimsDatagram(std::span<const uint8_t> aPayload) const;

  /// Gives a datagram to the connection that it belongs to and returns that
  /// connection, or nothing when there is none; an Initial is never accepted
  /// by this call. A changed caller address is treated as migration (RFC
  /// 9000, section 9) with path validation.
  std::optional<ConnectionHandle> OnDatagram(std::span<const uint8_t> aPayload,
                                             const Address& aCaller,
                                             Instant aNow);

  /// Creates a connection from a caller's first Initial. Returns nothing when
  /// the datagram is no valid Initial of a new connection or when the limit of
  /// connections is reached; Refuse() then tells the caller.
  std::optional<ConnectionHandle> Accept(std::span<const uint8_t> aPayload,
                                         const Address& aCaller,
                                         Instant aNow);

  /// Answers an Initial with CONNECTION_CLOSE (CONNECTION_REFUSED) without
  /// keeping state. Does nothing for any other datagram.
  void Refuse(std::span<const uint8_t> aPayload, const Address& aCaller);

  /// Sets how stateless reset tokens are computed. Without it there are none.
  void SetResetTokens(ResetTokenIssuer aIssuer);

  /// Answers a datagram of a flow that an earlier life of this agent held with
  /// a stateless reset, so that the caller does not wait for its timeout.
  void ResetUnknown(std::span<const uint8_t> aPayload, const Address& aCaller);

  /// When to call OnTimer(); Instant::max() when there is nothing to do.
  Instant NextDeadline() const;

  /// Handles every deadline up to aNow.
  void OnTimer(Instant aNow);

  /// Writes the datagrams of every connection that has something to send.
  void Flush(Instant aNow);

  /// Sends a response's header fields; aFields starts with ":status". With
  /// aEnd there is no body. False when the request is gone or already has a
  /// response.
  bool Respond(RequestHandle aRequest, const HttpFields& aFields, bool aEnd);

  /// Appends to the response's body and returns how many of the bytes were
  /// taken; the owner offers the others again after OnResponseDrained(). With
  /// aEnd the body ends here, if all bytes were taken.
  size_t SendBody(RequestHandle aRequest,
                  std::span<const uint8_t> aBytes,
                  bool aEnd);

  /// Lets the caller send aCount more bytes of the request's body.
  void ConsumeBody(RequestHandle aRequest, size_t aCount);

  /// Tells the caller that the request did not run: reset with
  /// H3_REQUEST_REJECTED, and STOP_SENDING. The owner must have run nothing.
  void RejectRequest(RequestHandle aRequest);

  /// Breaks off a response with any other error.
  void ResetRequest(RequestHandle aRequest, Http3Error aError);

  /// Announces that a final GOAWAY follows: GOAWAY with the greatest stream
  /// ID. Connections whose handshake is not complete get it then.
  void SendShutdownNotice();

  /// Sends GOAWAY with the ID after the last request received. Later requests
  /// are rejected; those in progress go on. Each connection remains open until
  /// it is closed by Close() or by its caller.
  void SendGoaway();

  /// Ends the state that SendShutdownNotice() and SendGoaway() began, for new
  /// connections: those that got a GOAWAY keep it, as HTTP/3 can't take it
  /// back.
  void Reopen();

  /// Closes a connection with CONNECTION_CLOSE.
  void Close(ConnectionHandle aFlow, Http3Error aError);
  void CloseAll(Http3Error aError);

  /// Connections that are open or in their handshake.
  size_t ConnectionCount() const;

  /// Requests of a connection that are not complete.
  size_t RequestCount(ConnectionHandle aFlow) const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace snipepost
