#pragma once

#include <functional>
#include <memory>

#include <asio.hpp>

#include <snipepost/Base/Address.h>
#include <snipepost/Http1/Message.h>

namespace snipepost::http1 {

using RequestHandler = std::function<Response(const Request&)>;

/// Sends the response to a request; called once, immediately or later.
/// Destroying it without a call closes the connection.
using Responder = std::function<void(const Response&)>;
using DeferredHandler = std::function<void(const Request&, Responder)>;

/// An HTTP/1.1 server for short requests. Closes connections with a malformed
/// request or one above 64 KiB, and new connections while 256 are open.
class Server
{
public:
  /// Listens on aLocal. Throws std::system_error when it can't be bound.
  Server(asio::io_context& aContext,
         const Address& aLocal,
         RequestHandler aHandler);
  /// The same for handlers that may respond later.
  Server(asio::io_context& aContext,
         const Address& aLocal,
         DeferredHandler aHandler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  Address Local() const;

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace snipepost::http1
