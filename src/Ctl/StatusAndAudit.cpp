#include "src/Ctl/CommandRunner.h"

#include <algorithm>

#include <snipepost/Document/Order.h>
#include <snipepost/Document/Time.h>

namespace snipepost {

namespace {

std::string
Describe(const Document& aDocument)
{
  return "generation " + std::to_string(aDocument.mGeneration.Value()) + " (" +
         aDocument.mSubmission.Value() + ")";
}

/// Describes the document of an instance in comparison with the newest one.
std::string
StateOf(const InstanceView& aInstance, const std::optional<Document>& aNewest)
{
  if (!aInstance.mReached) {
    return "no valid response";
  }
  if (!aInstance.mDocument) {
    return "no document";
  }
  const bool current =
    aNewest && StampOf(*aInstance.mDocument) == StampOf(*aNewest);
  return Describe(*aInstance.mDocument) +
         (current ? "" : ", older than the newest document");
}

std::string
EntryText(const AuditEntry& aEntry)
{
  std::string text =
    "generation " + std::to_string(aEntry.mTo.Value()) +
    ", based on generation " + std::to_string(aEntry.mChange.mFrom.Value()) +
    ", by " + aEntry.mChange.mBy + " at " + ToString(aEntry.mChange.mAt) +
    " (" + aEntry.mSubmission.Value() + ")";
  for (const auto& change : aEntry.mChange.mChanges) {
    text += "\n  " + change;
  }
  return text;
}

} // namespace

Report
CommandRunner::Status()
{
  const auto view = mDeployment->ReadView(QueryScope::All);
  if (!mOptions.mSubmission.empty()) {
    return StatusOfSubmission(view);
  }
  const auto newest = view.Newest();
  std::string store = "refused the read or did not respond";
  if (!view.mParseError.empty()) {
    store = view.mParseError;
  } else if (view.mStored) {
    store = Describe(*view.mStored);
    store += IsNewer(*newest, *view.mStored)
               ? ", older than the document of the instances; run restore"
               : "";
  } else if (view.mOutcome == ObjectOutcome::Absent) {
    store = newest ? "empty; run restore" : "no document";
  }
  std::vector<std::string> lines{ "store: " + store };
  bool consistent = view.mStored && StampOf(*view.mStored) == StampOf(*newest);
  for (const auto& instance : view.mInstances) {
    lines.push_back(ToString(instance.mControl) + ": " +
                    StateOf(instance, newest));
    const bool behind =
      instance.mReached && (!instance.mDocument || !newest ||
                            StampOf(*instance.mDocument) != StampOf(*newest));
    consistent = consistent && !behind;
  }
  // A rollback of the store can only be detected by comparison with instances.
  if (!view.AnyInstanceReached()) {
    lines.emplace_back(
      "no instance sent a valid response; use --instance to name instances");
    consistent = false;
  }
  if (!view.mStored && !view.AnyInstanceReached()) {
    const bool absent = view.mOutcome == ObjectOutcome::Absent;
    return LinesReport(
      absent ? ExitCode::Absent : ExitCode::Refused, "status", lines);
  }
  return LinesReport(
    consistent ? ExitCode::Ok : ExitCode::Different, "status", lines);
}

Report
CommandRunner::StatusOfSubmission(const DeploymentView& aView)
{
  std::vector<Document> documents;
  if (aView.mStored) {
    documents.push_back(*aView.mStored);
  }
  for (const auto& instance : aView.mInstances) {
    if (instance.mDocument) {
      documents.push_back(*instance.mDocument);
    }
  }
  const SubmissionId wanted(mOptions.mSubmission);
  for (const auto& document : documents) {
    if (document.mSubmission == wanted) {
      return PlainReport(ExitCode::Ok, "accepted: " + Describe(document));
    }
  }
  const auto entries = AuditEntries();
  if (!entries || aView.mOutcome == ObjectOutcome::Refused ||
      aView.mOutcome == ObjectOutcome::Unknown || !aView.mParseError.empty()) {
    return PlainReport(ExitCode::Unknown,
                       "unknown: the store can't be read; try again later");
  }
  for (const auto& entry : *entries) {
    if (entry.mSubmission == wanted) {
      return PlainReport(ExitCode::Ok,
                         "accepted, but replaced since; it was generation " +
                           std::to_string(entry.mTo.Value()));
    }
  }
  return PlainReport(
    ExitCode::Absent,
    "not accepted so far: neither the store nor an instance has submission " +
      mOptions.mSubmission);
}

std::optional<std::vector<AuditEntry>>
CommandRunner::AuditEntries()
{
  const auto response = mDeployment->List(AuditPrefix(mOptions.mDeployment));
  if (response.mOutcome != ObjectOutcome::Done) {
    return std::nullopt;
  }
  std::vector<AuditEntry> entries;
  for (const auto& object : response.mObjects) {
    auto parsed = ParseAuditEntry(object.mValue);
    if (parsed.mValue) {
      entries.push_back(*std::move(parsed.mValue));
    }
  }
  return entries;
}

Report
CommandRunner::Audit()
{
  auto entries = AuditEntries();
  if (!entries) {
    return PlainReport(ExitCode::Refused, "the audit entries can't be read");
  }
  if (const auto newest = mDeployment->ReadView(QueryScope::Sample).Newest()) {
    const AuditEntry current = AuditEntryOf(*newest);
    if (std::ranges::count(*entries, current) == 0) {
      entries->push_back(current);
    }
  }
  std::ranges::sort(*entries, {}, &AuditEntry::mTo);
  std::vector<std::string> lines;
  for (const auto& entry : *entries) {
    lines.push_back(EntryText(entry));
  }
  return LinesReport(ExitCode::Ok, "entries", lines);
}

} // namespace snipepost
