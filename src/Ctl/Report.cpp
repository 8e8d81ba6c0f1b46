#include "src/Ctl/Report.h"

#include <boost/json/array.hpp>

#include <snipepost/Document/Diff.h>
#include <snipepost/Document/Time.h>

namespace snipepost {

namespace json = boost::json;

namespace {

json::array
ArrayOf(const std::vector<std::string>& aLines)
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
Side(const Document& aDocument)
{
  json::object side;
  side["generation"] = aDocument.mGeneration.Value();
  side["submission"] = aDocument.mSubmission.Value();
  side["by"] = aDocument.mChange.mBy;
  side["at"] = ToString(aDocument.mChange.mAt);
  side["from"] = aDocument.mChange.mFrom.Value();
  side["changes"] = ArrayOf(aDocument.mChange.mChanges);
  return side;
}

std::string
SideText(const char* aTitle, const Document& aDocument)
{
  const ChangeRecord& change = aDocument.mChange;
  return std::string(aTitle) + ": generation " +
         std::to_string(aDocument.mGeneration.Value()) + " by " + change.mBy +
         " at " + ToString(change.mAt) + ", made from generation " +
         std::to_string(change.mFrom.Value()) + "\n" +
         Indented(change.mChanges);
}

ExitCode
CodeOf(Verdict aVerdict)
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
    const std::string place = error.mPointer.empty() ? "/" : error.mPointer;
    report.mText += place + ": " + error.mText + "\n";
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
  report.mJson[aField] = ArrayOf(aLines);
  return report;
}

Report
SubmissionReport(const SubmissionResult& aResult, const Document& aOurs)
{
  Report report{ CodeOf(aResult.mVerdict), {}, {} };
  const std::string verdict = VerdictName(aResult.mVerdict);
  report.mText = verdict + ": " + aResult.mText + "\n";
  report.mJson["verdict"] = verdict;
  report.mJson["text"] = aResult.mText;
  report.mJson["ours"] = Side(aOurs);
  if (aResult.mVerdict == Verdict::Unknown) {
    report.mText += "settle it with: snipepostctl status --submission " +
                    aOurs.mSubmission.Value() + "\n";
  }
  if (aResult.mTheirs) {
    const auto differences = Diff(*aResult.mTheirs, aOurs);
    report.mText += SideText("theirs", *aResult.mTheirs) +
                    SideText("yours", aOurs) + "from theirs to yours:\n" +
                    Indented(differences);
    report.mJson["theirs"] = Side(*aResult.mTheirs);
    report.mJson["differences"] = ArrayOf(differences);
  }
  return report;
}

} // namespace snipepost
