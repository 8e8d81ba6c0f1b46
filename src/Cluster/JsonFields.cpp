#include <snipepost/Cluster/JsonFields.h>

namespace snipepost::cluster {

namespace json = boost::json;

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
  if (!value || !value->is_number()) {
    return std::nullopt;
  }
  json::error_code error;
  const auto count = value->to_number<uint64_t>(error);
  return error ? std::nullopt : std::optional(count);
}

std::optional<double>
NumberField(const json::object& aObject, std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  if (!value || !value->is_number()) {
    return std::nullopt;
  }
  return value->to_number<double>();
}

std::optional<json::object>
ParseObject(std::string_view aText)
{
  json::error_code error;
  json::value value = json::parse(aText, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

} // namespace snipepost::cluster
