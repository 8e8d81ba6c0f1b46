#include <snipepost/Cluster/BackendRecord.h>

#include <limits>

#include <snipepost/Cluster/JsonFields.h>

namespace snipepost::cluster {

namespace json = boost::json;

namespace {

std::optional<BackendState>
StateField(const json::object& aObject)
{
  const auto text = TextField(aObject, "state");
  if (text == "ready") {
    return BackendState::Ready;
  }
  if (text == "draining") {
    return BackendState::Draining;
  }
  return std::nullopt;
}

} // namespace

std::string
RecordName(const Address& aAgent)
{
  return ToString(aAgent);
}

std::string
EncodeRecord(const BackendRecord& aRecord)
{
  const json::object object = {
    { "service", aRecord.mService },
    { "agent", ToString(aRecord.mAgent) },
    { "domain", aRecord.mDomain },
    { "state", aRecord.mState == BackendState::Ready ? "ready" : "draining" },
    { "slots", aRecord.mSlots },
    // Required by nodes of the previous version, which do not use the value.
    { "born", 0 },
  };
  return json::serialize(object);
}

std::optional<BackendRecord>
DecodeRecord(std::string_view aText)
{
  const auto object = ParseObject(aText);
  if (!object) {
    return std::nullopt;
  }
  const auto service = TextField(*object, "service");
  const auto agent = TextField(*object, "agent");
  const auto domain = TextField(*object, "domain");
  const auto state = StateField(*object);
  const auto slots = CountField(*object, "slots");
  if (!service || !agent || !domain || !state || !slots) {
    return std::nullopt;
  }
  const auto address = ParseAddress(*agent);
  if (!address || *slots == 0 ||
      *slots > std::numeric_limits<uint32_t>::max()) {
    return std::nullopt;
  }
  return BackendRecord{
    *service, *address, *domain, *state, static_cast<uint32_t>(*slots)
  };
}

} // namespace snipepost::cluster
