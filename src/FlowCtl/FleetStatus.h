#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include <asio.hpp>

#include <snipepost/Base/Address.h>
#include <snipepost/Http1/Client.h>

#include "src/FlowCtl/InstanceStatus.h"

namespace snipepost::flowctl {

/// Queries instances, and the peers that they report, for their status.
class FleetStatus
{
public:
  FleetStatus(asio::io_context& aContext, Duration aTimeout);

  /// Queries the instance whose internal address is aInstance, unless it was
  /// queried already.
  void Query(const Address& aInstance);

  /// The statuses, without the peers.
  const InstanceStatuses& Instances() const { return mInstances; }

private:
  /// Calls as many of the waiting instances as may be called at a time.
  void StartCalls();
  void OnResponse(const Address& aInstance, const std::string& aBody);

  asio::io_context& mContext;
  Duration mTimeout;
  InstanceStatuses mInstances;
  std::deque<Address> mWaiting;
  std::map<Address, std::unique_ptr<http1::Client>> mCalls;
};

/// Formats a table of the instances with a remark on each that has a problem.
/// Sets aAllHealthy to false when an instance does not respond, has an older
/// configuration than another one, or watches the store and can't reach it.
std::string
StatusText(const InstanceStatuses& aInstances, bool& aAllHealthy);

} // namespace snipepost::flowctl
