#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/KeyedTag.h>
#include <snipepost/Base/Types.h>

namespace snipepost {

/// Where the value of a setting came from, in increasing order of precedence.
enum class SettingSource
{
  Default,
  File,
  Environment,
  Flag,
};

/// A setting after all sources were applied, as --check prints it.
struct EffectiveSetting
{
  std::string mName;
  std::string mValue; ///< Masked when the setting is a secret.
  SettingSource mSource = SettingSource::Default;
};

/// Reads the value of an environment variable; nothing when it is unset.
using Environment =
  std::function<std::optional<std::string>(const std::string&)>;

/// The environment of this process.
Environment
ProcessEnvironment();

/// Action that the command line selects.
enum class SettingsRequest
{
  Run,
  Help,
  Check,
};

/// Result of loading settings, with all errors that were found.
struct SettingsReport
{
  SettingsRequest mRequest = SettingsRequest::Run;
  std::vector<EffectiveSetting> mEffective;
  std::vector<std::string> mErrors;
};

/// Parsers for the types of settings. Each returns an error message that says
/// what was expected, or an empty string.
namespace parse {
std::string
Value(const std::string& aText, std::string& aOut);
std::string
Value(const std::string& aText, bool& aOut);
std::string
Value(const std::string& aText, uint64_t& aOut);
std::string
Value(const std::string& aText, double& aOut);
std::string
Value(const std::string& aText, Address& aOut);
std::string
Value(const std::string& aText, std::vector<Address>& aOut);
std::string
Value(const std::string& aText, std::optional<Address>& aOut);
std::string
Value(const std::string& aText, std::optional<SecretKey>& aOut);
std::string
Value(const std::string& aText, std::chrono::milliseconds& aOut);
} // namespace parse

/// Description of one setting, independent of the struct that it fills in.
struct SettingSpec
{
  std::string mName; ///< Flag without dashes, such as "store-address".
  std::string mDefault;
  std::string mHelp;
  bool mSecret = false;
};

/// Environment variable that sets a flag: "store-address" is set by
/// SNIPEPOST_STORE_ADDRESS.
std::string
EnvironmentName(std::string_view aFlag);

/// Text for --help: every setting with its flag, variable and default.
std::string
HelpText(std::string_view aProgram, const std::vector<SettingSpec>& aSpecs);

/// Text for --check: each setting with its effective value and its source, then
/// the errors.
std::string
CheckText(const SettingsReport& aReport);

/// Applies defaults, file, environment and flags, in increasing precedence.
/// aAssign is called once per setting with its index in aSpecs and its
/// effective text; it returns an error message or an empty string. Unknown
/// flags and positional arguments are errors. aFileText has lines of the form
/// "name = value"; names that are not in aSpecs are ignored, so that an older
/// program accepts a newer file.
SettingsReport
LoadSettings(
  const std::vector<SettingSpec>& aSpecs,
  const std::vector<std::string>& aArguments,
  const Environment& aEnvironment,
  const std::function<std::string(size_t, const std::string&)>& aAssign,
  const std::string& aFileText = {});

/// The value of --settings-file on a command line; empty when it is absent. The
/// file is read before the settings are loaded.
std::string
SettingsFilePath(const std::vector<std::string>& aArguments);

/// A table of settings that fills in a struct through member pointers.
template<typename Struct>
class Schema
{
public:
  /// Adds a setting. aDefault is parsed like any other value; an empty default
  /// that the member's type can't parse makes the setting mandatory.
  template<typename Member>
  Schema& Add(std::string aName,
              Member Struct::*aMember,
              std::string aDefault,
              std::string aHelp)
  {
    mSpecs.push_back(
      { std::move(aName), std::move(aDefault), std::move(aHelp), false });
    mAssign.push_back([aMember](Struct& aOut, const std::string& aText) {
      using parse::Value; // Other overloads are found by argument type (ADL).
      return Value(aText, aOut.*aMember);
    });
    return *this;
  }

  /// Marks the last added setting as a secret, which --check masks.
  Schema& Secret()
  {
    mSpecs.back().mSecret = true;
    return *this;
  }

  const std::vector<SettingSpec>& Specs() const { return mSpecs; }

  /// Fills in aOut; see LoadSettings.
  SettingsReport Load(const std::vector<std::string>& aArguments,
                      const Environment& aEnvironment,
                      Struct& aOut,
                      const std::string& aFileText = {}) const
  {
    return LoadSettings(
      mSpecs,
      aArguments,
      aEnvironment,
      [&](size_t aIndex, const std::string& aText) {
        return mAssign[aIndex](aOut, aText);
      },
      aFileText);
  }

private:
  std::vector<SettingSpec> mSpecs;
  std::vector<std::function<std::string(Struct&, const std::string&)>> mAssign;
};

} // namespace snipepost
