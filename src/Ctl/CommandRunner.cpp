#include "src/Ctl/CommandRunner.h"

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

#include "src/Ctl/EditCommands.h"

namespace snipepost {

namespace {

/// Maximum number of lines in a change record. The document itself shows the
/// effect of the other changes.
constexpr size_t kMaxChanges = 100;

std::vector<std::string>
Truncated(std::vector<std::string> aLines)
{
  if (aLines.size() > kMaxChanges) {
    const size_t omitted = aLines.size() - kMaxChanges;
    aLines.resize(kMaxChanges);
    aLines.push_back("and " + std::to_string(omitted) + " more changes");
  }
  for (auto& line : aLines) {
    line.resize(std::min(line.size(), kMaxStringBytes));
  }
  return aLines;
}

/// True for a file that was edited after it was fetched. Its change record then
/// has its own generation as the base.
bool
IsDraft(const Document& aDocument)
{
  return aDocument.mChange.mFrom == aDocument.mGeneration;
}

} // namespace

const CommandRunner::Command CommandRunner::kCommands[] = {
  { "show", &CommandRunner::Show, false, false },
  { "validate", &CommandRunner::ValidateDocument, false, false },
  { "diff", &CommandRunner::DiffFile, true, true },
  { "submit", &CommandRunner::SubmitFile, true, true },
  { "status", &CommandRunner::Status, true, false },
  { "audit", &CommandRunner::Audit, true, false },
  { "restore", &CommandRunner::Restore, true, false },
};

CommandRunner::CommandRunner(Options aOptions, CommandEnvironment& aEnvironment)
  : mOptions(std::move(aOptions))
  , mEnvironment(aEnvironment)
{
  if (mOptions.mStore) {
    mDeployment.emplace(mOptions, mEnvironment);
  }
}

Report
CommandRunner::Run()
{
  if (IsEdit(mOptions)) {
    return RunEdit();
  }
  for (const Command& command : kCommands) {
    if (mOptions.mPositional.size() == 1 &&
        mOptions.mPositional[0] == command.mName) {
      const bool needsStore = command.mNeedsStore || mOptions.mFile.empty();
      const auto missing = CheckOptions(needsStore, command.mNeedsFile);
      return missing ? *missing : (this->*command.mRun)();
    }
  }
  return PlainReport(
    ExitCode::Usage,
    "unknown command or wrong number of arguments; see --help");
}

std::optional<Report>
CommandRunner::CheckOptions(bool aNeedsStore, bool aNeedsFile)
{
  if (aNeedsFile && mOptions.mFile.empty()) {
    return PlainReport(ExitCode::Usage, "--file is required");
  }
  if (aNeedsStore && !mDeployment) {
    return PlainReport(ExitCode::Usage, "--store is required");
  }
  if (aNeedsStore && mOptions.mDeployment.empty()) {
    if (mOptions.mFile.empty()) {
      return PlainReport(ExitCode::Usage, "--deployment is required");
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
CommandRunner::RunEdit()
{
  const auto edit = ParseEdit(mOptions);
  if (const auto* usage = std::get_if<std::string>(&edit)) {
    return PlainReport(ExitCode::Usage, "usage: " + *usage);
  }
  if (!mOptions.mFile.empty()) {
    return EditFile(std::get<Edit>(edit));
  }
  const auto missing = CheckOptions(true, false);
  return missing ? *missing : EditStore(std::get<Edit>(edit));
}

Report
CommandRunner::EditFile(const Edit& aEdit)
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
  auto allChanges =
    IsDraft(before) ? before.mChange.mChanges : std::vector<std::string>();
  allChanges.insert(allChanges.end(), changes.begin(), changes.end());
  after.mChange = { mOptions.mBy,
                    mEnvironment.mNow(),
                    after.mGeneration,
                    Truncated(std::move(allChanges)) };
  if (auto failure = SaveFile(after)) {
    return *failure;
  }
  // A document may need several edits until it is valid, so errors are only
  // reported here; submit rejects invalid documents.
  Report report = LinesReport(ExitCode::Ok, "changes", changes);
  const Report errors = ErrorReport(CollectErrors(after, std::nullopt));
  report.mJson["errors"] = errors.mJson.at("errors");
  if (errors.mCode != ExitCode::Ok) {
    report.mText += "the document is not valid yet:\n" + errors.mText;
  }
  return report;
}

Report
CommandRunner::EditStore(const Edit& aEdit)
{
  const auto view = mDeployment->ReadView(QueryScope::Sample);
  if (const auto reason = RefusalReason(view); !reason.empty()) {
    return PlainReport(ExitCode::Refused, reason);
  }
  Document before;
  before.mDeployment = mOptions.mDeployment;
  before = view.Newest().value_or(before);
  auto result = ApplyEdit(before, aEdit, mEnvironment.mNow());
  if (!result.mValue) {
    return ErrorReport(result.mErrors);
  }
  return SubmitDocument(*std::move(result.mValue), view);
}

Report
CommandRunner::SubmitFile()
{
  auto loaded = LoadFile();
  if (auto* report = std::get_if<Report>(&loaded)) {
    return *report;
  }
  const auto view = mDeployment->ReadView(QueryScope::Sample);
  if (const auto reason = RefusalReason(view); !reason.empty()) {
    return PlainReport(ExitCode::Refused, reason);
  }
  return SubmitDocument(std::get<Document>(std::move(loaded)), view);
}

std::string
CommandRunner::RefusalReason(const DeploymentView& aView) const
{
  if (aView.mOutcome != ObjectOutcome::Done &&
      aView.mOutcome != ObjectOutcome::Absent) {
    return "nothing was written; the store refused the read or did not respond";
  }
  if (!aView.mParseError.empty()) {
    return "nothing was written; " + aView.mParseError;
  }
  // A rollback of the store can only be detected by comparison with instances.
  if (!aView.AnyInstanceReached() && !mOptions.mNoInstances) {
    return "nothing was written; no instance answered, so it is not known "
           "whether the store holds the newest document (--instance names "
           "instances, --no-instances is for a new deployment)";
  }
  return "";
}

Document
CommandRunner::NextGeneration(Document aEdited, const DeploymentView& aView)
{
  Document empty;
  empty.mDeployment = aEdited.mDeployment;
  const Document newest = aView.Newest().value_or(empty);
  // If there is a newer document than the one that was edited, Diff() would
  // also list the changes of other operators, so a draft keeps its change
  // record.
  const bool sameBase = StampOf(newest) == StampOf(aEdited);
  if (sameBase || !IsDraft(aEdited)) {
    aEdited.mChange.mChanges = Diff(newest, aEdited);
  }
  aEdited.mChange = { mOptions.mBy,
                      mEnvironment.mNow(),
                      aEdited.mGeneration,
                      Truncated(std::move(aEdited.mChange.mChanges)) };
  const uint64_t generation =
    std::max(newest.mGeneration, aEdited.mGeneration).Value();
  aEdited.mGeneration = Generation(generation + 1);
  aEdited.mSubmission = SubmissionId(mEnvironment.mNewSubmissionId());
  return aEdited;
}

Report
CommandRunner::SubmitDocument(Document aEdited, const DeploymentView& aView)
{
  if (mOptions.mBy.empty()) {
    return PlainReport(ExitCode::Usage, "--by is required");
  }
  const auto newest = aView.Newest();
  if (newest && StampOf(*newest) == StampOf(aEdited) &&
      Diff(*newest, aEdited).empty()) {
    return PlainReport(ExitCode::Ok, "no changes to submit");
  }
  SubmissionPlan plan;
  plan.mBase = StampOf(aEdited);
  plan.mNewestOnInstances = aView.NewestOnInstances();
  plan.mDocument = NextGeneration(std::move(aEdited), aView);
  Report checked = ValidateWithEndpoints(plan.mDocument);
  if (checked.mCode != ExitCode::Ok) {
    return checked;
  }
  Report report = RunSubmissionPlan(plan);
  if (report.mCode == ExitCode::Ok && aView.AnyInstanceReached()) {
    ReportAdoption(plan.mDocument, aView, report);
  }
  for (const std::string& warning : UnannouncedRuleWarnings(plan.mDocument)) {
    report.mText += "warning: " + warning + '\n';
  }
  const bool written =
    report.mCode == ExitCode::Ok || report.mCode == ExitCode::Different;
  if (written && !mOptions.mFile.empty()) {
    if (auto failure = SaveFile(plan.mDocument)) {
      // The submission was accepted; only the local copy is out of date.
      report.mText += failure->mText;
    }
  }
  return report;
}

void
CommandRunner::ReportAdoption(const Document& aDocument,
                              const DeploymentView& aView,
                              Report& aReport)
{
  // Instances distribute a document among themselves. Until one of them has it,
  // an outage of the store would prevent it from taking effect.
  const bool adopted = mDeployment->AwaitAdoption(StampOf(aDocument), aView);
  aReport.mJson["inForce"] = adopted;
  if (!adopted) {
    aReport.mCode = ExitCode::Different;
    aReport.mText += "warning: no instance has the document yet; repeat "
                     "snipepostctl status until it is in effect\n";
  }
}

Report
CommandRunner::RunSubmissionPlan(const SubmissionPlan& aPlan)
{
  Submission submission(aPlan, mEnvironment.mNewSeed());
  const auto result =
    RunSubmission(submission, mDeployment->Store(), mEnvironment.mSleep);
  return SubmissionReport(result, aPlan.mDocument);
}

Report
CommandRunner::ValidateWithEndpoints(const Document& aDocument)
{
  if (!mDeployment) {
    return ErrorReport(CollectErrors(aDocument, std::nullopt));
  }
  auto endpoints = mDeployment->Endpoints(aDocument);
  if (!endpoints) {
    return PlainReport(
      ExitCode::Refused,
      "the announced endpoints can't be read from the store, so "
      "capacity can't be checked; nothing was written");
  }
  return ErrorReport(CollectErrors(aDocument, std::move(endpoints)));
}

std::vector<std::string>
CommandRunner::UnannouncedRuleWarnings(const Document& aDocument)
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
      warnings.push_back("no agent announces " + ToString(rule.mAddress) +
                         "; a rule must name the address of the agent, not "
                         "that of its backend server");
    }
  }
  return warnings;
}

