#include "src/Ctl/Report.h"

#include <boost/json/array.hpp>

#include <snipepost/Document/Diff.h>
#include <snipepost/Document/Time.h>

namespace snipepost {

namespace json = boost::json;

namespace {

json::array
JsonArray(const std::vector<std::string>& aLines)
{
  json::array array;
  for (const auto& line : aLines) {
    array.push_back(json::string(line));
  }
  return array;
}

std::string
Indented(const std::vector<std::string>& aLines)
{
  std::string text;
  for (const auto& line : aLines) {
    text += "  " + line + "\n";
  }
  return text;
}

json::object
ChangeSummary(const Document& aDocument)
{
  json::object summary;
  summary["generation"] = aDocument.mGeneration.Value();
  summary["submission"] = aDocument.mSubmission.Value();
  summary["by"] = aDocument.mChange.mBy;
  summary["at"] = ToString(aDocument.mChange.mAt);
  summary["from"] = aDocument.mChange.mFrom.Value();
  summary["changes"] = JsonArray(aDocument.mChange.mChanges);
  return summary;
}

std::string
ChangeSummaryText(const char* aTitle, const Document& aDocument)
{
  const ChangeRecord& change = aDocument.mChange;
  return std::string(aTitle) + ": generation " +
         std::to_string(aDocument.mGeneration.Value()) + " by " + change.mBy +
         " at " + ToString(change.mAt) + ", based on generation " +
         std::to_string(change.mFrom.Value()) + "\n" +
         Indented(change.mChanges);
}

ExitCode
ExitCodeFor(Verdict aVerdict)
{
  switch (aVerdict) {
    case Verdict::Accepted:
      return ExitCode::Ok;
    case Verdict::Conflict:
      return ExitCode::Conflict;
    case Verdict::Refused:
      return ExitCode::Refused;
    case Verdict::Unknown:
      break;
  }
  return ExitCode::Unknown;
}

const char*
VerdictName(Verdict aVerdict)
{
  switch (aVerdict) {
    case Verdict::Accepted:
      return "accepted";
    case Verdict::Conflict:
      return "conflict";
    case Verdict::Refused:
      return "refused";
    case Verdict::Unknown:
      break;
  }
  return "unknown";
}

} // namespace

const char*
OutcomeName(ExitCode aCode)
{
  static constexpr const char* kNames[] = { "ok",      "different", "usage",
                                            "invalid", "conflict",  "refused",
                                            "unknown", "absent" };
  return kNames[static_cast<int>(aCode)];
}

Report
PlainReport(ExitCode aCode, std::string aText)
{
  Report report{ aCode, aText + "\n", {} };
  report.mJson["text"] = std::move(aText);
  return report;
}

Report
ErrorReport(const std::vector<DocumentError>& aErrors)
{
  Report report{ aErrors.empty() ? ExitCode::Ok : ExitCode::Invalid, {}, {} };
  json::array errors;
  for (const auto& error : aErrors) {
    const std::string location = error.mPointer.empty() ? "/" : error.mPointer;
    report.mText += location + ": " + error.mText + "\n";
    errors.push_back(
      { { "pointer", error.mPointer }, { "text", error.mText } });
  }
  if (aErrors.empty()) {
    report.mText = "valid\n";
  }
  report.mJson["errors"] = std::move(errors);
  return report;
}

Report
LinesReport(ExitCode aCode,
            const char* aField,
            const std::vector<std::string>& aLines)
{
  Report report{ aCode, {}, {} };
  for (const auto& line : aLines) {
    report.mText += line + "\n";
  }
  report.mJson[aField] = JsonArray(aLines);
  return report;
}

Report
SubmissionReport(const SubmissionResult& aResult, const Document& aOurs)
{
  Report report{ ExitCodeFor(aResult.mVerdict), {}, {} };
  const std::string verdict = VerdictName(aResult.mVerdict);
  report.mText = verdict + ": " + aResult.mText + "\n";
  report.mJson["verdict"] = verdict;
  report.mJson["text"] = aResult.mText;
  report.mJson["ours"] = ChangeSummary(aOurs);
  if (aResult.mVerdict == Verdict::Unknown) {
    report.mText += "check with: snipepostctl status --submission " +
                    aOurs.mSubmission.Value() + "\n";
  }
  if (aResult.mTheirs) {
    const auto differences = Diff(*aResult.mTheirs, aOurs);
    report.mText += ChangeSummaryText("theirs", *aResult.mTheirs) +
                    ChangeSummaryText("yours", aOurs) +
                    "differences from theirs to yours:\n" +
                    Indented(differences);
    report.mJson["theirs"] = ChangeSummary(*aResult.mTheirs);
    report.mJson["differences"] = JsonArray(differences);
  }
  return report;
}

} // namespace snipepost
