#pragma once

#include <functional>
#include <memory>

#include <asio.hpp>

#include <snipepost/Admission/Events.h>
#include <snipepost/Base/Address.h>
#include <snipepost/Http2/Client.h>

namespace snipepost {

/// Polls the backend server's health and load at a fixed interval over a
/// separate connection.
class BackendMonitor
{
public:
  using StateCallback = std::function<void(const BackendState&)>;

  BackendMonitor(asio::io_context& aContext,
                 const Address& aBackend,
                 StateCallback aOnState);

  void Start() { ReadHealth(); }

private:
  void ReadHealth();
  void ReadLoad(BackendState aState);
  void ReportState(const BackendState& aState);

  http2::Client mClient;
  asio::steady_timer mTimer;
  StateCallback mOnState;
};

} // namespace snipepost
