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

/// Fills structs from JSON values according to their schema and collects all
/// errors.
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
    std::string allowed;
    const size_t errorCount = mErrors.size();
    Read(aValue, text);
    for (const auto& [value, name] : EnumNames<E>::kNames) {
      if (text == name) {
        aOut = value;
        return;
      }
      allowed += (allowed.empty() ? "" : ", ") + std::string(name);
    }
    if (mErrors.size() == errorCount) {
      AddError("must be one of: " + allowed);
    }
  }

  template<typename T>
  void Read(const boost::json::value& aValue, std::vector<T>& aOut)
  {
    if (!aValue.is_array()) {
      AddError("must be an array");
      return;
    }
    for (const auto& item : aValue.get_array()) {
      const PointerScope scope(*this, std::to_string(aOut.size()));
      Read(item, aOut.emplace_back());
    }
  }

  template<typename T>
  requires requires { StructFields<T>::kFields; }
  void Read(const boost::json::value& aValue, T& aOut)
  {
    if (!aValue.is_object()) {
      AddError("must be an object");
      return;
    }
    const auto& object = aValue.get_object();
    std::apply(
      [&](const auto&... aFields) {
        (ReadField(object, aFields, aOut), ...);
        for (const auto& item : object) {
          const bool known = ((item.key() == aFields.mKey) || ...);
          if (!known && mUnknown == UnknownFields::Reject) {
            const PointerScope scope(*this, item.key());
            AddError("unknown field");
          }
        }
      },
      StructFields<T>::kFields);
  }

  void AddError(std::string aText);

  std::vector<DocumentError> TakeErrors() { return std::move(mErrors); }

private:
  /// Appends a token to the pointer of errors for the duration of a C++ scope.
  class PointerScope
  {
  public:
    PointerScope(JsonReader& aReader, std::string_view aToken)
      : mReader(aReader)
      , mLength(aReader.mPointer.size())
    {
      mReader.mPointer += "/" + PointerToken(aToken);
    }
    ~PointerScope() { mReader.mPointer.resize(mLength); }
    PointerScope(const PointerScope&) = delete;
    PointerScope& operator=(const PointerScope&) = delete;

  private:
    JsonReader& mReader;
    size_t mLength;
  };

  template<typename T, typename M>
  void ReadField(const boost::json::object& aObject,
                 const Field<T, M>& aField,
                 T& aOut)
  {
    const PointerScope scope(*this, aField.mKey);
    if (const auto* value = aObject.if_contains(aField.mKey)) {
      Read(*value, aOut.*aField.mMember);
    } else if (aField.mRequired) {
      AddError("missing field");
    }
  }

  uint64_t ReadNumber(const boost::json::value& aValue, uint64_t aMax);

  UnknownFields mUnknown;
  std::string mPointer;
  std::vector<DocumentError> mErrors;
};

} // namespace snipepost
