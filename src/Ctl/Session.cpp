#include "src/Ctl/Session.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <boost/json/parse.hpp>

#include <snipepost/Document/Diff.h>
#include <snipepost/Document/Effective.h>
#include <snipepost/Document/Order.h>
#include <snipepost/Document/Time.h>
#include <snipepost/Document/Validate.h>

#include "src/Ctl/EditWords.h"

namespace snipepost {

namespace {

/// Lines of a change record; the document itself holds the rest.
constexpr size_t kMaxChanges = 100;

std::vector<std::string>
Shortened(std::vector<std::string> aLines)
{
  if (aLines.size() > kMaxChanges) {
    const size_t more = aLines.size() - kMaxChanges;
    aLines.resize(kMaxChanges);
    aLines.push_back("and " + std::to_string(more) + " more changes");
  }
  for (auto& line : aLines) {
    line.resize(std::min(line.size(), kMaxStringBytes));
  }
  return aLines;
}

/// True for a file that was edited since it was fetched: its change record
/// describes edits of its own generation.
bool
IsDraft(const Document& aDocument)
{
  return aDocument.mChange.mFrom == aDocument.mGeneration;
}

} // namespace

const Session::Command Session::kCommands[] = {
  { "show", &Session::Show, false, false },
  { "validate", &Session::ValidateDocument, false, false },
  { "diff", &Session::DiffFile, true, true },
  { "submit", &Session::SubmitFile, true, true },
  { "status", &Session::Status, true, false },
  { "audit", &Session::Audit, true, false },
  { "restore", &Session::Restore, true, false },
};

Session::Session(Options aOptions, Environment& aEnvironment)
  : mOptions(std::move(aOptions))
  , mEnvironment(aEnvironment)
{
  if (mOptions.mStore) {
    mDeployment.emplace(mOptions, mEnvironment);
  }
}

Report
Session::Run()
{
  if (IsEdit(mOptions)) {
    return RunEdit();
  }
  for (const Command& command : kCommands) {
    if (mOptions.mWords.size() == 1 && mOptions.mWords[0] == command.mName) {
      const bool needsStore = command.mNeedsStore || mOptions.mFile.empty();
      const auto missing = Missing(needsStore, command.mNeedsFile);
      return missing ? *missing : (this->*command.mRun)();
    }
  }
  return PlainReport(ExitCode::Usage, "unknown command; see --help");
}

std::optional<Report>
Session::Missing(bool aStore, bool aFile)
{
  if (aFile && mOptions.mFile.empty()) {
    return PlainReport(ExitCode::Usage, "--file is needed");
  }
  if (aStore && !mDeployment) {
    return PlainReport(ExitCode::Usage, "--store is needed");
  }
  if (aStore && mOptions.mDeployment.empty()) {
    if (mOptions.mFile.empty()) {
      return PlainReport(ExitCode::Usage, "--deployment is needed");
    }
    auto file = LoadFile();
    if (auto* report = std::get_if<Report>(&file)) {
      return *report;
    }
    mOptions.mDeployment = std::get<Document>(file).mDeployment;
  }
  return std::nullopt;
}

Report
Session::RunEdit()
{
  const auto edit = ParseEdit(mOptions);
  if (const auto* usage = std::get_if<std::string>(&edit)) {
    return PlainReport(ExitCode::Usage, "usage: " + *usage);
  }
  if (!mOptions.mFile.empty()) {
    return EditFile(std::get<Edit>(edit));
  }
  const auto missing = Missing(true, false);
  return missing ? *missing : EditStore(std::get<Edit>(edit));
}

Report
Session::EditFile(const Edit& aEdit)
{
  Document before;
  before.mDeployment = mOptions.mDeployment;
  if (std::filesystem::exists(mOptions.mFile) || mOptions.mDeployment.empty()) {
    auto loaded = LoadFile();
    if (auto* report = std::get_if<Report>(&loaded)) {
      return *report;
    }
    before = std::get<Document>(std::move(loaded));
  }
  auto result = ApplyEdit(before, aEdit, mEnvironment.mNow());
  if (!result.mValue) {
    return ErrorReport(result.mErrors);
  }
  Document after = *std::move(result.mValue);
  const auto changes = Diff(before, after);
  auto all =
    IsDraft(before) ? before.mChange.mChanges : std::vector<std::string>();
  all.insert(all.end(), changes.begin(), changes.end());
  after.mChange = { mOptions.mBy,
                    mEnvironment.mNow(),
                    after.mGeneration,
                    Shortened(std::move(all)) };
  if (auto failure = SaveFile(after)) {
    return *failure;
  }
  // A document is built in several edits, so errors are only shown here;
  // submit refuses them.
  Report report = LinesReport(ExitCode::Ok, "changes", changes);
  const Report errors = ErrorReport(Check(after, std::nullopt));
  report.mJson["errors"] = errors.mJson.at("errors");
  if (errors.mCode != ExitCode::Ok) {
    report.mText += "not valid yet:\n" + errors.mText;
  }
  return report;
}

Report
Session::EditStore(const Edit& aEdit)
{
  const auto view = mDeployment->View(AskedInstances::Some);
  if (const auto obstacle = Obstacle(view); !obstacle.empty()) {
    return PlainReport(ExitCode::Refused, obstacle);
  }
  Document before;
  before.mDeployment = mOptions.mDeployment;
  before = view.Highest().value_or(before);
  auto result = ApplyEdit(before, aEdit, mEnvironment.mNow());
  if (!result.mValue) {
    return ErrorReport(result.mErrors);
  }
  return SubmitDocument(*std::move(result.mValue), view);
}

Report
Session::SubmitFile()
{
  auto loaded = LoadFile();
  if (auto* report = std::get_if<Report>(&loaded)) {
    return *report;
  }
  const auto view = mDeployment->View(AskedInstances::Some);
  if (const auto obstacle = Obstacle(view); !obstacle.empty()) {
    return PlainReport(ExitCode::Refused, obstacle);
  }
  return SubmitDocument(std::get<Document>(std::move(loaded)), view);
}

std::string
Session::Obstacle(const DeploymentView& aView) const
{
  if (aView.mOutcome != ObjectOutcome::Done &&
      aView.mOutcome != ObjectOutcome::Absent) {
    return "nothing was written; the store does not answer";
  }
  if (!aView.mFault.empty()) {
    return "nothing was written; " + aView.mFault;
  }
  // A store that was rolled back looks like any other; only instances know
  // what was accepted.
  if (!aView.AnyInstance() && !mOptions.mNoInstances) {
    return "nothing was written; no instance answered, so it is not known "
           "whether the store holds the newest document (--instance names "
           "instances, --no-instances is for a new deployment)";
  }
  return "";
}

Document
Session::NextGeneration(Document aEdited, const DeploymentView& aView)
{
  Document empty;
  empty.mDeployment = aEdited.mDeployment;
  const Document highest = aView.Highest().value_or(empty);
  const bool sameBase = OrderOf(highest) == OrderOf(aEdited);
  if (sameBase || !IsDraft(aEdited)) {
    aEdited.mChange.mChanges = Diff(highest, aEdited);
  }
  aEdited.mChange = { mOptions.mBy,
                      mEnvironment.mNow(),
                      aEdited.mGeneration,
                      Shortened(std::move(aEdited.mChange.mChanges)) };
  const uint64_t generation =
    std::max(highest.mGeneration, aEdited.mGeneration).Value();
  aEdited.mGeneration = Generation(generation + 1);
  aEdited.mSubmission = SubmissionId(mEnvironment.mNewSubmissionId());
  return aEdited;
}

Report
Session::SubmitDocument(Document aEdited, const DeploymentView& aView)
{
  if (mOptions.mBy.empty()) {
    return PlainReport(ExitCode::Usage, "--by is needed");
  }
  const auto highest = aView.Highest();
  if (highest && OrderOf(*highest) == OrderOf(aEdited) &&
      Diff(*highest, aEdited).empty()) {
    return PlainReport(ExitCode::Ok, "nothing to change");
  }
  SubmissionPlan plan;
  plan.mBase = OrderOf(aEdited);
  plan.mHeld = aView.Held();
  plan.mDocument = NextGeneration(std::move(aEdited), aView);
  Report checked = CheckAnnounced(plan.mDocument);
  if (checked.mCode != ExitCode::Ok) {
    return checked;
  }
  Report report = RunPlan(plan);
  if (report.mCode == ExitCode::Ok && aView.AnyInstance()) {
    ReportInForce(plan.mDocument, aView, report);
  }
  for (const std::string& warning : UnannouncedRules(plan.mDocument)) {
    report.mText += "warning: " + warning + '\n';
  }
  const bool written =
    report.mCode == ExitCode::Ok || report.mCode == ExitCode::Different;
  if (written && !mOptions.mFile.empty()) {
    if (auto failure = SaveFile(plan.mDocument)) {
      // The submission stands; only the local copy is out of date.
      report.mText += failure->mText;
    }
  }
  return report;
}

void
Session::ReportInForce(const Document& aDocument,
                       const DeploymentView& aView,
                       Report& aReport)
{
  // Instances spread a document among themselves. Until one of them holds it,
  // an outage of the store would keep it from coming into force.
  const bool inForce = mDeployment->AwaitInForce(OrderOf(aDocument), aView);
  aReport.mJson["inForce"] = inForce;
  if (!inForce) {
    aReport.mCode = ExitCode::Different;
    aReport.mText += "warning: no instance holds it yet; repeat snipepostctl "
                     "status until it is in force\n";
  }
}

Report
Session::RunPlan(const SubmissionPlan& aPlan)
{
  Submission submission(aPlan, mEnvironment.mNewSeed());
  const auto result =
    RunSubmission(submission, mDeployment->Store(), mEnvironment.mPause);
  return SubmissionReport(result, aPlan.mDocument);
}

Report
Session::CheckAnnounced(const Document& aDocument)
{
  if (!mDeployment) {
    return ErrorReport(Check(aDocument, std::nullopt));
  }
  auto endpoints = mDeployment->Endpoints(aDocument);
  if (!endpoints) {
    return PlainReport(ExitCode::Refused,
                       "nothing was written; the announced endpoints can't be "
                       "read");
  }
  return ErrorReport(Check(aDocument, std::move(endpoints)));
}

std::vector<std::string>
Session::UnannouncedRules(const Document& aDocument)
{
  const auto endpoints =
    mDeployment ? mDeployment->Endpoints(aDocument) : std::nullopt;
  std::vector<std::string> warnings;
  if (!endpoints) {
    return warnings;
  }
  for (const BackendRule& rule : aDocument.mBackends) {
    const BackendTarget target{ rule.mService, rule.mAddress };
    const bool announced =
      std::ranges::any_of(*endpoints, [&](const AnnouncedEndpoint& aEndpoint) {
        return aEndpoint.mBackend == target;
      });
    if (!announced) {
      warnings.push_back("nobody announces " + ToString(rule.mAddress) +
                         "; a rule names the address of the agent, not that "
                         "of the backend server beside it");
    }
  }
  return warnings;
}

std::vector<DocumentError>
Session::Check(const Document& aDocument,
               std::optional<std::vector<AnnouncedEndpoint>> aEndpoints)
{
  ValidationContext context;
  context.mNow = mEnvironment.mNow();
  context.mHorizon =
    mOptions.mHorizon.value_or(NextWorkingMorning(context.mNow));
  context.mEndpoints = std::move(aEndpoints);
  // The limits of the codec hold for edited documents, too.
  auto errors = ParseDocument(WriteDocument(aDocument)).mErrors;
  const auto found = Validate(aDocument, context);
  errors.insert(errors.end(), found.begin(), found.end());
  return errors;
}

Report
Session::Show()
{
  const auto loaded = Load();
  if (const auto* report = std::get_if<Report>(&loaded)) {
    return *report;
  }
  Report report;
  report.mText = WriteDocument(std::get<Document>(loaded));
  report.mJson["document"] = boost::json::parse(report.mText);
  return report;
}

Report
Session::ValidateDocument()
{
  const auto loaded = Load();
  if (const auto* report = std::get_if<Report>(&loaded)) {
    return *report;
  }
  return CheckAnnounced(std::get<Document>(loaded));
}

Report
Session::DiffFile()
{
  const auto file = LoadFile();
  if (const auto* report = std::get_if<Report>(&file)) {
    return *report;
  }
  const auto stored = LoadStored();
  if (const auto* report = std::get_if<Report>(&stored)) {
    return *report;
  }
  const auto lines = Diff(std::get<Document>(stored), std::get<Document>(file));
  return LinesReport(
    lines.empty() ? ExitCode::Ok : ExitCode::Different, "differences", lines);
}

Report
Session::Restore()
{
  const auto view = mDeployment->View(AskedInstances::All);
  const auto held = view.Held();
  if (!view.AnyInstance()) {
    return PlainReport(ExitCode::Refused,
                       "nothing was written; no instance answered");
  }
  if (!held) {
    return PlainReport(ExitCode::Absent, "no instance holds a document");
  }
  return RunPlan({ *held, {}, std::nullopt, true });
}

std::variant<Document, Report>
Session::Load()
{
  return mOptions.mFile.empty() ? LoadStored() : LoadFile();
}

std::variant<Document, Report>
Session::LoadFile()
{
  std::ifstream file(mOptions.mFile, std::ios::binary);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) {
    return PlainReport(ExitCode::Absent, "can't read " + mOptions.mFile);
  }
  auto parsed = ParseDocument(text.str());
  if (!parsed.mValue) {
    return ErrorReport(parsed.mErrors);
  }
  if (!mOptions.mDeployment.empty() &&
      parsed.mValue->mDeployment != mOptions.mDeployment) {
    return PlainReport(ExitCode::Usage,
                       mOptions.mFile + " is of deployment " +
                         parsed.mValue->mDeployment);
  }
  return *std::move(parsed.mValue);
}

std::variant<Document, Report>
Session::LoadStored()
{
  const auto view = mDeployment->View(AskedInstances::Some);
  if (!view.mFault.empty()) {
    return PlainReport(ExitCode::Invalid, view.mFault);
  }
  // Instances may hold a newer document than a store that was rolled back.
  const auto highest = view.Highest();
  if (highest) {
    return *highest;
  }
  return view.mOutcome == ObjectOutcome::Absent
           ? PlainReport(ExitCode::Absent, "there is no document")
           : PlainReport(ExitCode::Refused, "the store does not answer");
}

std::optional<Report>
Session::SaveFile(const Document& aDocument)
{
  const std::string temporary = mOptions.mFile + ".new";
  std::ofstream file(temporary, std::ios::binary | std::ios::trunc);
  file << WriteDocument(aDocument);
  file.close();
  // Renaming replaces the file as a whole.
  if (!file || std::rename(temporary.c_str(), mOptions.mFile.c_str()) != 0) {
    return PlainReport(ExitCode::Refused, "can't write " + mOptions.mFile);
  }
  return std::nullopt;
}

} // namespace snipepost
