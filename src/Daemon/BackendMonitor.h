#pragma once

#include <functional>
#include <memory>

#include <asio.hpp>

#include <snipepost/Admission/Events.h>
#include <snipepost/Base/Address.h>
#include <snipepost/Http2/Client.h>

namespace snipepost {

/// Reads the backend server's health and load at a fixed interval over a
/// connection of its own.
class BackendMonitor
{
public:
  using Report = std::function<void(const BackendState&)>;

  BackendMonitor(asio::io_context& aContext,
                 const Address& aBackend,
                 Report aReport);

  void Start() { ReadHealth(); }

private:
  void ReadHealth();
  void ReadLoad(BackendState aState);
  void Finish(const BackendState& aState);

  http2::Client mClient;
  asio::steady_timer mTimer;
  Report mReport;
};

} // namespace snipepost
