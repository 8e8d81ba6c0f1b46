#include <snipepost/Ctl/Program.h>

#include <ostream>

#include <boost/json/serialize.hpp>

#include "src/Ctl/Options.h"
#include "src/Ctl/Report.h"
#include "src/Ctl/CommandRunner.h"

namespace snipepost {

ExitCode
RunProgram(const std::vector<std::string>& aArguments,
           CommandEnvironment& aEnvironment)
{
  auto parsed = ParseOptions(aArguments, aEnvironment.mVariables);
  if (const auto* error = std::get_if<std::string>(&parsed)) {
    aEnvironment.mErr << *error << "\n";
    return ExitCode::Usage;
  }
  auto& options = std::get<Options>(parsed);
  if (options.mHelp) {
    aEnvironment.mOut << HelpText();
    return ExitCode::Ok;
  }
  const bool asJson = options.mJson;
  Report report = CommandRunner(std::move(options), aEnvironment).Run();
  if (asJson) {
    report.mJson["outcome"] = OutcomeName(report.mCode);
    aEnvironment.mOut << boost::json::serialize(report.mJson) << "\n";
  } else {
    const bool succeeded =
      report.mCode == ExitCode::Ok || report.mCode == ExitCode::Different;
    (succeeded ? aEnvironment.mOut : aEnvironment.mErr) << report.mText;
  }
  return report.mCode;
}

} // namespace snipepost
