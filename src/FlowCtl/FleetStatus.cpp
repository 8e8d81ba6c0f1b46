#include "src/FlowCtl/FleetStatus.h"

#include <algorithm>

#include <fmt/format.h>

#include <snipepost/Cluster/JsonFields.h>

namespace snipepost::flowctl {

namespace json = boost::json;

namespace {

std::vector<std::string>
TextListField(const json::object& aObject, std::string_view aName)
{
  std::vector<std::string> texts;
  const json::value* list = aObject.if_contains(aName);
  if (!list || !list->is_array()) {
    return texts;
  }
  for (const json::value& item : list->get_array()) {
    if (item.is_string()) {
      texts.emplace_back(item.get_string());
    }
  }
  return texts;
}

bool
FlagField(const json::object& aObject, std::string_view aName)
{
  const json::value* flag = aObject.if_contains(aName);
  return flag && flag->is_bool() && flag->get_bool();
}

std::string
JoinOrDash(const std::vector<std::string>& aTexts)
{
  return aTexts.empty() ? "-" : fmt::format("{}", fmt::join(aTexts, ","));
}

/// The problem of an instance; empty when it has none.
std::string
RemarkOn(const InstanceStatus& aStatus, uint64_t aHighestVersion)
{
  if (aStatus.mConfigVersion < aHighestVersion) {
    return fmt::format("configuration older than version {}", aHighestVersion);
  }
  return aStatus.mWatching && !aStatus.mStoreReachable ? "can't reach the store"
                                                       : "";
}

} // namespace

std::optional<InstanceStatus>
DecodeStatus(std::string_view aBody)
{
  const auto object = cluster::ParseObject(aBody);
  if (!object) {
    return std::nullopt;
  }
  const auto name = cluster::TextField(*object, "name");
  const auto role = cluster::TextField(*object, "role");
  const auto domain = cluster::TextField(*object, "domain");
  const auto config = cluster::CountField(*object, "config");
  const auto backends = cluster::CountField(*object, "backends");
  if (!name || !role || !domain || !config || !backends) {
    return std::nullopt;
  }
  InstanceStatus status;
  status.mName = *name;
  status.mRole = *role;
  status.mDomain = *domain;
  status.mConfigVersion = *config;
  status.mBackendCount = *backends;
  status.mWatching = FlagField(*object, "watching");
  status.mStoreReachable = FlagField(*object, "storeReachable");
  status.mEvacuated = TextListField(*object, "evacuated");
  status.mPeers = TextListField(*object, "entries");
  const auto agents = TextListField(*object, "agents");
  status.mPeers.insert(status.mPeers.end(), agents.begin(), agents.end());
  return status;
}

FleetStatus::FleetStatus(asio::io_context& aContext, Duration aTimeout)
  : mContext(aContext)
  , mTimeout(aTimeout)
{
}

void
FleetStatus::Query(const Address& aInstance)
{
  if (!mInstances.try_emplace(aInstance, std::nullopt).second) {
    return;
  }
  mClients.push_back(std::make_unique<http1::Client>(mContext, aInstance));
  mClients.back()->Call(
    { "GET", "/status", {} },
    mTimeout,
    [this, aInstance](http1::Result aResult, const http1::Response& aResponse) {
      if (aResult == http1::Result::Ok) {
        OnResponse(aInstance, aResponse.mBody);
      }
    });
}

void
FleetStatus::OnResponse(const Address& aInstance, const std::string& aBody)
{
  const auto status = DecodeStatus(aBody);
  if (!status) {
    return;
  }
  mInstances[aInstance] = status;
  for (const std::string& ip : status->mPeers) {
    // All instances use the same internal port.
    if (const auto peer =
          ParseAddress(ip + ':' + std::to_string(aInstance.mPort))) {
      Query(*peer);
    }
  }
}

std::string
StatusText(const std::map<Address, std::optional<InstanceStatus>>& aInstances,
           bool& aAllHealthy)
{
  uint64_t highestVersion = 0;
  for (const auto& [address, status] : aInstances) {
    highestVersion =
      std::max(highestVersion, status ? status->mConfigVersion : 0);
  }
  std::string text = fmt::format("{:<22} {:<24} {:<6} {:<12} {:>7} {:>8} {:<8} "
                                 "{:<16} {}\n",
                                 "address",
                                 "name",
                                 "role",
                                 "domain",
                                 "config",
                                 "backends",
                                 "watches",
                                 "evacuated",
                                 "remark");
  for (const auto& [address, status] : aInstances) {
    if (!status) {
      aAllHealthy = false;
      text +=
        fmt::format("{:<22} no valid status received\n", ToString(address));
      continue;
    }
    const std::string remark = RemarkOn(*status, highestVersion);
    aAllHealthy = aAllHealthy && remark.empty();
    text += fmt::format("{:<22} {:<24} {:<6} {:<12} {:>7} {:>8} {:<8} "
                        "{:<16} {}\n",
                        ToString(address),
                        status->mName,
                        status->mRole,
                        status->mDomain,
                        status->mConfigVersion,
                        status->mBackendCount,
                        status->mWatching ? "yes" : "no",
                        JoinOrDash(status->mEvacuated),
                        remark);
  }
  return text;
}

} // namespace snipepost::flowctl
