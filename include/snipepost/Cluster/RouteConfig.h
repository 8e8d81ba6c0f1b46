#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/Types.h>

namespace snipepost::cluster {

/// Position of a route configuration in the order of accepted ones. The gaps
/// between consecutive versions are irregular.
using ConfigVersion = Strong<struct ConfigVersionTag, uint64_t>;

/// What a route's requests allow: only Safe and Download may run twice.
enum class RequestKind
{
  Safe,
  Unsafe,
  Download,
};

/// One of the services that a route's new flows are divided among.
struct WeightedService
{
  std::string mService;
  uint32_t mWeight = 1;

  bool operator==(const WeightedService&) const = default;
};

/// Where the flows of one service address go and what they carry.
struct Route
{
  std::string mName;
  Address mAddress;
  RequestKind mKind = RequestKind::Unsafe;
  Duration mTimeout{};
  Duration mObjective{};
  /// 0 is the most urgent.
  uint32_t mPriority = 0;
  /// Never empty; the weights add up to more than 0.
  std::vector<WeightedService> mServices;

  bool operator==(const Route&) const = default;
};

/// Properties of a service's backend servers.
struct ServiceConfig
{
  std::string mHealthPath;
  /// Flows that one backend server holds.
  uint32_t mMaxFlows = 0;
  /// Requests a second that a cold backend server bears; 0: not stated.
  double mColdPerSecond = 0.0;

  bool operator==(const ServiceConfig&) const = default;
};

/// The operator's configuration, decoded. Replaced as a whole.
struct RouteConfig
{
  ConfigVersion mVersion;
  std::unordered_map<Address, Route> mRoutes;
  std::map<std::string, ServiceConfig> mServices;
  /// A flow without packets for this long may be forgotten.
  Duration mIdleTimeout = std::chrono::seconds(15);
};

} // namespace snipepost::cluster
