#include <snipepost/Cluster/BackendRecord.h>

#include <limits>

#include <boost/json.hpp>

namespace snipepost::cluster {

namespace json = boost::json;

namespace {

std::optional<std::string>
TextField(const json::object& aObject, std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  if (!value || !value->is_string()) {
    return std::nullopt;
  }
  return std::string(value->get_string());
}

std::optional<uint64_t>
CountField(const json::object& aObject, std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  if (!value) {
    return std::nullopt;
  }
  json::error_code error;
  const auto count = value->to_number<uint64_t>(error);
  if (error) {
    return std::nullopt;
  }
  return count;
}

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
    { "born", aRecord.mBorn },
  };
  return json::serialize(object);
}

std::optional<BackendRecord>
DecodeRecord(std::string_view aText)
{
  json::error_code error;
  const json::value value = json::parse(aText, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  const json::object& object = value.get_object();
  const auto service = TextField(object, "service");
  const auto agent = TextField(object, "agent");
  const auto domain = TextField(object, "domain");
  const auto state = StateField(object);
  const auto slots = CountField(object, "slots");
  const auto born = CountField(object, "born");
  if (!service || !agent || !domain || !state || !slots || !born) {
    return std::nullopt;
  }
  const auto address = ParseAddress(*agent);
  if (!address || *slots == 0 ||
      *slots > std::numeric_limits<uint32_t>::max()) {
    return std::nullopt;
  }
  return BackendRecord{
    *service, *address, *domain, *state, static_cast<uint32_t>(*slots), *born
  };
}

} // namespace snipepost::cluster
