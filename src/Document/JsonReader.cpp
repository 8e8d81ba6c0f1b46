#include "src/Document/JsonReader.h"

#include <optional>

#include <snipepost/Document/Codec.h>
#include <snipepost/Document/Time.h>

namespace snipepost {

namespace json = boost::json;

std::string
PointerToken(std::string_view aKey)
{
  std::string token;
  for (const char c : aKey) {
    if (c == '~') {
      token += "~0";
    } else if (c == '/') {
      token += "~1";
    } else {
      token += c;
    }
  }
  return token;
}

void
JsonReader::AddError(std::string aText)
{
  mErrors.push_back({ mPointer, std::move(aText) });
}

void
JsonReader::Read(const json::value& aValue, std::string& aOut)
{
  if (!aValue.is_string()) {
    AddError("must be a string");
    return;
  }
  const auto& text = aValue.get_string();
  if (text.size() > kMaxStringBytes) {
    AddError("has " + std::to_string(text.size()) + " bytes, limit " +
             std::to_string(kMaxStringBytes));
    return;
  }
  aOut.assign(text.data(), text.size());
}

void
JsonReader::Read(const json::value& aValue, Address& aOut)
{
  const auto address = aValue.is_string() ? ParseAddress(aValue.get_string())
                                          : std::optional<Address>();
  if (!address) {
    AddError("must be \"a.b.c.d:port\" with a port from 1 to 65535");
    return;
  }
  aOut = *address;
}

void
JsonReader::Read(const json::value& aValue, WallTime& aOut)
{
  const auto time = aValue.is_string() ? ParseTime(aValue.get_string())
                                       : std::optional<WallTime>();
  if (!time) {
    AddError("must be a UTC time \"YYYY-MM-DDTHH:MM:SSZ\"");
    return;
  }
  aOut = *time;
}

void
JsonReader::Read(const json::value& aValue, PlannedTarget& aOut)
{
  if (aValue.is_object() && aValue.get_object().contains("domain")) {
    Read(aValue, aOut.emplace<DomainTarget>());
  } else {
    Read(aValue, aOut.emplace<BackendTarget>());
  }
}

uint64_t
JsonReader::ReadNumber(const json::value& aValue, uint64_t aMax)
{
  if (!aValue.is_int64() && !aValue.is_uint64()) {
    AddError("must be an integer");
    return 0;
  }
  const bool negative = aValue.is_int64() && aValue.get_int64() < 0;
  const uint64_t number = aValue.is_uint64()
                            ? aValue.get_uint64()
                            : static_cast<uint64_t>(aValue.get_int64());
  if (negative || number > aMax) {
    AddError("must be from 0 to " + std::to_string(aMax));
    return 0;
  }
  return number;
}

} // namespace snipepost