std::vector<DocumentError>
CommandRunner::CollectErrors(
  const Document& aDocument,
  std::optional<std::vector<AnnouncedEndpoint>> aEndpoints)
{
  ValidationContext context;
  context.mNow = mEnvironment.mNow();
  context.mHorizon =
    mOptions.mHorizon.value_or(NextWorkdayMorning(context.mNow));
  context.mEndpoints = std::move(aEndpoints);
  // Edited documents must respect the limits of the codec, too.
  auto errors = ParseDocument(WriteDocument(aDocument)).mErrors;
  const auto found = Validate(aDocument, context);
  errors.insert(errors.end(), found.begin(), found.end());
  return errors;
}

Report
CommandRunner::Show()
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
CommandRunner::ValidateDocument()
{
  const auto loaded = Load();
  if (const auto* report = std::get_if<Report>(&loaded)) {
    return *report;
  }
  return ValidateWithEndpoints(std::get<Document>(loaded));
}

Report
CommandRunner::DiffFile()
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
CommandRunner::Restore()
{
  const auto view = mDeployment->ReadView(QueryScope::All);
  const auto newest = view.NewestOnInstances();
  if (!view.AnyInstanceReached()) {
    return PlainReport(
      ExitCode::Refused,
      "nothing was written; no instance sent a valid response");
  }
  if (!newest) {
    return PlainReport(ExitCode::Absent, "no instance has a document");
  }
  return RunSubmissionPlan({ *newest, {}, std::nullopt, true });
}

