#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/json.hpp>

namespace snipepost::cluster {

/// Fields of an object; nothing when missing or of another type.
std::optional<std::string>
TextField(const boost::json::object& aObject, std::string_view aName);
std::optional<uint64_t>
CountField(const boost::json::object& aObject, std::string_view aName);
std::optional<double>
NumberField(const boost::json::object& aObject, std::string_view aName);

/// Parses an object; nothing when the text is anything else.
std::optional<boost::json::object>
ParseObject(std::string_view aText);

} // namespace snipepost::cluster
