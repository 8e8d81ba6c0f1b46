#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace snipepost::tools {

/// Kinds of requests; the values are used as array indices.
enum class RequestClass : uint8_t
{
  Submission,
  Query,
  Bulk,
  Session,
};

constexpr size_t kClassCount = 4;
constexpr std::array<RequestClass, kClassCount> kAllClasses{
  RequestClass::Submission,
  RequestClass::Query,
  RequestClass::Bulk,
  RequestClass::Session
};
constexpr std::array<std::string_view, kClassCount> kClassNames{ "submission",
                                                                 "query",
                                                                 "bulk",
                                                                 "session" };

constexpr size_t
IndexOf(RequestClass aClass)
{
  return static_cast<size_t>(aClass);
}

} // namespace snipepost::tools
