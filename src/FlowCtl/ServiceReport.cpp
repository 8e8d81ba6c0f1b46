#include "src/FlowCtl/ServiceReport.h"

#include <algorithm>
#include <numeric>

#include <fmt/format.h>

namespace snipepost::flowctl {

namespace {

constexpr size_t kMinKnownTimes = 4;
constexpr double kSlowFactor = 2.0;
constexpr const char* kNoService = "-";
constexpr const char* kRowFormat = "{:<28} {:>6} {:>6} {:>8} {:>7} {:>10} {}\n";

/// The agents of each service that know their service time.
using TimesByService = std::map<std::string, std::vector<SlowAgent>>;

Milliseconds
Mean(const std::vector<SlowAgent>& aAgents)
{
  const auto sum =
    std::accumulate(aAgents.begin(),
                    aAgents.end(),
                    Milliseconds(0),
                    [](Milliseconds aSum, const SlowAgent& aAgent) {
                      return aSum + aAgent.mServiceTime;
                    });
  return sum / static_cast<double>(aAgents.size());
}

Milliseconds
Median(std::vector<SlowAgent> aAgents)
{
  std::ranges::sort(aAgents, {}, &SlowAgent::mServiceTime);
  const size_t middle = aAgents.size() / 2;
  const Milliseconds upper = aAgents[middle].mServiceTime;
  return aAgents.size() % 2 == 1
           ? upper
           : (aAgents[middle - 1].mServiceTime + upper) / 2;
}

std::vector<SlowAgent>
SlowAgents(std::vector<SlowAgent> aAgents)
{
  if (aAgents.size() < kMinKnownTimes) {
    return {};
  }
  const Milliseconds limit = Median(aAgents) * kSlowFactor;
  std::erase_if(aAgents, [limit](const SlowAgent& aAgent) {
    return aAgent.mServiceTime < limit;
  });
  return aAgents;
}

void
AddCapacity(const AgentCapacity& aCapacity, ServiceReport& aReport)
{
  ++aReport.mAgents;
  aReport.mSlots += aCapacity.mSlots;
  aReport.mRequests += aCapacity.mRequests;
  aReport.mWaiting += aCapacity.mWaiting;
}

void
AddRefusals(const RouteRefusals& aRoute,
            std::map<std::string, ServiceReport>& aReports)
{
  const std::vector<std::string> none{ kNoService };
  for (const std::string& service :
       aRoute.mServices.empty() ? none : aRoute.mServices) {
    for (const auto& [reason, flows] : aRoute.mFlowsByReason) {
      if (flows > 0) {
        aReports[service].mRefused[reason] += flows;
      }
    }
  }
}

std::string
RefusedText(const ServiceReport& aReport)
{
  std::vector<std::string> reasons;
  for (const auto& [reason, flows] : aReport.mRefused) {
    reasons.push_back(fmt::format("{} {}", flows, reason));
  }
  return reasons.empty() ? "-" : fmt::format("{}", fmt::join(reasons, ", "));
}

std::string
ServiceRow(const std::string& aName, const ServiceReport& aReport)
{
  std::string text = fmt::format(
    kRowFormat,
    aName,
    aReport.mAgents,
    aReport.mSlots,
    aReport.mRequests,
    aReport.mWaiting,
    aReport.mServiceTime ? fmt::format("{:.1f}", aReport.mServiceTime->count())
                         : "-",
    RefusedText(aReport));
  for (const SlowAgent& agent : aReport.mSlowAgents) {
    text += fmt::format("  slow: {} {}, {:.1f} ms\n",
                        ToString(agent.mAddress),
                        agent.mName,
                        agent.mServiceTime.count());
  }
  return text;
}

/// A line about an instance whose report is missing; empty when it is not.
std::string
MissingRow(const Address& aAddress,
           const std::optional<InstanceStatus>& aStatus)
{
  if (!aStatus) {
    return fmt::format("{:<22} no valid status received\n", ToString(aAddress));
  }
  if (aStatus->mCapacity || aStatus->mRefused) {
    return "";
  }
  return fmt::format("{:<22} {:<24} {:<6} unknown: previous version\n",
                     ToString(aAddress),
                     aStatus->mName,
                     aStatus->mRole);
}

} // namespace

std::map<std::string, ServiceReport>
ReportServices(const InstanceStatuses& aInstances)
{
  std::map<std::string, ServiceReport> reports;
  TimesByService times;
  for (const auto& [address, status] : aInstances) {
    if (!status) {
      continue;
    }
    if (const auto& capacity = status->mCapacity) {
      AddCapacity(*capacity, reports[capacity->mService]);
      if (capacity->mServiceTime) {
        times[capacity->mService].push_back(
          { address, status->mName, *capacity->mServiceTime });
      }
    }
    for (const RouteRefusals& route :
         status->mRefused.value_or(std::vector<RouteRefusals>())) {
      AddRefusals(route, reports);
    }
  }
  for (const auto& [service, agents] : times) {
    reports[service].mServiceTime = Mean(agents);
    reports[service].mSlowAgents = SlowAgents(agents);
  }
  return reports;
}

std::string
OverloadText(const InstanceStatuses& aInstances, bool& aShort)
{
  std::string text = fmt::format(kRowFormat,
                                 "service",
                                 "agents",
                                 "slots",
                                 "requests",
                                 "waiting",
                                 "service ms",
                                 "refused in 10 s");
  for (const auto& [name, report] : ReportServices(aInstances)) {
    aShort = aShort || report.IsShort();
    text += ServiceRow(name, report);
  }
  for (const auto& [address, status] : aInstances) {
    text += MissingRow(address, status);
  }
  return text;
}

} // namespace snipepost::flowctl
