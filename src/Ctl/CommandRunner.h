#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <snipepost/Ctl/Environment.h>
#include <snipepost/Document/Codec.h>
#include <snipepost/Document/Edit.h>

#include "src/Ctl/Deployment.h"
#include "src/Ctl/Options.h"
#include "src/Ctl/Report.h"

namespace snipepost {

/// Runs one command of snipepostctl.
class CommandRunner
{
public:
  CommandRunner(Options aOptions, CommandEnvironment& aEnvironment);

  /// Runs the command given by the options.
  Report Run();

private:
  struct Command
  {
    const char* mName;
    Report (CommandRunner::*mRun)();
    bool mNeedsStore;
    bool mNeedsFile;
  };
  static const Command kCommands[];

  Report RunEdit();
  Report EditFile(const Edit& aEdit);
  Report EditStore(const Edit& aEdit);
  Report Show();
  Report ValidateDocument();
  Report DiffFile();
  Report SubmitFile();
  Report Status();
  Report StatusOfSubmission(const DeploymentView& aView);
  Report Audit();
  Report Restore();

  /// Validates aEdited and writes it as the next generation. aEdited has the
  /// stamp of the document that was edited.
  Report SubmitDocument(Document aEdited, const DeploymentView& aView);
  /// Returns why nothing may be written, or an empty string.
  std::string RefusalReason(const DeploymentView& aView) const;
  Report RunSubmissionPlan(const SubmissionPlan& aPlan);
  /// Waits until an instance has the document that was written and adds the
  /// result to the report.
  void ReportAdoption(const Document& aDocument,
                      const DeploymentView& aView,
                      Report& aReport);
  Document NextGeneration(Document aEdited, const DeploymentView& aView);

  /// Validates the document, with the announced endpoints if there is a store.
  Report ValidateWithEndpoints(const Document& aDocument);
  /// Returns warnings about rules for addresses that no agent announces. Such a
  /// rule has no effect until an agent announces the address.
  std::vector<std::string> UnannouncedRuleWarnings(const Document& aDocument);
  std::vector<DocumentError> CollectErrors(
    const Document& aDocument,
    std::optional<std::vector<AnnouncedEndpoint>> aEndpoints);
  std::variant<Document, Report> Load();
  std::variant<Document, Report> LoadFile();
  std::variant<Document, Report> LoadStored();
  std::optional<Report> SaveFile(const Document& aDocument);
  std::optional<std::vector<AuditEntry>> AuditEntries();
  /// Returns a usage error if a required option is absent.
  std::optional<Report> CheckOptions(bool aNeedsStore, bool aNeedsFile);

  Options mOptions;
  CommandEnvironment& mEnvironment;
  std::optional<Deployment> mDeployment;
};

} // namespace snipepost
