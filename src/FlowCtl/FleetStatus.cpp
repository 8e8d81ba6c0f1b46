#include "src/FlowCtl/FleetStatus.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace snipepost::flowctl {

namespace {

/// Calls at a time: each has a socket, of which a process may commonly have
/// 1,024, and a call takes 1 s when an instance does not respond.
constexpr size_t kMaxCalls = 256;

constexpr const char* kRowFormat =
  "{:<22} {:<24} {:<6} {:<12} {:>7} {:>8} {:<8} {:<16} {}\n";

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

std::string
StatusRow(const Address& aAddress,
          const InstanceStatus& aStatus,
          const std::string& aRemark)
{
  return fmt::format(kRowFormat,
                     ToString(aAddress),
                     aStatus.mName,
                     aStatus.mRole,
                     aStatus.mDomain,
                     aStatus.mConfigVersion,
                     aStatus.mBackendCount,
                     aStatus.mWatching ? "yes" : "no",
                     JoinOrDash(aStatus.mEvacuated),
                     aRemark);
}

} // namespace

FleetStatus::FleetStatus(asio::io_context& aContext, Duration aTimeout)
  : mContext(aContext)
  , mTimeout(aTimeout)
{
}

void
FleetStatus::Query(const Address& aInstance)
{
  if (mInstances.try_emplace(aInstance, std::nullopt).second) {
    mWaiting.push_back(aInstance);
    StartCalls();
  }
}

void
FleetStatus::StartCalls()
{
  while (!mWaiting.empty() && mCalls.size() < kMaxCalls) {
    const Address instance = mWaiting.front();
    mWaiting.pop_front();
    auto& client = mCalls[instance];
    client = std::make_unique<http1::Client>(mContext, instance);
    client->Call({ "GET", "/status", {} },
                 mTimeout,
                 [this, instance](http1::Result aResult,
                                  const http1::Response& aResponse) {
                   mCalls.erase(instance);
                   if (aResult == http1::Result::Ok) {
                     OnResponse(instance, aResponse.mBody);
                   }
                   StartCalls();
                 });
  }
}

void
FleetStatus::OnResponse(const Address& aInstance, const std::string& aBody)
{
  auto status = DecodeStatus(aBody);
  if (!status) {
    return;
  }
  for (const std::string& ip : std::exchange(status->mPeers, {})) {
    // All instances use the same internal port.
    if (const auto peer =
          ParseAddress(ip + ':' + std::to_string(aInstance.mPort))) {
      Query(*peer);
    }
  }
  mInstances[aInstance] = std::move(status);
}

std::string
StatusText(const InstanceStatuses& aInstances, bool& aAllHealthy)
{
  uint64_t highestVersion = 0;
  for (const auto& [address, status] : aInstances) {
    highestVersion =
      std::max(highestVersion, status ? status->mConfigVersion : 0);
  }
  std::string text = fmt::format(kRowFormat,
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
    text += StatusRow(address, *status, remark);
  }
  return text;
}

} // namespace snipepost::flowctl
