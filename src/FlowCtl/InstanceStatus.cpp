#include "src/FlowCtl/InstanceStatus.h"

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

const json::object*
ObjectField(const json::object& aObject, std::string_view aName)
{
  const json::value* field = aObject.if_contains(aName);
  return field ? field->if_object() : nullptr;
}

std::optional<AgentCapacity>
DecodeCapacity(const json::object& aStatus)
{
  const auto service = cluster::TextField(aStatus, "service");
  const json::object* object = ObjectField(aStatus, "capacity");
  if (!service || !object) {
    return std::nullopt;
  }
  const auto slots = cluster::CountField(*object, "slots");
  const auto load = cluster::CountField(*object, "load");
  const auto waiting = cluster::CountField(*object, "waiting");
  if (!slots || !load || !waiting) {
    return std::nullopt;
  }
  AgentCapacity capacity{ *service, *slots, *load, *waiting, std::nullopt };
  const auto time = cluster::NumberField(*object, "serviceMs");
  if (time && *time > 0.0) {
    capacity.mServiceTime = Milliseconds(*time);
  }
  return capacity;
}

RouteRefusals
DecodeRoute(const json::object& aRoute)
{
  RouteRefusals refusals;
  refusals.mServices = TextListField(aRoute, "services");
  const json::object* reasons = ObjectField(aRoute, "reasons");
  if (!reasons) {
    return refusals;
  }
  for (const auto& [reason, value] : *reasons) {
    if (const auto flows = cluster::CountField(*reasons, reason)) {
      refusals.mFlowsByReason[reason] = *flows;
    }
  }
  return refusals;
}

std::optional<std::vector<RouteRefusals>>
DecodeRefusals(const json::object& aStatus)
{
  const json::object* routes = ObjectField(aStatus, "refused");
  if (!routes) {
    return std::nullopt;
  }
  std::vector<RouteRefusals> refusals;
  for (const auto& [address, route] : *routes) {
    if (route.is_object()) {
      refusals.push_back(DecodeRoute(route.get_object()));
    }
  }
  return refusals;
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
  status.mCapacity = DecodeCapacity(*object);
  status.mRefused = DecodeRefusals(*object);
  return status;
}

} // namespace snipepost::flowctl
