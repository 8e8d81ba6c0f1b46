#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include <asio.hpp>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/Types.h>
#include <snipepost/Http1/Message.h>

namespace snipepost::http1 {

/// How a call ended.
enum class Result
{
  Ok,
  /// The connection could not be established; the request was not sent.
  NotConnected,
  /// No complete response arrived in time; the request may have been processed.
  TimedOut,
  /// The connection broke or the response was malformed; the request may have
  /// been processed.
  Broken,
};

std::string_view
ToString(Result aResult);

/// Limits of the time that a call may take. A large response on a slow link
/// takes long, but its parts keep arriving.
struct CallTimeouts
{
  /// From the start, which includes connecting, to the first part of the
  /// response.
  Duration mResponse;
  /// Between two parts of the response.
  Duration mProgress;
  /// From the start to the end of the response.
  Duration mTotal;
};

/// Called once per call; the response is set when the result is Ok.
using ResponseHandler = std::function<void(Result, const Response&)>;

/// An HTTP/1.1 client with one connection, which is kept open between calls and
/// replaced after any failure, because a broken one may never respond again.
/// Calls made while another is in progress are queued. Requests are never
/// retried.
/// Destroying the client drops the calls without calling their handlers.
class Client
{
public:
  Client(asio::io_context& aContext, const Address& aServer);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends aRequest.
  void Call(Request aRequest,
            const CallTimeouts& aTimeouts,
            ResponseHandler aDone);
  /// The same with one timeout for the whole call.
  void Call(Request aRequest, Duration aTimeout, ResponseHandler aDone);

  /// Closes the connection and drops all calls without calling handlers.
  void Reset();

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace snipepost::http1
