#include "src/FlowCtl/FleetStatus.h"

#include <algorithm>

#include <fmt/format.h>

#include <snipepost/Cluster/JsonFields.h>

namespace snipepost::flowctl {

namespace json = boost::json;

namespace {

std::vector<std::string>
TextsIn(const json::object& aObject, std::string_view aName)
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
FlagIn(const json::object& aObject, std::string_view aName)
{
  const json::value* flag = aObject.if_contains(aName);
  return flag && flag->is_bool() && flag->get_bool();
}

std::string
Joined(const std::vector<std::string>& aTexts)
{
  return aTexts.empty() ? "-" : fmt::format("{}", fmt::join(aTexts, ","));
}

/// What is wrong with an instance; empty when nothing is.
std::string
Remark(const InstanceStatus& aStatus, uint64_t aHighest)
{
  if (aStatus.mConfig < aHighest) {
    return fmt::format("behind version {}", aHighest);
  }
  return aStatus.mWatching && !aStatus.mStoreReachable ? "store lost" : "";
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
  status.mConfig = *config;
  status.mBackends = *backends;
  status.mWatching = FlagIn(*object, "watching");
  status.mStoreReachable = FlagIn(*object, "storeReachable");
  status.mEvacuated = TextsIn(*object, "evacuated");
  status.mPeers = TextsIn(*object, "entries");
  const auto agents = TextsIn(*object, "agents");
  status.mPeers.insert(status.mPeers.end(), agents.begin(), agents.end());
  return status;
}

FleetStatus::FleetStatus(asio::io_context& aContext, Duration aTimeout)
  : mContext(aContext)
  , mTimeout(aTimeout)
{
}

void
FleetStatus::Ask(const Address& aInstance)
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
        OnAnswer(aInstance, aResponse.mBody);
      }
    });
}

void
FleetStatus::OnAnswer(const Address& aInstance, const std::string& aBody)
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
      Ask(*peer);
    }
  }
}

std::string
StatusText(const std::map<Address, std::optional<InstanceStatus>>& aInstances,
           bool& aAllWell)
{
  uint64_t highest = 0;
  for (const auto& [address, status] : aInstances) {
    highest = std::max(highest, status ? status->mConfig : 0);
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
      aAllWell = false;
      text += fmt::format("{:<22} does not answer\n", ToString(address));
      continue;
    }
    const std::string remark = Remark(*status, highest);
    aAllWell = aAllWell && remark.empty();
    text += fmt::format("{:<22} {:<24} {:<6} {:<12} {:>7} {:>8} {:<8} "
                        "{:<16} {}\n",
                        ToString(address),
                        status->mName,
                        status->mRole,
                        status->mDomain,
                        status->mConfig,
                        status->mBackends,
                        status->mWatching ? "yes" : "no",
                        Joined(status->mEvacuated),
                        remark);
  }
  return text;
}

} // namespace snipepost::flowctl
