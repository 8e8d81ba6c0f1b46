#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/Types.h>

namespace snipepost::cluster {

/// Version of a route configuration; increases with each accepted one, by
/// irregular steps.
using ConfigVersion = StrongType<struct ConfigVersionTag, uint64_t>;

/// Kind of a route's requests: only Safe and Download may run twice.
enum class RequestKind
{
  Safe,
  Unsafe,
  Download,
};

/// A service that receives a weighted share of a route's new flows.
struct WeightedService
{
  std::string mService;
  uint32_t mWeight = 1;

  bool operator==(const WeightedService&) const = default;
};

/// Services and request properties of the flows to one service address.
struct Route
{
  std::string mName;
  Address mAddress;
  RequestKind mKind = RequestKind::Unsafe;
  Duration mTimeout{};
  /// Target latency.
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
  /// Flows that one backend server can have open.
  uint32_t mMaxFlows = 0;
  /// Requests a second that a cold backend server sustains; 0: not configured.
  double mColdPerSecond = 0.0;

  bool operator==(const ServiceConfig&) const = default;
};

/// The operator's configuration, decoded. Replaced as a whole.
struct RouteConfig
{
  ConfigVersion mVersion;
  std::unordered_map<Address, Route> mRoutes;
  std::map<std::string, ServiceConfig> mServices;
  /// A flow without packets for this long may be expired.
  Duration mIdleTimeout = std::chrono::seconds(15);
};

} // namespace snipepost::cluster
