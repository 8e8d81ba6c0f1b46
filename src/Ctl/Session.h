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

/// The commands of one run of snipepostctl.
class Session
{
public:
  Session(Options aOptions, Environment& aEnvironment);

  /// Runs the command that the options name.
  Report Run();

private:
  struct Command
  {
    const char* mName;
    Report (Session::*mRun)();
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

  /// Validates aEdited, whose order is that of the document it was made from,
  /// and writes it as the next generation.
  Report SubmitDocument(Document aEdited, const DeploymentView& aView);
  /// Why nothing may be written, or an empty string.
  std::string Obstacle(const DeploymentView& aView) const;
  Report RunPlan(const SubmissionPlan& aPlan);
  /// Waits until an instance holds the document that was written and adds the
  /// outcome to the report.
  void ReportInForce(const Document& aDocument,
                     const DeploymentView& aView,
                     Report& aReport);
  Document NextGeneration(Document aEdited, const DeploymentView& aView);

  /// Validates with the announced endpoints when there is a store.
  Report CheckAnnounced(const Document& aDocument);
  /// Rules about backend servers that nobody announces: they change nothing
  /// until an agent announces that address.
  std::vector<std::string> UnannouncedRules(const Document& aDocument);
  std::vector<DocumentError> Check(
    const Document& aDocument,
    std::optional<std::vector<AnnouncedEndpoint>> aEndpoints);
  std::variant<Document, Report> Load();
  std::variant<Document, Report> LoadFile();
  std::variant<Document, Report> LoadStored();
  std::optional<Report> SaveFile(const Document& aDocument);
  std::optional<std::vector<AuditEntry>> AuditEntries();
  std::optional<Report> Missing(bool aStore, bool aFile);

  Options mOptions;
  Environment& mEnvironment;
  std::optional<Deployment> mDeployment;
};

} // namespace snipepost
