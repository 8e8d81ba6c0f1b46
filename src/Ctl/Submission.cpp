#include <snipepost/Ctl/Submission.h>

#include <utility>

#include <snipepost/Document/Codec.h>

namespace snipepost {

namespace {

/// Jitter of the delays, so that two operators do not retry at the same times.
constexpr double kDelayJitter = 0.3;

std::string
GenerationText(const Document& aDocument)
{
  return std::to_string(aDocument.mGeneration.Value());
}

std::string
FirstError(const std::vector<DocumentError>& aErrors)
{
  return aErrors.front().mPointer + " " + aErrors.front().mText;
}

} // namespace

std::string
DocumentKey(const std::string& aDeployment)
{
  return "deployments/" + aDeployment;
}

std::string
AuditPrefix(const std::string& aDeployment)
{
  return "audit/" + aDeployment + "/";
}

Submission::Submission(SubmissionPlan aPlan, uint64_t aSeed)
  : mPlan(std::move(aPlan))
  , mRandom(aSeed)
{
  CallGet(State::DocumentRead, DocumentKey(mPlan.mDocument.mDeployment));
}

void
Submission::OnResponse(const StoreResponse& aResponse)
{
  const bool failed = aResponse.mOutcome == ObjectOutcome::Refused ||
                      aResponse.mOutcome == ObjectOutcome::Unknown;
  const bool isGet = mStep.mKind == SubmissionStep::Kind::Get;
  if (isGet && (failed || (aResponse.mOutcome == ObjectOutcome::Done &&
                           aResponse.mObjects.empty()))) {
    // A read changes nothing, so an unknown outcome counts as refused.
    HandleFailedCall(ObjectOutcome::Refused);
    return;
  }
  switch (mState) {
    case State::DocumentRead:
      OnDocumentRead(aResponse);
      break;
    case State::AuditPut:
      OnAuditPut(aResponse);
      break;
    case State::AuditRead:
      OnAuditRead(aResponse);
      break;
    case State::DocumentPut:
      OnDocumentPut(aResponse);
      break;
    case State::FindInAudit:
      OnFindInAudit(aResponse);
      break;
  }
}

void
Submission::OnDelayElapsed()
{
  if (mStepAfterDelay) {
    mStep = *std::exchange(mStepAfterDelay, std::nullopt);
  }
}

void
Submission::CallGet(State aState, std::string aKey)
{
  mState = aState;
  mStep = {};
  mStep.mKind = SubmissionStep::Kind::Get;
  mStep.mKey = std::move(aKey);
}

void
Submission::CallPut(State aState,
                    std::string aKey,
                    std::string aValue,
                    std::optional<ObjectVersion> aVersion)
{
  mState = aState;
  mStep = {};
  mStep.mKind = SubmissionStep::Kind::Put;
  mStep.mKey = std::move(aKey);
  mStep.mValue = std::move(aValue);
  mStep.mVersion = aVersion;
}

void
Submission::HandleFailedCall(ObjectOutcome aOutcome)
{
  // After a lost response, only reading back shows whether a write took effect.
  if (aOutcome == ObjectOutcome::Unknown && mState == State::DocumentPut) {
    mMayHaveWritten = true;
    CallGet(State::DocumentRead, mStep.mKey);
  } else if (aOutcome == ObjectOutcome::Unknown) {
    CallGet(State::AuditRead, mStep.mKey);
  }
  if (++mFailures < kMaxFailures) {
    mStepAfterDelay = std::move(mStep);
    mStep = {};
    mStep.mKind = SubmissionStep::Kind::Wait;
    mStep.mDelay =
      mRandom.Jittered(kInitialDelay * (1 << (mFailures - 1)), kDelayJitter);
    return;
  }
  if (mMayHaveWritten) {
    Finish(Verdict::Unknown,
           "the document may have been written; " + std::to_string(mFailures) +
             " calls to the store failed (refused, no response or conflict)");
  } else {
    Finish(Verdict::Refused,
           "nothing was written; " + std::to_string(mFailures) +
             " calls to the store failed (refused, no response or conflict)");
  }
}

void
Submission::Finish(Verdict aVerdict, std::string aText)
{
  SubmissionResult result;
  result.mVerdict = aVerdict;
  result.mText = std::move(aText);
  mResult = std::move(result);
}

void
Submission::FinishWithConflict(const Document& aTheirs)
{
  Finish(Verdict::Conflict,
         "generation " + GenerationText(aTheirs) + " by " +
           aTheirs.mChange.mBy + " is newer than the document that was edited");
  mResult->mTheirs = aTheirs;
}

bool
Submission::IsOurs(const Document& aDocument) const
{
  return StampOf(aDocument) == StampOf(mPlan.mDocument);
}

bool
Submission::MustNotReplace(const Document& aDocument) const
{
  return mPlan.mRestore ? !IsNewer(mPlan.mDocument, aDocument)
                        : IsNewer(StampOf(aDocument), mPlan.mBase);
}

void
Submission::OnDocumentRead(const StoreResponse& aResponse)
{
  mVersion.reset();
  mPendingAudits.clear();
  mAuditKeyTaken = false;
  if (aResponse.mOutcome == ObjectOutcome::Done) {
    const StoredObject& object = aResponse.mObjects.front();
    auto parsed = ParseDocument(object.mValue);
    if (!parsed.mValue) {
      Finish(mMayHaveWritten ? Verdict::Unknown : Verdict::Refused,
             "the store's document is invalid: " + FirstError(parsed.mErrors));
      return;
    }
    mVersion = object.mVersion;
    OnStoredDocument(*parsed.mValue);
    if (mResult || mState == State::FindInAudit) {
      return;
    }
    mPendingAudits.push_back(*std::move(parsed.mValue));
  }
  if (mPlan.mNewestOnInstances && !mPlan.mRestore) {
    if (!IsOurs(*mPlan.mNewestOnInstances) &&
        MustNotReplace(*mPlan.mNewestOnInstances)) {
      FinishWithConflict(*mPlan.mNewestOnInstances);
      return;
    }
    mPendingAudits.push_back(*mPlan.mNewestOnInstances);
  }
  ContinueWriting();
}

void
Submission::OnStoredDocument(const Document& aCurrent)
{
  if (IsOurs(aCurrent)) {
    Finish(Verdict::Accepted,
           "the store has generation " + GenerationText(aCurrent));
  } else if (MustNotReplace(aCurrent) && mPlan.mRestore) {
    Finish(Verdict::Accepted,
           "nothing to restore; the store has the newer generation " +
             GenerationText(aCurrent));
  } else if (MustNotReplace(aCurrent) && mMayHaveWritten) {
    // The document may have been written and replaced since. Before a
    // submission replaces a document, it writes an audit entry for it, which
    // then shows that the document had been written.
    FinishWithConflict(aCurrent);
    mConflictResult = std::exchange(mResult, std::nullopt);
    CallGet(State::FindInAudit, AuditKey(StampOf(mPlan.mDocument)));
  } else if (MustNotReplace(aCurrent)) {
    FinishWithConflict(aCurrent);
  }
}

std::string
Submission::AuditKey(const DocumentStamp& aStamp) const
{
  const std::string key = AuditPrefix(mPlan.mDocument.mDeployment) +
                          std::to_string(aStamp.mGeneration.Value());
  return mAuditKeyTaken ? key + "-" + aStamp.mSubmission.Value() : key;
}

void
Submission::ContinueWriting()
{
  while (!mPendingAudits.empty() &&
         mWrittenAudits.contains(StampOf(mPendingAudits.back()))) {
    mPendingAudits.pop_back();
    mAuditKeyTaken = false;
  }
  if (!mPendingAudits.empty()) {
    const Document& next = mPendingAudits.back();
    CallPut(State::AuditPut,
            AuditKey(StampOf(next)),
            WriteAuditEntry(AuditEntryOf(next)),
            std::nullopt);
    return;
  }
  CallPut(State::DocumentPut,
          DocumentKey(mPlan.mDocument.mDeployment),
          WriteDocument(mPlan.mDocument),
          mVersion);
}

void
Submission::OnAuditPut(const StoreResponse& aResponse)
{
  switch (aResponse.mOutcome) {
    case ObjectOutcome::Done:
      mWrittenAudits.insert(StampOf(mPendingAudits.back()));
      ContinueWriting();
      break;
    case ObjectOutcome::Conflict:
      CallGet(State::AuditRead, mStep.mKey);
      break;
    case ObjectOutcome::Absent:
    case ObjectOutcome::Refused:
    case ObjectOutcome::Unknown:
      HandleFailedCall(aResponse.mOutcome);
      break;
  }
}

void
Submission::OnAuditRead(const StoreResponse& aResponse)
{
  if (aResponse.mOutcome == ObjectOutcome::Done) {
    const auto entry = ParseAuditEntry(aResponse.mObjects.front().mValue);
    const DocumentStamp stamp = StampOf(mPendingAudits.back());
    if (entry.mValue && entry.mValue->mSubmission == stamp.mSubmission) {
      mWrittenAudits.insert(stamp);
    } else if (mAuditKeyTaken) {
      Finish(mMayHaveWritten ? Verdict::Unknown : Verdict::Refused,
             "the audit entry " + mStep.mKey +
               " does not belong to this document");
      return;
    } else {
      // Two documents had this generation, for example after a rollback of the
      // store. Both entries are kept.
      mAuditKeyTaken = true;
    }
    ContinueWriting();
    return;
  }
  // The write was lost or the store was rolled back: write the entry again.
  ContinueWriting();
  HandleFailedCall(ObjectOutcome::Refused);
}

void
Submission::OnDocumentPut(const StoreResponse& aResponse)
{
  switch (aResponse.mOutcome) {
    case ObjectOutcome::Done:
      Finish(Verdict::Accepted,
             "generation " + GenerationText(mPlan.mDocument) + " was written");
      break;
    case ObjectOutcome::Conflict:
    case ObjectOutcome::Absent:
      // The object has changed. After a rollback or a restore it may still be
      // replaced, so it is read again. This counts as a failed call, to bound
      // the number of attempts.
      CallGet(State::DocumentRead, mStep.mKey);
      HandleFailedCall(ObjectOutcome::Refused);
      break;
    case ObjectOutcome::Refused:
    case ObjectOutcome::Unknown:
      HandleFailedCall(aResponse.mOutcome);
      break;
  }
}

void
Submission::OnFindInAudit(const StoreResponse& aResponse)
{
  const DocumentStamp stamp = StampOf(mPlan.mDocument);
  if (aResponse.mOutcome == ObjectOutcome::Done) {
    const auto entry = ParseAuditEntry(aResponse.mObjects.front().mValue);
    if (entry.mValue && entry.mValue->mSubmission == stamp.mSubmission) {
      Finish(Verdict::Accepted,
             "generation " + GenerationText(mPlan.mDocument) +
               " was written and has been replaced since");
      return;
    }
    if (!mAuditKeyTaken) {
      mAuditKeyTaken = true;
      CallGet(State::FindInAudit, AuditKey(stamp));
      return;
    }
  }
  mResult = mConflictResult;
}

SubmissionResult
RunSubmission(Submission& aSubmission,
              ObjectStore& aStore,
              const std::function<void(Duration)>& aSleep)
{
  while (!aSubmission.Result()) {
    const SubmissionStep step = aSubmission.Next();
    switch (step.mKind) {
      case SubmissionStep::Kind::Get:
        aSubmission.OnResponse(aStore.Get(step.mKey));
        break;
      case SubmissionStep::Kind::Put:
        aSubmission.OnResponse(
          aStore.Put(step.mKey, step.mValue, step.mVersion));
        break;
      case SubmissionStep::Kind::Wait:
        aSleep(step.mDelay);
        aSubmission.OnDelayElapsed();
        break;
    }
  }
  return *aSubmission.Result();
}

} // namespace snipepost