std::variant<Document, Report>
CommandRunner::Load()
{
  return mOptions.mFile.empty() ? LoadStored() : LoadFile();
}

std::variant<Document, Report>
CommandRunner::LoadFile()
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
                       mOptions.mFile + " belongs to deployment " +
                         parsed.mValue->mDeployment);
  }
  return *std::move(parsed.mValue);
}

std::variant<Document, Report>
CommandRunner::LoadStored()
{
  const auto view = mDeployment->ReadView(QueryScope::Sample);
  if (!view.mParseError.empty()) {
    return PlainReport(ExitCode::Invalid, view.mParseError);
  }
  // Instances may hold a newer document than a store that was rolled back.
  const auto newest = view.Newest();
  if (newest) {
    return *newest;
  }
  return view.mOutcome == ObjectOutcome::Absent
           ? PlainReport(
               ExitCode::Absent,
               "there is no document in the store or on the instances")
           : PlainReport(ExitCode::Refused,
                         "the store refused the read or did not respond");
}

std::optional<Report>
CommandRunner::SaveFile(const Document& aDocument)
{
  const std::string temporary = mOptions.mFile + ".new";
  std::ofstream file(temporary, std::ios::binary | std::ios::trunc);
  file << WriteDocument(aDocument);
  file.close();
  // Renaming replaces the file atomically.
  if (!file || std::rename(temporary.c_str(), mOptions.mFile.c_str()) != 0) {
    return PlainReport(ExitCode::Refused, "can't write " + mOptions.mFile);
  }
  return std::nullopt;
}

} // namespace snipepost
