#include "src/Ctl/Options.h"

#include <algorithm>
#include <sstream>

#include <boost/program_options.hpp>

#include <snipepost/Document/Time.h>

namespace snipepost {

namespace po = boost::program_options;

namespace {

constexpr const char* kUsage = R"(Usage: snipepostctl [options] COMMAND

Commands that edit the document in --file or, without --file, in the store:
  service add NAME address=IP:PORT [FIELD=VALUE...]
  service set NAME FIELD=VALUE...
  service remove NAME
      fields: id, name, address, class (interactive, bulk), slots,
      connections, deadlineMs, rampSeconds, minEndpoints,
      admission (automatic, manual)
  domain add NAME REGION [ID]
  domain out NAME
  domain in NAME
  backend drain SERVICE IP:PORT
  backend admit SERVICE IP:PORT
  plan add ACTION TARGET --at TIME
  plan remove ACTION TARGET --at TIME
      actions: domainOut, domainIn (target: failure domain),
      drain, admit (target: SERVICE/IP:PORT)

Other commands:
  show       print the document in --file or the store
  validate   report every error of the document in --file or the store
  diff       print how --file differs from the document in the store
  submit     write --file to the store, unless the document was changed since
             it was fetched with "show", and update the file
  status     compare the store with the instances; with --submission, show
             whether that submission was accepted
  audit      list all changes with operator and time
  restore    write the newest document of the instances back to the store

)";

constexpr const char* kVariablesAndExitCodes = R"(
Each option can be set by an environment variable SNIPEPOST_<NAME>, for example
SNIPEPOST_STORE or SNIPEPOST_NO_INSTANCES; the command line takes precedence.

Exit codes:
  0  done; accepted; in effect; no difference
  1  diff found differences; status found differing documents or no instance
     that responds; a submission was accepted, but no instance has it yet
  2  usage error
  3  the document or the edit is invalid
  4  conflict: the document was changed by another operator; nothing was
     written
  5  refused: the store or the file could not be used, or no instance sent a
     valid response; nothing was written
  6  unknown: the document may have been written; check with
     "status --submission ID"
  7  there is no such document or submission
)";

/// Hidden option for the positional arguments: the command and its arguments.
constexpr const char* kPositional = "words";

po::options_description
Describe()
{
  po::options_description all("Options");
  auto add = all.add_options();
  add("deployment", po::value<std::string>(), "name of the deployment");
  add("store", po::value<std::string>(), "platform object API (IP:PORT)");
  add("instance",
      po::value<std::vector<std::string>>(),
      "control address of an instance to query, in addition to those announced "
      "in the store; may be repeated (comma-separated in the variable)");
  add("no-instances",
      po::bool_switch(),
      "submit although no instance responds, for a new deployment");
  add("file", po::value<std::string>(), "local document file");
  add("by", po::value<std::string>(), "operator's name; default: $USER");
  add("at", po::value<std::string>(), "time of a planned change (UTC)");
  add("horizon",
      po::value<std::string>(),
      "check planned changes up to this time (UTC); default: 09:00 UTC on the "
      "next day from Monday to Friday");
  add("submission", po::value<std::string>(), "submission ID");
  add("json", po::bool_switch(), "print JSON");
  add("help", po::bool_switch(), "print this text");
  return all;
}

/// Returns the option that an environment variable sets, or an empty string.
std::string
OptionForVariable(const std::string& aVariable,
                  const po::options_description& aAll)
{
  const std::string prefix = "SNIPEPOST_";
  if (!aVariable.starts_with(prefix)) {
    return "";
  }
  std::string name = aVariable.substr(prefix.size());
  for (char& c : name) {
    c = c == '_' ? '-' : (c >= 'A' && c <= 'Z' ? char(c - 'A' + 'a') : c);
  }
  // Other programs of the project use variables with the same prefix.
  return aAll.find_nothrow(name, false) ? name : "";
}

/// Converts option values and keeps the message of the last error.
class OptionReader
{
public:
  explicit OptionReader(const po::variables_map& aValues)
    : mValues(aValues)
  {
  }

  std::string Text(const char* aName) const
  {
    return mValues.count(aName) ? mValues[aName].as<std::string>() : "";
  }

  bool Flag(const char* aName) const { return mValues[aName].as<bool>(); }

  std::optional<Address> ReadAddress(const std::string& aText)
  {
    const auto address = ParseAddress(aText);
    if (!address) {
      mError =
        "'" + aText + "' is not of the form IP:PORT (--store, --instance)";
    }
    return address;
  }

  std::optional<WallTime> Time(const char* aName)
  {
    const std::string text = Text(aName);
    const auto time = ParseTime(text);
    if (!text.empty() && !time) {
      mError =
        std::string("--") + aName + " must be of the form YYYY-MM-DDTHH:MM:SSZ";
    }
    return time;
  }

  std::vector<Address> Instances()
  {
    std::vector<Address> addresses;
    if (!mValues.count("instance")) {
      return addresses;
    }
    for (const auto& text :
         mValues["instance"].as<std::vector<std::string>>()) {
      std::istringstream parts(text);
      for (std::string part; std::getline(parts, part, ',');) {
        addresses.push_back(ReadAddress(part).value_or(Address()));
      }
    }
    return addresses;
  }

  std::string mError;

private:
  const po::variables_map& mValues;
};

po::variables_map
ParseValues(const std::vector<std::string>& aArguments,
            const std::map<std::string, std::string>& aVariables)
{
  auto all = Describe();
  all.add_options()(kPositional, po::value<std::vector<std::string>>());
  po::positional_options_description positional;
  positional.add(kPositional, -1);
  po::variables_map values;
  po::store(po::command_line_parser(aArguments)
              .options(all)
              .positional(positional)
              .style(po::command_line_style::default_style &
                     ~po::command_line_style::allow_guessing)
              .run(),
            values);
  po::parsed_options fromVariables(&all);
  for (const auto& [name, value] : aVariables) {
    const auto option = OptionForVariable(name, all);
    if (!option.empty()) {
      fromVariables.options.emplace_back(option,
                                         std::vector<std::string>{ value });
    }
  }
  po::store(fromVariables, values);
  return values;
}

} // namespace

std::variant<Options, std::string>
ParseOptions(const std::vector<std::string>& aArguments,
             const std::map<std::string, std::string>& aVariables)
{
  Options options;
  po::variables_map values;
  try {
    values = ParseValues(aArguments, aVariables);
  } catch (const po::error& error) {
    return std::string(error.what());
  }
  if (values.count(kPositional)) {
    options.mPositional = values[kPositional].as<std::vector<std::string>>();
  }
  OptionReader reader(values);
  options.mDeployment = reader.Text("deployment");
  options.mFile = reader.Text("file");
  options.mBy = reader.Text("by");
  options.mSubmission = reader.Text("submission");
  options.mAt = reader.Time("at");
  options.mHorizon = reader.Time("horizon");
  options.mInstances = reader.Instances();
  options.mNoInstances = reader.Flag("no-instances");
  options.mJson = reader.Flag("json");
  options.mHelp = reader.Flag("help");
  if (values.count("store")) {
    options.mStore = reader.ReadAddress(reader.Text("store"));
  }
  const auto user = aVariables.find("USER");
  if (options.mBy.empty() && user != aVariables.end()) {
    options.mBy = user->second;
  }
  if (!reader.mError.empty()) {
    return reader.mError;
  }
  return options;
}

std::string
HelpText()
{
  std::ostringstream text;
  text << kUsage << Describe() << kVariablesAndExitCodes;
  return text.str();
}

} // namespace snipepost
