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
  /// The document that the operator edited; nothing newer is replaced.
  DocumentOrder mBase;
  /// The highest document that instances hold, when one was found.
  std::optional<Document> mHeld;
  /// Writes mDocument back unless the store holds it or a newer one; mBase and
  /// mHeld are not used.
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
  /// Calls without the expected outcome before the submission gives up. With
  /// doubling pauses from kFirstPause this bridges about 13 s.
  static constexpr int kMaxFailures = 8;
  static constexpr Duration kFirstPause = std::chrono::milliseconds(100);

  Submission(SubmissionPlan aPlan, uint64_t aSeed);

  /// The step to take next; meaningful while there is no result.
  const SubmissionStep& Next() const { return mStep; }

  /// The answer to the store call that Next() asked for.
  void OnAnswer(const StoreAnswer& aAnswer);

  /// The pause that Next() asked for is over.
  void OnPaused();

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

  void Fail(ObjectOutcome aOutcome);
  void Finish(Verdict aVerdict, std::string aText);
  void OnRead(const StoreAnswer& aAnswer);
  void OnCurrent(const Document& aCurrent);
  bool IsOurs(const Document& aDocument) const;
  bool IsUnseen(const Document& aDocument) const;
  void Conflict(const Document& aTheirs);
  void OnAuditPut(const StoreAnswer& aAnswer);
  void OnAuditRead(const StoreAnswer& aAnswer);
  void OnDocumentPut(const StoreAnswer& aAnswer);
  void OnFindInAudit(const StoreAnswer& aAnswer);
  void StartWriting();
  void CallGet(State aState, std::string aKey);
  void CallPut(State aState,
               std::string aKey,
               std::string aValue,
               std::optional<ObjectVersion> aVersion);
  std::string AuditKey(const DocumentOrder& aOrder) const;

  SubmissionPlan mPlan;
  Random mRandom;
  State mState = State::Read;
  SubmissionStep mStep;
  std::optional<SubmissionStep> mAfterPause;
  std::optional<ObjectVersion> mVersion;
  /// Documents whose audit entries are still to be copied.
  std::vector<Document> mAudits;
  std::set<DocumentOrder> mCopied;
  /// The entry of this generation exists with another submission ID.
  bool mAuditKeyTaken = false;
  int mFailures = 0;
  bool mMayHaveWritten = false;
  /// Result unless the audit entries show that the write took effect.
  std::optional<SubmissionResult> mConflict;
  std::optional<SubmissionResult> mResult;
};

/// Runs a submission against a store; aPause waits for the given time.
SubmissionResult
RunSubmission(Submission& aSubmission,
              ObjectStore& aStore,
              const std::function<void(Duration)>& aPause);

} // namespace snipepost
