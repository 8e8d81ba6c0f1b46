#include <snipepost/Cluster/JsonFields.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace snipepost::cluster {

namespace json = boost::json;

namespace {

/// Finds the parts of a JSON text without parsing them, whatever their depth.
class JsonScanner
{
public:
  explicit JsonScanner(std::string_view aText)
    : mText(aText)
  {
  }

  /// Consumes aChar and the white space before it.
  bool Take(char aChar)
  {
    mAt = std::min(mText.find_first_not_of(" \t\r\n", mAt), mText.size());
    if (mAt == mText.size() || mText[mAt] != aChar) {
      return false;
    }
    ++mAt;
    return true;
  }

  /// Consumes a string and returns it with its quotes; empty when there is
  /// none.
  std::string_view TakeString()
  {
    if (!Take('"')) {
      return {};
    }
    const size_t begin = mAt - 1;
    for (; mAt < mText.size() && mText[mAt] != '"'; ++mAt) {
      mAt += mText[mAt] == '\\' ? 1 : 0;
    }
    if (mAt >= mText.size()) {
      return {};
    }
    ++mAt;
    return mText.substr(begin, mAt - begin);
  }

  /// Consumes a value, up to the comma or bracket that follows it; empty when
  /// there is none.
  std::string_view TakeValue()
  {
    const size_t begin = mAt;
    size_t depth = 0;
    while (mAt < mText.size()) {
      const char next = mText[mAt];
      if (depth == 0 && (next == ',' || next == ']' || next == '}')) {
        break;
      }
      if (next == '"') {
        if (TakeString().empty()) {
          return {};
        }
        continue;
      }
      depth += next == '[' || next == '{' ? 1 : 0;
      depth -= next == ']' || next == '}' ? 1 : 0;
      ++mAt;
    }
    return mText.substr(begin, mAt - begin);
  }

private:
  std::string_view mText;
  size_t mAt = 0;
};

std::optional<json::value>
ParseReadableValue(std::string_view aText, size_t aLevels);

std::optional<json::object>
ParseReadableMembers(std::string_view aText, size_t aLevels)
{
  JsonScanner scanner(aText);
  if (!scanner.Take('{')) {
    return std::nullopt;
  }
  json::object object;
  do {
    const std::string_view name = scanner.TakeString();
    if (name.empty() || !scanner.Take(':')) {
      return std::nullopt;
    }
    auto value = ParseReadableValue(scanner.TakeValue(), aLevels);
    json::error_code error;
    const json::value key = json::parse(name, error);
    if (value && !error) {
      object[key.get_string()] = std::move(*value);
    }
  } while (scanner.Take(','));
  return scanner.Take('}') ? std::optional(std::move(object)) : std::nullopt;
}

std::optional<json::array>
ParseReadableElements(std::string_view aText, size_t aLevels)
{
  JsonScanner scanner(aText);
  if (!scanner.Take('[')) {
    return std::nullopt;
  }
  json::array array;
  do {
    if (auto value = ParseReadableValue(scanner.TakeValue(), aLevels)) {
      array.push_back(std::move(*value));
    }
  } while (scanner.Take(','));
  return scanner.Take(']') ? std::optional(std::move(array)) : std::nullopt;
}

std::optional<json::value>
ParseReadableValue(std::string_view aText, size_t aLevels)
{
  json::error_code error;
  json::value value = json::parse(aText, error);
  if (!error) {
    return value;
  }
  if (aLevels == 0) {
    return std::nullopt;
  }
  if (auto object = ParseReadableMembers(aText, aLevels - 1)) {
    return json::value(std::move(*object));
  }
  if (auto array = ParseReadableElements(aText, aLevels - 1)) {
    return json::value(std::move(*array));
  }
  return std::nullopt;
}

} // namespace

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
  const double number = value->to_number<double>();
  return std::isfinite(number) ? std::optional(number) : std::nullopt;
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

std::optional<json::object>
ParseReadableParts(std::string_view aText, size_t aLevels)
{
  auto value = ParseReadableValue(aText, aLevels);
  if (!value || !value->is_object()) {
    return std::nullopt;
  }
  return std::move(value->get_object());
}

} // namespace snipepost::cluster
