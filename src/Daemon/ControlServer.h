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
  void SetStatus(std::function<boost::json::object()> aStatus)
  {
    mStatus = std::move(aStatus);
  }

  /// Sets the handler of POST /v1/relay, which returns 404 without one.
  void SetRelayHandler(RelayHandler aHandler) { mRelay = std::move(aHandler); }

  /// Sets whether GET /v1/ready returns 200, or 503 while this instance leaves.
  /// It also returns 503 without a document and in a failure domain that is
  /// out.
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
  void Document(http2::ServerRequest aRequest, ResponderPtr aResponder);
  void View(http2::ServerRequest aRequest, ResponderPtr aResponder);
  void Exchange(http2::ServerRequest aRequest, ResponderPtr aResponder);
  void Status(http2::ServerRequest aRequest, ResponderPtr aResponder);
  void Metrics(http2::ServerRequest aRequest, ResponderPtr aResponder);
  void Ready(http2::ServerRequest aRequest, ResponderPtr aResponder);
  void Relay(http2::ServerRequest aRequest, ResponderPtr aResponder);

  const KeyRing& mKeys;
  ControlPlane& mControl;
  Registry& mRegistry;
  std::function<boost::json::object()> mStatus;
  RelayHandler mRelay;
  bool mReady = true;
  Counter& mUntaggedRequests;
  http2::Server mServer;
};

} // namespace snipepost
