#include <snipepost/Ctl/Submission.h>

#include <utility>

#include <snipepost/Document/Codec.h>

namespace snipepost {

namespace {

/// Spread of the pauses, so that two operators do not stay in step.
constexpr double kPauseSpread = 0.3;

std::string
Number(const Document& aDocument)
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
  CallGet(State::Read, DocumentKey(mPlan.mDocument.mDeployment));
}

void
Submission::OnAnswer(const StoreAnswer& aAnswer)
{
  const bool failed = aAnswer.mOutcome == ObjectOutcome::Refused ||
                      aAnswer.mOutcome == ObjectOutcome::Unknown;
  const bool read = mStep.mKind == SubmissionStep::Kind::Get;
  if (read && (failed || (aAnswer.mOutcome == ObjectOutcome::Done &&
                          aAnswer.mObjects.empty()))) {
    Fail(ObjectOutcome::Refused);
    return;
  }
  switch (mState) {
    case State::Read:
      OnRead(aAnswer);
      break;
    case State::AuditPut:
      OnAuditPut(aAnswer);
      break;
    case State::AuditRead:
      OnAuditRead(aAnswer);
      break;
    case State::DocumentPut:
      OnDocumentPut(aAnswer);
      break;
    case State::FindInAudit:
      OnFindInAudit(aAnswer);
      break;
  }
}

void
Submission::OnPaused()
{
  if (mAfterPause) {
    mStep = *std::exchange(mAfterPause, std::nullopt);
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
Submission::Fail(ObjectOutcome aOutcome)
{
  // A lost answer to a write is settled by reading, never by assuming.
  if (aOutcome == ObjectOutcome::Unknown && mState == State::DocumentPut) {
    mMayHaveWritten = true;
    CallGet(State::Read, mStep.mKey);
  } else if (aOutcome == ObjectOutcome::Unknown) {
    CallGet(State::AuditRead, mStep.mKey);
  }
  if (++mFailures < kMaxFailures) {
    mAfterPause = std::move(mStep);
    mStep = {};
    mStep.mKind = SubmissionStep::Kind::Pause;
    mStep.mPause =
      mRandom.Jittered(kFirstPause * (1 << (mFailures - 1)), kPauseSpread);
    return;
  }
  if (mMayHaveWritten) {
    Finish(Verdict::Unknown,
           "the document may have been written; the store did not answer " +
             std::to_string(mFailures) + " calls");
  } else {
    Finish(Verdict::Refused,
           "nothing was written; the store refused or did not answer " +
             std::to_string(mFailures) + " calls");
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
Submission::Conflict(const Document& aTheirs)
{
  Finish(Verdict::Conflict,
         "generation " + Number(aTheirs) + " by " + aTheirs.mChange.mBy +
           " is newer than the document that was edited");
  mResult->mTheirs = aTheirs;
}

bool
Submission::IsOurs(const Document& aDocument) const
{
  return OrderOf(aDocument) == OrderOf(mPlan.mDocument);
}

bool
Submission::IsUnseen(const Document& aDocument) const
{
  return mPlan.mRestore ? !IsNewer(mPlan.mDocument, aDocument)
                        : IsNewer(OrderOf(aDocument), mPlan.mBase);
}

void
Submission::OnRead(const StoreAnswer& aAnswer)
{
  mVersion.reset();
  mAudits.clear();
  mAuditKeyTaken = false;
  if (aAnswer.mOutcome == ObjectOutcome::Done) {
    const StoredObject& object = aAnswer.mObjects.front();
    auto parsed = ParseDocument(object.mValue);
    if (!parsed.mValue) {
      Finish(mMayHaveWritten ? Verdict::Unknown : Verdict::Refused,
             "the store's document can't be read: " +
               FirstError(parsed.mErrors));
      return;
    }
    mVersion = object.mVersion;
    OnCurrent(*parsed.mValue);
    if (mResult || mState == State::FindInAudit) {
      return;
    }
    mAudits.push_back(*std::move(parsed.mValue));
  }
  if (mPlan.mHeld && !mPlan.mRestore) {
    if (!IsOurs(*mPlan.mHeld) && IsUnseen(*mPlan.mHeld)) {
      Conflict(*mPlan.mHeld);
      return;
    }
    mAudits.push_back(*mPlan.mHeld);
  }
  StartWriting();
}

void
Submission::OnCurrent(const Document& aCurrent)
{
  if (IsOurs(aCurrent)) {
    Finish(Verdict::Accepted, "the store holds generation " + Number(aCurrent));
  } else if (IsUnseen(aCurrent) && mPlan.mRestore) {
    Finish(Verdict::Accepted,
           "nothing to restore; the store holds the newer generation " +
             Number(aCurrent));
  } else if (IsUnseen(aCurrent) && mMayHaveWritten) {
    // The write may have taken effect and been replaced since. Whoever
    // replaced it copied its audit entry first.
    Conflict(aCurrent);
    mConflict = std::exchange(mResult, std::nullopt);
    CallGet(State::FindInAudit, AuditKey(OrderOf(mPlan.mDocument)));
  } else if (IsUnseen(aCurrent)) {
    Conflict(aCurrent);
  }
}

std::string
Submission::AuditKey(const DocumentOrder& aOrder) const
{
  const std::string key = AuditPrefix(mPlan.mDocument.mDeployment) +
                          std::to_string(aOrder.mGeneration.Value());
  return mAuditKeyTaken ? key + "-" + aOrder.mSubmission.Value() : key;
}

void
Submission::StartWriting()
{
  while (!mAudits.empty() && mCopied.contains(OrderOf(mAudits.back()))) {
    mAudits.pop_back();
    mAuditKeyTaken = false;
  }
  if (!mAudits.empty()) {
    const Document& next = mAudits.back();
    CallPut(State::AuditPut,
            AuditKey(OrderOf(next)),
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
Submission::OnAuditPut(const StoreAnswer& aAnswer)
{
  switch (aAnswer.mOutcome) {
    case ObjectOutcome::Done:
      mCopied.insert(OrderOf(mAudits.back()));
      StartWriting();
      break;
    case ObjectOutcome::Conflict:
      CallGet(State::AuditRead, mStep.mKey);
      break;
    case ObjectOutcome::Absent:
    case ObjectOutcome::Refused:
    case ObjectOutcome::Unknown:
      Fail(aAnswer.mOutcome);
      break;
  }
}

void
Submission::OnAuditRead(const StoreAnswer& aAnswer)
{
  if (aAnswer.mOutcome == ObjectOutcome::Done) {
    const auto entry = ParseAuditEntry(aAnswer.mObjects.front().mValue);
    const DocumentOrder order = OrderOf(mAudits.back());
    if (entry.mValue && entry.mValue->mSubmission == order.mSubmission) {
      mCopied.insert(order);
    } else if (mAuditKeyTaken) {
      Finish(mMayHaveWritten ? Verdict::Unknown : Verdict::Refused,
             "the audit entry " + mStep.mKey + " holds something else");
      return;
    } else {
      // Two documents had this generation, for example after a rollback of
      // the store; both entries are kept.
      mAuditKeyTaken = true;
    }
    StartWriting();
    return;
  }
  // The entry is absent after a lost write or a rollback; write it again.
  StartWriting();
  Fail(ObjectOutcome::Refused);
}

void
Submission::OnDocumentPut(const StoreAnswer& aAnswer)
{
  switch (aAnswer.mOutcome) {
    case ObjectOutcome::Done:
      Finish(Verdict::Accepted,
             "generation " + Number(mPlan.mDocument) + " was written");
      break;
    case ObjectOutcome::Conflict:
    case ObjectOutcome::Absent:
      // The object changed; a rollback or a restore leaves it replaceable, so
      // the read decides. Bounded like any failure.
      CallGet(State::Read, mStep.mKey);
      Fail(ObjectOutcome::Refused);
      break;
    case ObjectOutcome::Refused:
    case ObjectOutcome::Unknown:
      Fail(aAnswer.mOutcome);
      break;
  }
}

void
Submission::OnFindInAudit(const StoreAnswer& aAnswer)
{
  const DocumentOrder order = OrderOf(mPlan.mDocument);
  if (aAnswer.mOutcome == ObjectOutcome::Done) {
    const auto entry = ParseAuditEntry(aAnswer.mObjects.front().mValue);
    if (entry.mValue && entry.mValue->mSubmission == order.mSubmission) {
      Finish(Verdict::Accepted,
             "generation " + Number(mPlan.mDocument) +
               " was written and has been replaced since");
      return;
    }
    if (!mAuditKeyTaken) {
      mAuditKeyTaken = true;
      CallGet(State::FindInAudit, AuditKey(order));
      return;
    }
  }
  mResult = mConflict;
}

SubmissionResult
RunSubmission(Submission& aSubmission,
              ObjectStore& aStore,
              const std::function<void(Duration)>& aPause)
{
  while (!aSubmission.Result()) {
    const SubmissionStep step = aSubmission.Next();
    switch (step.mKind) {
      case SubmissionStep::Kind::Get:
        aSubmission.OnAnswer(aStore.Get(step.mKey));
        break;
      case SubmissionStep::Kind::Put:
        aSubmission.OnAnswer(aStore.Put(step.mKey, step.mValue, step.mVersion));
        break;
      case SubmissionStep::Kind::Pause:
        aPause(step.mPause);
        aSubmission.OnPaused();
        break;
    }
  }
  return *aSubmission.Result();
}

} // namespace snipepost
