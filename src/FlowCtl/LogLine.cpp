#include "src/FlowCtl/LogLine.h"

#include <algorithm>
#include <charconv>

namespace snipepost::flowctl {

namespace {

constexpr std::string_view kTimePrefix = "time=";

/// Removes the value at the front of aText and returns it without its quotes.
std::string
ExtractValue(std::string_view& aText)
{
  std::string value;
  if (!aText.starts_with('"')) {
    value = aText.substr(0, aText.find(' '));
    aText.remove_prefix(value.size());
    return value;
  }
  size_t at = 1;
  while (at < aText.size() && aText[at] != '"') {
    if (aText[at] == '\\' && at + 1 < aText.size()) {
      ++at;
    }
    value += aText[at++];
  }
  aText.remove_prefix(std::min(at + 1, aText.size()));
  return value;
}

std::string
LastWord(std::string_view aText)
{
  while (aText.ends_with(' ') || aText.ends_with(':')) {
    aText.remove_suffix(1);
  }
  return std::string(aText.substr(aText.rfind(' ') + 1));
}

} // namespace

std::string
LogLine::Field(const std::string& aName) const
{
  const auto found = mFields.find(aName);
  return found == mFields.end() ? std::string() : found->second;
}

double
LogLine::Number(const std::string& aName) const
{
  const std::string text = Field(aName);
  double number = 0.0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::optional<LogLine>
ParseLogLine(std::string_view aText)
{
  const size_t start = aText.find(kTimePrefix);
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  LogLine line;
  line.mInstance = LastWord(aText.substr(0, start));
  line.mText = aText.substr(start);
  std::string_view rest = line.mText;
  while (!rest.empty()) {
    const size_t equals = rest.find('=');
    if (equals == std::string_view::npos) {
      return std::nullopt;
    }
    const std::string name(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    line.mFields[name] = ExtractValue(rest);
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
  }
  line.mEvent = line.Field("event");
  const std::string time = line.Field("time");
  const auto parsed =
    std::from_chars(time.data(), time.data() + time.size(), line.mTime);
  if (line.mEvent.empty() || parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return line;
}

std::vector<LogLine>
ReadLog(std::istream& aStream)
{
  std::vector<LogLine> lines;
  std::string text;
  while (std::getline(aStream, text)) {
    if (auto line = ParseLogLine(text)) {
      lines.push_back(std::move(*line));
    }
  }
  std::ranges::stable_sort(lines, {}, &LogLine::mTime);
  return lines;
}

} // namespace snipepost::flowctl
