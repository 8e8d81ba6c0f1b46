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

/// What an instance says of itself.
struct InstanceStatus
{
  std::string mName;
  std::string mRole;
  std::string mDomain;
  uint64_t mConfig = 0;
  uint64_t mBackends = 0;
  bool mWatching = false;
  bool mStoreReachable = false;
  std::vector<std::string> mEvacuated;
  /// IP numbers of other instances that it knows.
  std::vector<std::string> mPeers;
};

/// Decodes the response of an instance; nothing when it is malformed.
std::optional<InstanceStatus>
DecodeStatus(std::string_view aBody);

/// Asks instances for their status, and all others that they know of.
class FleetStatus
{
public:
  FleetStatus(asio::io_context& aContext, Duration aTimeout);

  /// Asks the instance whose internal address is aInstance.
  void Ask(const Address& aInstance);

  /// The instances that were asked; nothing for those that did not answer.
  const std::map<Address, std::optional<InstanceStatus>>& Instances() const
  {
    return mInstances;
  }

private:
  void OnAnswer(const Address& aInstance, const std::string& aBody);

  asio::io_context& mContext;
  Duration mTimeout;
  std::map<Address, std::optional<InstanceStatus>> mInstances;
  std::vector<std::unique_ptr<http1::Client>> mClients;
};

/// A table of the instances, with what is behind or missing. aAllWell is set to
/// false when an instance does not answer, is behind the highest configuration
/// or does not reach the store while it watches it.
std::string
StatusText(const std::map<Address, std::optional<InstanceStatus>>& aInstances,
           bool& aAllWell);

} // namespace snipepost::flowctl
