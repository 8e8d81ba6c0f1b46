#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <asio.hpp>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/Types.h>
#include <snipepost/Http2/Message.h>

namespace snipepost::http2 {

/// Error codes of RFC 9113 section 7 that a handler may reset a stream with.
enum class ResetCode : uint32_t
{
  NoError = 0x0,
  InternalError = 0x2,
  RefusedStream = 0x7, ///< The request was not processed.
  Cancel = 0x8,
};

/// A request with its complete body.
struct ServerRequest
{
  std::string mMethod;
  std::string mPath;
  Headers mHeaders;
  std::string mBody;
  Address mPeer;
};

/// Sends the response to one request, at once or later. All functions do
/// nothing once the response has ended, the stream was reset or the connection
/// was lost.
class Responder
{
public:
  virtual ~Responder() = default;

  /// Sends a complete response.
  virtual void Respond(int aStatus, Headers aHeaders, std::string aBody) = 0;

  /// Starts a streamed response; Write() and End() follow.
  virtual void Start(int aStatus, Headers aHeaders) = 0;

  /// Appends to a streamed response. Returns false when the buffer is full:
  /// aBytes are still buffered, but further writes should wait for
  /// OnWritable().
  virtual bool Write(std::string_view aBytes) = 0;

  /// Ends a streamed response.
  virtual void End() = 0;

  /// Resets the stream. RefusedStream means that the request was
  /// not processed.
  virtual void Reset(ResetCode aCode) = 0;

  /// Sets the callback that is called, at most once, when the client cancels
  /// the request or the connection is lost before the complete response was
  /// sent.
  virtual void OnCancel(std::function<void()> aCallback) = 0;

  /// Sets the callback that is called when the buffer of a streamed response
  /// has room again.
  virtual void OnWritable(std::function<void()> aCallback) = 0;

  /// True until the response was ended, reset or cancelled.
  virtual bool Open() const = 0;
};

/// Called for each complete request. Destroying the responder without a
/// response resets the stream with INTERNAL_ERROR.
using Handler = std::function<void(ServerRequest, std::shared_ptr<Responder>)>;

struct ServerOptions
{
  /// A larger request body is rejected with status 413.
  size_t mMaxBody = 1024UL * 1024;
  /// A larger header list (size as in RFC 9113 section 6.5.2) is rejected with
  /// status 431.
  size_t mMaxHeaderBytes = 16UL * 1024;
  uint32_t mMaxStreams = 100;
  /// Further connections are closed right after they are accepted.
  size_t mMaxConnections = 1000;
  /// A connection whose preface has not arrived within this time is closed.
  Duration mPrefaceTimeout = std::chrono::seconds(5);
  /// Time between the shutdown notice and the final GOAWAY, during which
  /// requests arrive that the client sent before it received the notice.
  Duration mGoAwayDelay = std::chrono::milliseconds(100);
};

/// An HTTP/2 server (cleartext, prior knowledge).
class Server
{
public:
  /// Listens on aAddress; port 0 selects a free port. Throws std::system_error
  /// on failure.
  Server(asio::io_context& aContext,
         Address aAddress,
         Handler aHandler,
         ServerOptions = {});
  /// Closes all connections like Close(), without calling any callback.
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// The address that the server listens on, with the actual port.
  Address LocalAddress() const;

  /// Number of open connections.
  size_t Connections() const;

  /// Stops accepting, announces the shutdown on every connection, lets the
  /// requests in progress finish, then calls aDone.
  void Shutdown(std::function<void()> aDone);

  /// Stops accepting and closes all connections at once.
  void Close();

  class Impl;

private:
  std::shared_ptr<Impl> mImpl;
};

} // namespace snipepost::http2
