#pragma once

#include <functional>
#include <optional>
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
  /// The store holds a document that the operator has not seen.
  Conflict,
  /// Nothing was written.
  Refused,
  /// The document may have been written; reading back did not tell.
  Unknown,
};

struct SubmissionResult
{
  Verdict mVerdict = Verdict::Refused;
  /// The other side of a conflict, when it could be read.
  std::optional<Document> mTheirs;
  /// Reason, and how to go on.
  std::string mText;
};

/// What is written and the state that it assumes.
struct SubmissionPlan
{
  Document mDocument;
  /// The document that was edited. The store must hold it or an older one;
  /// nothing newer may be replaced. Its audit entry is copied.
  std::optional<Document> mBase;
  /// Writes an unchanged document back. The store must hold an older one.
  bool mRestore = false;
};

/// Next step of a submission: one store call, or a pause before it.
struct SubmissionStep
{
  enum class Kind
  {
    Get,
    Put,
    Pause,
  };

  Kind mKind = Kind::Get;
  std::string mKey;
  std::string mValue;
  std::optional<ObjectVersion> mVersion;
  Duration mPause{};
};

/// Writes one document by conditional update and settles lost answers.
///
/// It reads the store, copies the audit entries of the generations that it
/// replaces, writes the document on the version that it read, and after a lost
/// answer or a conflict reads back and compares the submission ID. Repeating
/// the write is safe: it is conditional and carries the same submission ID.
class Submission
{
public:
  /// Calls that may end in Refused or Unknown before the submission gives up.
  static constexpr int kMaxFailures = 6;
  static constexpr Duration kFirstPause = std::chrono::milliseconds(100);

  Submission(SubmissionPlan aPlan, uint64_t aSeed);

  /// The step to take next; meaningful while there is no result.
  const SubmissionStep& Next() const { return mStep; }

  /// The answer to the last store call; after a pause it is ignored.
  void OnAnswer(const StoreAnswer& aAnswer);

  const std::optional<SubmissionResult>& Result() const { return mResult; }

private:
  enum class State
  {
    Read,
    AuditPut,
    AuditRead,
    DocumentPut,
    FindInAudit,
  };

  void Issue();
  void Fail(StoreOutcome aOutcome);
  void Finish(Verdict aVerdict, std::string aText);
  void OnRead(const StoreAnswer& aAnswer);
  void OnCurrent(const StoredObject& aObject);
  void OnAuditPut(const StoreAnswer& aAnswer);
  void OnAuditRead(const StoreAnswer& aAnswer);
  void OnDocumentPut(const StoreAnswer& aAnswer);
  void OnFindInAudit(const StoreAnswer& aAnswer);
  void StartAudit();
  void NextAudit();
  std::string AuditKey(const Document& aDocument) const;

  SubmissionPlan mPlan;
  Random mRandom;
  State mState = State::Read;
  SubmissionStep mStep;
  std::optional<SubmissionStep> mAfterPause;
  std::optional<ObjectVersion> mVersion;
  /// Documents whose audit entries are still to be copied.
  std::vector<Document> mAudits;
  /// The entry of this generation exists with another submission ID.
  bool mAuditKeyTaken = false;
  std::optional<Document> mTheirs;
  int mFailures = 0;
  bool mMayHaveWritten = false;
  std::optional<SubmissionResult> mResult;
};

/// Runs a submission against a store; aPause waits for the given time.
SubmissionResult
RunSubmission(Submission& aSubmission,
              ObjectStore& aStore,
              const std::function<void(Duration)>& aPause);

} // namespace snipepost
