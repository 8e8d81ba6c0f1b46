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

/// Why a caller's connection ended.
enum class ClientEnd : uint8_t
{
  ClosedByServer,
  /// The server refused the connection; no request ran.
  Refused,
  ClosedByClient,
  TimedOut,
  ProtocolError,
};

/// What a ClientConnection reports. Calls come from inside OnDatagram(),
/// OnTimer() and Flush(). The connection must not be destroyed within them.
class ClientEvents
{
public:
  virtual ~ClientEvents() = default;

  /// Requests can be submitted from now on.
  virtual void OnConnected() = 0;

  /// The connection is over. Requests that have no end, reset or rejection
  /// have been reported through OnResponseBroken() before.
  virtual void OnClosed(ClientEnd aEnd, uint64_t aErrorCode) = 0;

  virtual void OnResponseHeaders(StreamId aStream,
                                 const HttpFields& aFields) = 0;
  virtual void OnResponseBody(StreamId aStream,
                              std::span<const uint8_t> aBytes) = 0;
  virtual void OnResponseEnd(StreamId aStream) = 0;

  /// The server says that the request did not run: a reset with
  /// H3_REQUEST_REJECTED, or a GOAWAY that excludes the stream.
  virtual void OnRejected(StreamId aStream) = 0;

  /// The response will never be complete. aErrorCode is the server's when it
  /// reset the stream, otherwise 0.
  virtual void OnResponseBroken(StreamId aStream, uint64_t aErrorCode) = 0;

  /// New requests belong on another connection. aLast is the first stream ID
  /// that the server will not handle; a shutdown notice has the greatest.
  virtual void OnGoaway(StreamId aLast) = 0;
};

/// One caller's QUIC and HTTP/3 connection, without socket, clock or thread.
/// As with ServerEndpoint, the owner calls Flush() after each batch of calls.
/// The connection sends PING frames so that it doesn't time out while idle.
class ClientConnection
{
public:
  using DatagramSink = std::function<void(std::span<const uint8_t> aPayload)>;

  /// Starts connecting; Flush() sends the first datagram. aEvents outlives
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

  /// Sends a request with a complete body. aFields starts with the pseudo
  /// header fields. Returns nothing when no stream is available, or when the
  /// connection is not open or has received GOAWAY.
  std::optional<StreamId> Submit(const HttpFields& aFields,
                                 std::span<const uint8_t> aBody);

  /// Gives up on a request; no more events are reported for it.
  void Cancel(StreamId aStream);

  /// Closes the connection. Flush() sends CONNECTION_CLOSE.
  void Close(Http3Error aError);

  /// True from OnConnected() until OnClosed().
  bool IsOpen() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace snipepost
