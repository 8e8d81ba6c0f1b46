#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>

#include <asio.hpp>
#include <boost/json.hpp>

#include <snipepost/Base/KeyedTag.h>
#include <snipepost/Http2/Server.h>
#include <snipepost/Metrics/Registry.h>

#include <src/Daemon/ControlPlane.h>

namespace snipepost {

/// HTTP server at the control address: documents, exchanges and relayed
/// requests for other instances, status and metrics for operators. Requests
/// that change state need a valid tag.
class ControlServer
{
public:
  using RelayHandler = std::function<void(http2::ServerRequest,
                                          std::shared_ptr<http2::Responder>)>;

  ControlServer(asio::io_context& aContext,
                const Address& aListen,
                const KeyRing& aKeys,
                ControlPlane& aControl,
                Registry& aRegistry);

  /// Sets the function that adds the role's fields to GET /v1/status.
  void SetStatusProvider(std::function<boost::json::object()> aProvider)
  {
    mStatusProvider = std::move(aProvider);
  }

  /// Sets the handler of POST /v1/relay, which returns 404 without one.
  void SetRelayHandler(RelayHandler aHandler) { mRelay = std::move(aHandler); }

  /// Set to false when this instance starts to shut down: GET /v1/ready then
  /// returns 503. It also returns 503 while there is no document or the failure
  /// domain is out, and 200 otherwise.
  void SetReady(bool aReady) { mReady = aReady; }

private:
  using ResponderPtr = std::shared_ptr<http2::Responder>;
  using HandlerMethod = void (ControlServer::*)(http2::ServerRequest,
                                                ResponderPtr);

  /// Entry of the table of paths.
  struct Route
  {
    const char* mMethod;
    const char* mPath;
    bool mRequiresTag;
    HandlerMethod mHandler;
  };
  static const std::array<Route, 7> kRoutes;

  void Handle(http2::ServerRequest aRequest, ResponderPtr aResponder);
  void HandleDocument(http2::ServerRequest aRequest, ResponderPtr aResponder);
  void HandleView(http2::ServerRequest aRequest, ResponderPtr aResponder);
  void HandleExchange(http2::ServerRequest aRequest, ResponderPtr aResponder);
  void HandleStatus(http2::ServerRequest aRequest, ResponderPtr aResponder);
  void HandleMetrics(http2::ServerRequest aRequest, ResponderPtr aResponder);
  void HandleReady(http2::ServerRequest aRequest, ResponderPtr aResponder);
  void HandleRelay(http2::ServerRequest aRequest, ResponderPtr aResponder);

  const KeyRing& mKeys;
  ControlPlane& mControl;
  Registry& mRegistry;
  std::function<boost::json::object()> mStatusProvider;
  RelayHandler mRelay;
  bool mReady = true;
  Counter& mUntaggedRequests;
  http2::Server mServer;
};

} // namespace snipepost
