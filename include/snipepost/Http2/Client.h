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

/// How a request ended. After Broken, TimedOut and Cancelled, the server may
/// have processed it.
enum class Result
{
  Answered,  ///< The complete response has arrived.
  Refused,   ///< The server declared that it did not process the request.
  NotSent,   ///< No part of the request left this process.
  Broken,    ///< The connection was lost or the stream was reset.
  TimedOut,  ///< The response was not complete in time.
  Cancelled, ///< Cancel() was called.
};

/// Names a result for log lines.
std::string_view
ToString(Result aResult);

/// Identifies a request within its Client.
using RequestId = StrongType<struct ClientRequestTag, uint64_t>;

/// A request. The client adds the pseudo-headers.
struct Request
{
  std::string mMethod = "GET";
  std::string mPath = "/";
  Headers mHeaders{};
  std::string mBody{};
  /// When true, mBody is only the beginning; the rest follows with Write() and
  /// EndBody().
  bool mStreamed = false;
  /// Time limit from Send() to the end of the response; 0 means none.
  Duration mTimeout{ 0 };
};

/// Callbacks of a request. They run on the io_context, never within a member
/// function of Client. mOnEnd is called exactly once, as the last callback,
/// unless the client is destroyed first.
struct ResponseCallbacks
{
  /// Status and headers of the final response.
  std::function<void(int, Headers)> mOnHeaders;
  /// A piece of the body. Client::Consume() must be called for its bytes, or
  /// the peer stops sending when the stream window is used up.
  std::function<void(Chunk)> mOnData;
  /// The buffer of a streamed request body has room again.
  std::function<void()> mOnWritable;
  std::function<void(Result)> mOnEnd;
};

/// A response with its body, as Collect() returns it.
struct Response
{
  int mStatus = 0;
  Headers mHeaders;
  std::string mBody;
  /// The body exceeded the limit of Collect() and was truncated to it.
  bool mTruncated = false;
};

struct ClientOptions
{
  /// Connecting takes milliseconds on loopback and within a region. The limit
  /// allows for a lost SYN, which is retransmitted after 1 s.
  Duration mConnectTimeout = std::chrono::seconds(3);
  /// Bytes of a response that the peer may send ahead of Consume().
  int32_t mStreamWindow = 256 * 1024;
};

/// An HTTP/2 client (cleartext, prior knowledge) with one connection. The first
/// request opens it, and the first one after a lost connection or a GOAWAY
/// opens a new one. Destroying the client drops the open requests without
/// calling their callbacks.
class Client
{
public:
  Client(asio::io_context& aContext, Address aServer, ClientOptions = {});
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Starts a request.
  RequestId Send(Request aRequest, ResponseCallbacks aCallbacks);

  /// Starts a request and passes its response with the whole body to aDone. A
  /// body of more than aLimit bytes is truncated, and the result is Answered.
  RequestId Collect(Request aRequest,
                    size_t aLimit,
                    std::function<void(Result, Response)> aDone);

  /// Ends the request with Cancelled and resets its stream with CANCEL. Does
  /// nothing for a request that has ended.
  void Cancel(RequestId aRequest);

  /// Reports that aBytes of the response body were processed, so that the peer
  /// may send more.
  void Consume(RequestId aRequest, size_t aBytes);

  /// Appends to a streamed request body. Returns false when the buffer is full:
  /// aBytes are still buffered, but further writes should wait for mOnWritable.
  bool Write(RequestId aRequest, std::string_view aBytes);

  /// Ends a streamed request body.
  void EndBody(RequestId aRequest);

  /// Closes the connection. Open requests end with Broken or NotSent.
  void Close();

  /// True while a connection is established and usable.
  bool Connected() const;

  class Impl;

private:
  std::shared_ptr<Impl> mImpl;
};

} // namespace snipepost::http2
