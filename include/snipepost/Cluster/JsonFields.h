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

/// Parses as much of an object as is readable. Where a value can't be parsed,
/// because it is nested too deeply, contains a number that is too large, or is
/// not UTF-8, only the members and elements that can't be parsed are left out,
/// in containers at the first aLevels levels. Nothing when the text is not an
/// object at all.
std::optional<boost::json::object>
ParseReadableParts(std::string_view aText, size_t aLevels);

} // namespace snipepost::cluster
