#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/Types.h>
#include <snipepost/Quic/Credentials.h>
#include <snipepost/Quic/Types.h>

namespace snipepost {

/// Why a client connection was closed.
enum class ClientCloseReason : uint8_t
{
  ClosedByServer,
  /// The server refused the connection; no request was processed.
  Refused,
  ClosedByClient,
  TimedOut,
  ProtocolError,
};

/// Callbacks of a ClientConnection, called from within OnDatagram(), OnTimer()
/// and Flush(). They must not destroy the connection.
class ClientEvents
{
public:
  virtual ~ClientEvents() = default;

  /// Requests can be submitted from now on.
  virtual void OnConnected() = 0;

  /// The connection is closed. OnResponseBroken() has been called before for
  /// every request that was still in progress. aErrorCode is the error code of
  /// the server's CONNECTION_CLOSE if it sent one, otherwise 0.
  virtual void OnClosed(ClientCloseReason aReason, uint64_t aErrorCode) = 0;

  virtual void OnResponseHeaders(StreamId aStream,
                                 const HttpFields& aFields) = 0;
  virtual void OnResponseBody(StreamId aStream,
                              std::span<const uint8_t> aBytes) = 0;
  virtual void OnResponseEnd(StreamId aStream) = 0;

  /// The server did not process the request: it reset the stream with
  /// H3_REQUEST_REJECTED, or its GOAWAY excludes the stream.
  virtual void OnRejected(StreamId aStream) = 0;

  /// The response ended before it was complete. aErrorCode is the server's
  /// error code if it reset the stream, otherwise 0.
  virtual void OnResponseBroken(StreamId aStream, uint64_t aErrorCode) = 0;

  /// The server sent GOAWAY, so new requests need another connection. The
  /// server does not process streams from aFirstUnprocessed on. A shutdown
  /// notice announces a later GOAWAY; it has the greatest stream ID, so it
  /// excludes no request.
  virtual void OnGoaway(StreamId aFirstUnprocessed) = 0;
};

/// The client side of a QUIC connection with HTTP/3. It has no socket, clock or
/// thread. As with ServerEndpoint, the owner calls Flush() after each batch of
/// calls. PING frames keep an idle connection from timing out.
class ClientConnection
{
public:
  using DatagramSink = std::function<void(std::span<const uint8_t> aPayload)>;

  /// Starts connecting; Flush() sends the first datagram. aEvents must outlive
  /// the connection.
  ClientConnection(const Credentials& aCredentials,
                   const QuicLimits& aLimits,
                   const std::string& aServerName,
                   const Address& aLocal,
                   const Address& aRemote,
                   DatagramSink aSink,
                   ClientEvents& aEvents,
                   Instant aNow);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  void OnDatagram(std::span<const uint8_t> aPayload, Instant aNow);
  Instant NextDeadline() const;
  void OnTimer(Instant aNow);
  void Flush(Instant aNow);

  /// Sends a request with a complete body. aFields starts with the
  /// pseudo-header fields. Returns nothing when no stream is available, or when
  /// the connection is not open or has received GOAWAY.
  std::optional<StreamId> Submit(const HttpFields& aFields,
                                 std::span<const uint8_t> aBody);

  /// Cancels a request; no more events are reported for it.
  void Cancel(StreamId aStream);

  /// Closes the connection. Flush() sends CONNECTION_CLOSE.
  void Close(Http3Error aError);

  /// True from OnConnected() until the connection is closed, fails or times
  /// out; OnClosed() follows with the next Flush().
  bool IsOpen() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace snipepost
