#pragma once

#include <chrono>
#include <concepts>
#include <string>
#include <tuple>
#include <type_traits>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <snipepost/Document/Time.h>

#include "src/Document/Schema.h"

namespace snipepost {

/// Converts structs to JSON values according to their schema.
struct JsonWriter
{
  static boost::json::value Write(const std::string& aValue)
  {
    return boost::json::string(aValue);
  }
  static boost::json::value Write(const Address& aValue)
  {
    return boost::json::string(ToString(aValue));
  }
  static boost::json::value Write(WallTime aValue)
  {
    return boost::json::string(ToString(aValue));
  }
  static boost::json::value Write(const PlannedTarget& aValue)
  {
    return std::visit([](const auto& aTarget) { return Write(aTarget); },
                      aValue);
  }

  template<std::unsigned_integral I>
  static boost::json::value Write(I aValue)
  {
    return static_cast<uint64_t>(aValue);
  }

  template<typename Tag, typename Rep>
  static boost::json::value Write(const StrongType<Tag, Rep>& aValue)
  {
    return Write(aValue.Value());
  }

  template<typename Rep, typename Period>
  static boost::json::value Write(std::chrono::duration<Rep, Period> aValue)
  {
    return static_cast<uint64_t>(aValue.count());
  }

  template<typename E>
  requires std::is_enum_v<E>
  static boost::json::value Write(E aValue)
  {
    for (const auto& [value, name] : EnumNames<E>::kNames) {
      if (value == aValue) {
        return boost::json::string(name);
      }
    }
    return nullptr;
  }

  template<typename T>
  static boost::json::value Write(const std::vector<T>& aValue)
  {
    boost::json::array array;
    for (const T& item : aValue) {
      array.push_back(Write(item));
    }
    return array;
  }

  template<typename T>
  requires requires { StructFields<T>::kFields; }
  static boost::json::value Write(const T& aValue)
  {
    boost::json::object object;
    std::apply(
      [&](const auto&... aFields) {
        (object.emplace(aFields.mKey, Write(aValue.*aFields.mMember)), ...);
      },
      StructFields<T>::kFields);
    return object;
  }
};

} // namespace snipepost
