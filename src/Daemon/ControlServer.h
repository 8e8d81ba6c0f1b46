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

/// Serves the control address: documents and exchanges for other instances,
/// status and metrics for operators. Requests that change state need a tag.
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

  /// Adds the role's part of GET /v1/status.
  void SetStatus(std::function<boost::json::object()> aStatus)
  {
    mStatus = std::move(aStatus);
  }

  /// Serves POST /v1/relay; without a handler it is answered with 404.
  void SetRelayHandler(RelayHandler aHandler) { mRelay = std::move(aHandler); }

  /// What GET /v1/ready answers: 200, or 503 when this instance leaves. It is
  /// 503 too without a document and in a failure domain that is out.
  void SetReady(bool aReady) { mReady = aReady; }

private:
  using ResponderPtr = std::shared_ptr<http2::Responder>;
  using Method = void (ControlServer::*)(http2::ServerRequest, ResponderPtr);

  /// One line of the table of paths.
  struct Route
  {
    const char* mMethod;
    const char* mPath;
    bool mTagged;
    Method mHandle;
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
  Counter& mUntagged;
  http2::Server mServer;
};

} // namespace snipepost
