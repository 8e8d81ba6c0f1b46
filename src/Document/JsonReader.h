#pragma once

#include <chrono>
#include <concepts>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include <boost/json/value.hpp>

#include <snipepost/Document/Codec.h>
#include <snipepost/Document/Document.h>

#include "src/Document/Schema.h"

namespace snipepost {

/// Escapes one reference token of a JSON pointer (RFC 6901).
std::string
PointerToken(std::string_view aKey);

/// Fills structs from JSON values by their schema and collects every error.
class JsonReader
{
public:
  explicit JsonReader(UnknownFields aUnknown)
    : mUnknown(aUnknown)
  {
  }

  void Read(const boost::json::value& aValue, std::string& aOut);
  void Read(const boost::json::value& aValue, Address& aOut);
  void Read(const boost::json::value& aValue, WallTime& aOut);
  void Read(const boost::json::value& aValue, PlannedTarget& aOut);

  template<std::unsigned_integral I>
  void Read(const boost::json::value& aValue, I& aOut)
  {
    aOut = static_cast<I>(ReadNumber(aValue, std::numeric_limits<I>::max()));
  }

  template<typename Tag, typename Rep>
  void Read(const boost::json::value& aValue, StrongType<Tag, Rep>& aOut)
  {
    Rep inner{};
    Read(aValue, inner);
    aOut = StrongType<Tag, Rep>(std::move(inner));
  }

  template<typename Rep, typename Period>
  void Read(const boost::json::value& aValue,
            std::chrono::duration<Rep, Period>& aOut)
  {
    const auto max = std::numeric_limits<uint32_t>::max();
    aOut = std::chrono::duration<Rep, Period>(
      static_cast<Rep>(ReadNumber(aValue, max)));
  }

  template<typename E>
  requires std::is_enum_v<E>
  void Read(const boost::json::value& aValue, E& aOut)
  {
    std::string text;
    std::string known;
    const size_t before = mErrors.size();
    Read(aValue, text);
    for (const auto& [value, name] : EnumNames<E>::kNames) {
      if (text == name) {
        aOut = value;
        return;
      }
      known += (known.empty() ? "" : ", ") + std::string(name);
    }
    if (mErrors.size() == before) {
      Report("must be one of: " + known);
    }
  }

  template<typename T>
  void Read(const boost::json::value& aValue, std::vector<T>& aOut)
  {
    if (!aValue.is_array()) {
      Report("must be an array");
      return;
    }
    for (const auto& item : aValue.get_array()) {
      const Scope scope(*this, std::to_string(aOut.size()));
      Read(item, aOut.emplace_back());
    }
  }

  template<typename T>
  requires requires { Schema<T>::kFields; }
  void Read(const boost::json::value& aValue, T& aOut)
  {
    if (!aValue.is_object()) {
      Report("must be an object");
      return;
    }
    const auto& object = aValue.get_object();
    std::apply(
      [&](const auto&... aFields) {
        (ReadField(object, aFields, aOut), ...);
        for (const auto& item : object) {
          const bool known = ((item.key() == aFields.mKey) || ...);
          if (!known && mUnknown == UnknownFields::Reject) {
            const Scope scope(*this, item.key());
            Report("unknown field");
          }
        }
      },
      Schema<T>::kFields);
  }

  void Report(std::string aText);

  std::vector<DocumentError> TakeErrors() { return std::move(mErrors); }

private:
  /// Extends the pointer of errors while it lives.
  class Scope
  {
  public:
    Scope(JsonReader& aReader, std::string_view aToken)
      : mReader(aReader)
      , mLength(aReader.mPointer.size())
    {
      mReader.mPointer += "/" + PointerToken(aToken);
    }
    ~Scope() { mReader.mPointer.resize(mLength); }
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

  private:
    JsonReader& mReader;
    size_t mLength;
  };

  template<typename T, typename M>
  void ReadField(const boost::json::object& aObject,
                 const Field<T, M>& aField,
                 T& aOut)
  {
    const Scope scope(*this, aField.mKey);
    if (const auto* value = aObject.if_contains(aField.mKey)) {
      Read(*value, aOut.*aField.mMember);
    } else if (aField.mRequired) {
      Report("missing field");
    }
  }

  uint64_t ReadNumber(const boost::json::value& aValue, uint64_t aMax);

  UnknownFields mUnknown;
  std::string mPointer;
  std::vector<DocumentError> mErrors;
};

} // namespace snipepost
