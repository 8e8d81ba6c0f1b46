#include <snipepost/Settings/Schema.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <sstream>

#include <boost/program_options.hpp>

namespace snipepost {

namespace po = boost::program_options;

namespace {

template<typename Number>
bool
ParseNumber(const std::string& aText, Number& aOut)
{
  const char* end = aText.data() + aText.size();
  auto [rest, error] = std::from_chars(aText.data(), end, aOut);
  return error == std::errc{} && rest == end && !aText.empty();
}

const char*
SourceName(SettingSource aSource)
{
  switch (aSource) {
    case SettingSource::Default:
      return "default";
    case SettingSource::File:
      return "file";
    case SettingSource::Environment:
      return "environment";
    case SettingSource::Flag:
      return "flag";
  }
  return "";
}

po::options_description
MakeDescription(const std::vector<SettingSpec>& aSpecs)
{
  po::options_description description;
  description.add_options()("help", "")("check", "");
  for (const SettingSpec& spec : aSpecs) {
    description.add_options()(spec.mName.c_str(), po::value<std::string>(), "");
  }
  return description;
}

/// Parses the command line. Collects all unknown arguments instead of stopping
/// at the first one, so that one run reports every mistake.
po::variables_map
ParseFlags(const std::vector<SettingSpec>& aSpecs,
           const std::vector<std::string>& aArguments,
           std::vector<std::string>& aErrors)
{
  po::variables_map flags;
  // The parsed options refer to the description until they are stored.
  const auto description = MakeDescription(aSpecs);
  try {
    constexpr int kStyle = po::command_line_style::unix_style &
                           ~po::command_line_style::allow_guessing;
    auto parsed = po::command_line_parser(aArguments)
                    .options(description)
                    .style(kStyle)
                    .allow_unregistered()
                    .run();
    for (const auto& item :
         po::collect_unrecognized(parsed.options, po::include_positional)) {
      aErrors.push_back("unknown argument '" + item + "'");
    }
    po::store(parsed, flags);
  } catch (const po::error& error) {
    aErrors.emplace_back(error.what());
  }
  return flags;
}

po::variables_map
ParseFile(const std::vector<SettingSpec>& aSpecs,
          const std::string& aText,
          std::vector<std::string>& aErrors)
{
  po::variables_map values;
  const auto description = MakeDescription(aSpecs);
  try {
    std::istringstream text(aText);
    po::store(po::parse_config_file(text, description, true), values);
  } catch (const po::error& error) {
    aErrors.emplace_back(std::string("settings file: ") + error.what());
  }
  return values;
}

} // namespace

std::string
SettingsFilePath(const std::vector<std::string>& aArguments)
{
  const auto flag =
    std::find(aArguments.begin(), aArguments.end(), "--settings-file");
  if (flag == aArguments.end() || std::next(flag) == aArguments.end()) {
    return {};
  }
  return *std::next(flag);
}

Environment
ProcessEnvironment()
{
  return [](const std::string& aName) -> std::optional<std::string> {
    const char* value = std::getenv(aName.c_str());
    if (!value) {
      return std::nullopt;
    }
    return std::string(value);
  };
}

namespace parse {

std::string
Value(const std::string& aText, std::string& aOut)
{
  aOut = aText;
  return {};
}

std::string
Value(const std::string& aText, bool& aOut)
{
  if (aText != "true" && aText != "false") {
    return "expected true or false";
  }
  aOut = aText == "true";
  return {};
}

std::string
Value(const std::string& aText, uint64_t& aOut)
{
  return ParseNumber(aText, aOut) ? "" : "expected a whole number";
}

std::string
Value(const std::string& aText, double& aOut)
{
  return ParseNumber(aText, aOut) ? "" : "expected a number";
}

std::string
Value(const std::string& aText, Address& aOut)
{
  const auto address = ParseAddress(aText);
  if (!address) {
    return "expected an IPv4 address and a port, such as 127.0.0.1:4433";
  }
  aOut = *address;
  return {};
}

std::string
Value(const std::string& aText, std::vector<Address>& aOut)
{
  aOut.clear();
  std::istringstream items(aText);
  for (std::string item; std::getline(items, item, ',');) {
    Address address;
    if (auto error = Value(item, address); !error.empty()) {
      return error + " (separate list entries with commas)";
    }
    aOut.push_back(address);
  }
  return {};
}

std::string
Value(const std::string& aText, std::optional<Address>& aOut)
{
  aOut.reset();
  if (aText.empty()) {
    return {};
  }
  Address address;
  auto error = Value(aText, address);
  if (error.empty()) {
    aOut = address;
  }
  return error;
}

std::string
Value(const std::string& aText, std::chrono::milliseconds& aOut)
{
  int64_t count = 0;
  if (!ParseNumber(aText, count) || count < 0) {
    return "expected a number of milliseconds";
  }
  aOut = std::chrono::milliseconds(count);
  return {};
}

} // namespace parse

std::string
EnvironmentName(std::string_view aFlag)
{
  std::string name = "SNIPEPOST_";
  for (char c : aFlag) {
    name += c == '-'
              ? '_'
              : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return name;
}

std::string
HelpText(std::string_view aProgram, const std::vector<SettingSpec>& aSpecs)
{
  std::ostringstream text;
  text << "Usage: " << aProgram << " [--NAME VALUE]...\n\n"
       << "  --help   print this text\n"
       << "  --check  validate the settings and print each with its source\n\n"
       << "A flag overrides its environment variable. Exit codes: 0 success, "
          "1 failure while running, 2 invalid settings.\n\n";
  for (const SettingSpec& spec : aSpecs) {
    text << "  --" << spec.mName << " (" << EnvironmentName(spec.mName) << ")\n"
         << "      " << spec.mHelp;
    if (!spec.mDefault.empty()) {
      text << " [" << spec.mDefault << "]";
    }
    text << '\n';
  }
  return text.str();
}

std::string
CheckText(const SettingsReport& aReport)
{
  std::ostringstream text;
  for (const EffectiveSetting& setting : aReport.mEffective) {
    text << setting.mName << " = " << setting.mValue << " ("
         << SourceName(setting.mSource) << ")\n";
  }
  for (const std::string& error : aReport.mErrors) {
    text << "error: " << error << '\n';
  }
  return text.str();
}

SettingsReport
LoadSettings(
  const std::vector<SettingSpec>& aSpecs,
  const std::vector<std::string>& aArguments,
  const Environment& aEnvironment,
  const std::function<std::string(size_t, const std::string&)>& aAssign,
  const std::string& aFileText)
{
  SettingsReport report;
  const auto file = ParseFile(aSpecs, aFileText, report.mErrors);
  const auto flags = ParseFlags(aSpecs, aArguments, report.mErrors);
  if (flags.count("check")) {
    report.mRequest = SettingsRequest::Check;
  }
  if (flags.count("help")) {
    report.mRequest = SettingsRequest::Help;
    return report;
  }
  for (size_t i = 0; i < aSpecs.size(); ++i) {
    const SettingSpec& spec = aSpecs[i];
    EffectiveSetting setting{ spec.mName,
                              spec.mDefault,
                              SettingSource::Default };
    if (file.count(spec.mName)) {
      setting.mValue = file[spec.mName].as<std::string>();
      setting.mSource = SettingSource::File;
    }
    if (auto value = aEnvironment(EnvironmentName(spec.mName))) {
      setting.mValue = *value;
      setting.mSource = SettingSource::Environment;
    }
    if (flags.count(spec.mName)) {
      setting.mValue = flags[spec.mName].as<std::string>();
      setting.mSource = SettingSource::Flag;
    }
    const std::string error = aAssign(i, setting.mValue);
    if (spec.mSecret && !setting.mValue.empty()) {
      setting.mValue = "********";
    }
    if (!error.empty()) {
      report.mErrors.push_back("--" + spec.mName + " (from " +
                               SourceName(setting.mSource) + "): " + error);
    }
    report.mEffective.push_back(std::move(setting));
  }
  return report;
}

} // namespace snipepost
