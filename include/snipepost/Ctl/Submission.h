#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <snipepost/Base/Random.h>
#include <snipepost/Base/Types.h>
#include <snipepost/Ctl/ObjectStore.h>
#include <snipepost/Document/Document.h>
#include <snipepost/Document/Order.h>

namespace snipepost {

/// Key of a deployment's document in the store.
std::string
DocumentKey(const std::string& aDeployment);

/// Prefix of a deployment's audit entries in the store.
std::string
AuditPrefix(const std::string& aDeployment);

enum class Verdict
{
  Accepted,
  /// The store or an instance holds a document that is newer than the one that
  /// the operator edited.
  Conflict,
  /// Nothing was written.
  Refused,
  /// The document may have been written; reading back was inconclusive.
  Unknown,
};

struct SubmissionResult
{
  Verdict mVerdict = Verdict::Refused;
  /// The document that the submission conflicts with, if it could be read.
  std::optional<Document> mTheirs;
  /// Reason for the verdict.
  std::string mText;
};

/// The document to write and the state that the write assumes.
struct SubmissionPlan
{
  Document mDocument;
  /// The document that the operator edited; newer ones are not replaced.
  DocumentStamp mBase;
  /// The newest document that the queried instances hold, if any.
  std::optional<Document> mNewestOnInstances;
  /// Writes mDocument back unless the store holds this or a newer document;
  /// mBase and mNewestOnInstances are not used.
  bool mRestore = false;
};

/// Next step of a submission: a store call, or the delay before it.
struct SubmissionStep
{
  enum class Kind
  {
    Get,
    Put,
    Wait,
  };

  Kind mKind = Kind::Get;
  std::string mKey;
  std::string mValue;
  std::optional<ObjectVersion> mVersion;
  Duration mDelay{};
};

/// Writes one document by conditional update and resolves lost responses.
///
/// It reads the stored document, writes audit entries for the documents that it
/// replaces, and writes the new document on condition that the stored version
/// has not changed. After a lost response or a conflict it reads back and
/// compares submission IDs. Repeating the write is safe, because it is
/// conditional and carries the same submission ID.
class Submission
{
public:
  /// Number of failed calls after which the submission ends. With delays that
  /// double from kInitialDelay, the attempts span about 13 s.
  static constexpr int kMaxFailures = 8;
  static constexpr Duration kInitialDelay = std::chrono::milliseconds(100);

  Submission(SubmissionPlan aPlan, uint64_t aSeed);

  /// The step to take next; valid while there is no result.
  const SubmissionStep& Next() const { return mStep; }

  /// Called with the response to the store call that Next() returned.
  void OnResponse(const StoreResponse& aResponse);

  /// Called after the delay that Next() returned.
  void OnDelayElapsed();

  const std::optional<SubmissionResult>& Result() const { return mResult; }

private:
  enum class State
  {
    DocumentRead,
    AuditPut,
    AuditRead,
    DocumentPut,
    FindInAudit,
  };

  void HandleFailedCall(ObjectOutcome aOutcome);
  void Finish(Verdict aVerdict, std::string aText);
  void OnDocumentRead(const StoreResponse& aResponse);
  void OnStoredDocument(const Document& aCurrent);
  bool IsOurs(const Document& aDocument) const;
  bool MustNotReplace(const Document& aDocument) const;
  void FinishWithConflict(const Document& aTheirs);
  void OnAuditPut(const StoreResponse& aResponse);
  void OnAuditRead(const StoreResponse& aResponse);
  void OnDocumentPut(const StoreResponse& aResponse);
  void OnFindInAudit(const StoreResponse& aResponse);
  void ContinueWriting();
  void CallGet(State aState, std::string aKey);
  void CallPut(State aState,
               std::string aKey,
               std::string aValue,
               std::optional<ObjectVersion> aVersion);
  std::string AuditKey(const DocumentStamp& aStamp) const;

  SubmissionPlan mPlan;
  Random mRandom;
  State mState = State::DocumentRead;
  SubmissionStep mStep;
  std::optional<SubmissionStep> mStepAfterDelay;
  std::optional<ObjectVersion> mVersion;
  /// Documents whose audit entries have yet to be written.
  std::vector<Document> mPendingAudits;
  std::set<DocumentStamp> mWrittenAudits;
  /// The audit key of this generation holds the entry of another submission.
  bool mAuditKeyTaken = false;
  int mFailures = 0;
  bool mMayHaveWritten = false;
  /// Result unless an audit entry shows that the write took effect.
  std::optional<SubmissionResult> mConflictResult;
  std::optional<SubmissionResult> mResult;
};

/// Runs a submission against a store; aSleep waits for the given time.
SubmissionResult
RunSubmission(Submission& aSubmission,
              ObjectStore& aStore,
              const std::function<void(Duration)>& aSleep);

} // namespace snipepost
