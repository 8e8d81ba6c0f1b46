#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <asio.hpp>

#include <snipepost/Base/Address.h>
#include <snipepost/Http1/Client.h>

namespace snipepost::flowctl {

/// The status that an instance reports.
struct InstanceStatus
{
  std::string mName;
  std::string mRole;
  std::string mDomain;
  uint64_t mConfigVersion = 0;
  uint64_t mBackendCount = 0;
  bool mWatching = false;
  bool mStoreReachable = false;
  std::vector<std::string> mEvacuated;
  /// IP addresses of the entry instances and agents that it reports.
  std::vector<std::string> mPeers;
};

/// Decodes the response of an instance; nothing when it is malformed.
std::optional<InstanceStatus>
DecodeStatus(std::string_view aBody);

/// Queries instances, and the peers that they report, for their status.
class FleetStatus
{
public:
  FleetStatus(asio::io_context& aContext, Duration aTimeout);

  /// Queries the instance whose internal address is aInstance, unless it was
  /// queried already.
  void Query(const Address& aInstance);

  /// The instances that were queried; nothing for those without a valid
  /// response.
  const std::map<Address, std::optional<InstanceStatus>>& Instances() const
  {
    return mInstances;
  }

private:
  void OnResponse(const Address& aInstance, const std::string& aBody);

  asio::io_context& mContext;
  Duration mTimeout;
  std::map<Address, std::optional<InstanceStatus>> mInstances;
  std::vector<std::unique_ptr<http1::Client>> mClients;
};

/// Formats a table of the instances with a remark on each that has a problem.
/// Sets aAllHealthy to false when an instance does not respond, has an older
/// configuration than another one, or watches the store and can't reach it.
std::string
StatusText(const std::map<Address, std::optional<InstanceStatus>>& aInstances,
           bool& aAllHealthy);

} // namespace snipepost::flowctl
