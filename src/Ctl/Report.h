#pragma once

#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include <snipepost/Ctl/Program.h>
#include <snipepost/Ctl/Submission.h>
#include <snipepost/Document/Document.h>

namespace snipepost {

/// Result of a command, printed as text or, with --json, as one JSON object.
struct Report
{
  ExitCode mCode = ExitCode::Ok;
  std::string mText;
  boost::json::object mJson;
};

Report
PlainReport(ExitCode aCode, std::string aText);

Report
ErrorReport(const std::vector<DocumentError>& aErrors);

Report
LinesReport(ExitCode aCode,
            const char* aField,
            const std::vector<std::string>& aLines);

/// Result of submitting aOurs. For a conflict it shows the changes of both
/// documents and their differences.
Report
SubmissionReport(const SubmissionResult& aResult, const Document& aOurs);

/// Returns the name of an exit code in JSON output.
const char*
OutcomeName(ExitCode aCode);

} // namespace snipepost
