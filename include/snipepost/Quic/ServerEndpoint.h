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

/// Why a flow, which is the QUIC connection of a caller, was closed.
enum class FlowCloseReason : uint8_t
{
  ClosedByCaller,
  ClosedByServer,
  TimedOut,
  ProtocolError,
};

/// Callbacks of a ServerEndpoint, called from within OnDatagram(), Accept(),
/// OnTimer() and Flush(). They may call every method of the endpoint that takes
/// a handle. Fields and bodies are only valid during the call. A handle is
/// valid until OnRequestDone() or OnRequestCancelled() for a request, and until
/// OnFlowClosed() for a connection; later calls with it do nothing.
class ServerEvents
{
public:
  virtual ~ServerEvents() = default;

  /// The handshake completed.
  virtual void OnFlowOpened(ConnectionHandle aFlow) = 0;

  /// The connection is closed, whether or not its handshake was completed.
  /// OnRequestCancelled() has been called before for every request in progress.
  virtual void OnFlowClosed(ConnectionHandle aFlow,
                            FlowCloseReason aReason) = 0;

  virtual void OnRequestHeaders(RequestHandle aRequest,
                                const HttpFields& aFields) = 0;

  /// The owner calls ConsumeBody() when it has forwarded the bytes.
  virtual void OnRequestBody(RequestHandle aRequest,
                             std::span<const uint8_t> aBytes) = 0;

  /// The request is complete.
  virtual void OnRequestEnd(RequestHandle aRequest) = 0;

  /// The caller cancelled the request, or its connection was closed. Not called
  /// for a request that the owner itself rejected or reset.
  virtual void OnRequestCancelled(RequestHandle aRequest) = 0;

  /// The send buffer has space again after SendBody() accepted only a part of
  /// its bytes.
  virtual void OnResponseWritable(RequestHandle aRequest) = 0;

  /// The caller has acknowledged the complete response.
  virtual void OnRequestDone(RequestHandle /* aRequest */) {}
};

/// The QUIC and HTTP/3 server for all callers of one agent. It has no socket,
/// clock or thread: received datagrams are passed to OnDatagram() and Accept(),
/// the sink sends datagrams, and the owner runs one timer. A call that changes
/// a connection only marks it as dirty; after a batch of calls the owner calls
/// Flush() once, which writes the datagrams, and then sets its timer to
/// NextDeadline().
///
/// Callers' addresses are not validated with Retry packets, so amplification is
/// limited only by QUIC's factor of 3. There is no 0-RTT, no session resumption
/// and no version negotiation: packets of versions other than 1 are ignored.
class ServerEndpoint
{
public:
  /// Sends a datagram to aCaller. The owner uses aFlow to choose the entry
  /// instance that relays the datagram; it is zero for a datagram that belongs
  /// to no connection, such as the response to a refused Initial.
  using DatagramSink = std::function<void(std::span<const uint8_t> aPayload,
                                          const Address& aCaller,
                                          ConnectionHandle aFlow)>;

  /// aLocal is the service address that callers use. aEvents must outlive the
  /// endpoint.
  ServerEndpoint(Credentials aCredentials,
                 const QuicLimits& aLimits,
                 const Address& aLocal,
                 ConnectionIdGenerator aIdGenerator,
                 DatagramSink aSink,
                 ServerEvents& aEvents);
  ~ServerEndpoint();
  ServerEndpoint(const ServerEndpoint&) = delete;
  ServerEndpoint& operator=(const ServerEndpoint&) = delete;

  /// True when the datagram's destination connection ID was issued by this
  /// endpoint for a connection that still exists, or is the one with which the
  /// caller started such a connection.
  bool HasConnectionFor(std::span<const uint8_t> aPayload) const;

  /// Passes a datagram to its connection and returns the connection, or
  /// nothing when there is none. It never creates a connection. A changed
  /// caller address is handled as a migration (RFC 9000, section 9) with path
  /// validation.
  std::optional<ConnectionHandle> OnDatagram(std::span<const uint8_t> aPayload,
                                             const Address& aCaller,
                                             Instant aNow);

  /// Creates a connection from a caller's first Initial. Returns nothing when
  /// the datagram is not a valid Initial of a new connection or when the limit
  /// of connections is reached; the owner can then notify the caller with
  /// Refuse().
  std::optional<ConnectionHandle> Accept(std::span<const uint8_t> aPayload,
                                         const Address& aCaller,
                                         Instant aNow);

  /// Responds to an Initial with CONNECTION_CLOSE (CONNECTION_REFUSED) without
  /// keeping state. Ignores any other datagram.
  void Refuse(std::span<const uint8_t> aPayload, const Address& aCaller);

  /// Sets the function that computes stateless reset tokens. Without it no
  /// stateless reset is sent.
  void SetResetTokenGenerator(ResetTokenGenerator aGenerator);

  /// Responds with a stateless reset to a datagram of a flow that an earlier
  /// incarnation of this agent owned, so that the caller does not wait for its
  /// idle timeout.
  void SendStatelessReset(std::span<const uint8_t> aPayload,
                          const Address& aCaller);

  /// When to call OnTimer(); Instant::max() when no timer is needed.
  Instant NextDeadline() const;

  /// Handles every deadline up to aNow.
  void OnTimer(Instant aNow);

  /// Writes the datagrams of every connection that has something to send.
  void Flush(Instant aNow);

  /// Sends a response's header fields; aFields starts with ":status". With
  /// aFin there is no body. Returns false when the request no longer exists or
  /// already has a response.
  bool Respond(RequestHandle aRequest, const HttpFields& aFields, bool aFin);

  /// Appends to the response's body and returns how many of the bytes were
  /// accepted; the owner sends the rest after OnResponseWritable(). With aFin
  /// the body ends here, if all bytes were accepted.
  size_t SendBody(RequestHandle aRequest,
                  std::span<const uint8_t> aBytes,
                  bool aFin);

  /// Returns flow control credit, so that the caller can send aCount more bytes
  /// of the request's body.
  void ConsumeBody(RequestHandle aRequest, size_t aCount);

  /// Notifies the caller that the request was not processed: RESET_STREAM with
  /// H3_REQUEST_REJECTED, and STOP_SENDING. The owner must not have processed
  /// any part of it.
  void RejectRequest(RequestHandle aRequest);

  /// Resets both directions of the request's stream with aError.
  void ResetRequest(RequestHandle aRequest, Http3Error aError);

  /// Sends GOAWAY with the greatest stream ID, which announces a final GOAWAY.
  /// Connections whose handshake is not complete get it on completion.
  void SendShutdownNotice();

  /// Sends GOAWAY with the ID that follows the last received request. Later
  /// requests are rejected; those in progress continue. Each connection remains
  /// open until it is closed by Close() or by its caller.
  void SendGoaway();

  /// Cancels SendShutdownNotice() and SendGoaway() for new connections, which
  /// no longer get a GOAWAY. A GOAWAY that was already sent remains in force,
  /// as HTTP/3 can't withdraw it.
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
