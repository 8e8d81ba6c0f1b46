#include <tests/Matrix/Checkers.h>

#include <map>
#include <set>

using namespace std::chrono_literals;

namespace snipepost::matrix {

namespace {

using Violations = std::vector<Violation>;

std::string
Name(RequestId aRequest)
{
  return "request " + std::to_string(aRequest.Value());
}

/// P3: a server whose cold start can be known gets no more than it bears. One
/// that became cold silently may be overloaded a few times, and then only as
/// often as the adaptive limit tries an increase.
void
CheckColdStart(const Records& aRecords, Violations& aOut)
{
  uint32_t overloads = 0;
  uint32_t served = 0;
  for (const JournalEntry& entry : aRecords.mJournal) {
    const bool over = entry.mRunning > entry.mBound;
    if (!entry.mSilentlyCold) {
      overloads = 0;
      served = 0;
    } else {
      (over ? overloads : served) += 1;
    }
    if (over && !entry.mSilentlyCold) {
      aOut.push_back(
        { "P3", Name(entry.mRequest) + " overloads a cold start" });
    }
    if (overloads > 8 + served / 5) {
      aOut.push_back({ "P3", Name(entry.mRequest) + " overloads silently" });
      return;
    }
  }
}

void
CheckOwnResponse(const Records& aRecords, Violations& aOut)
{
  std::map<RequestId, std::set<std::string>> byRequest;
  std::map<std::string, std::set<std::string>> byKey;
  for (const JournalEntry& entry : aRecords.mJournal) {
    byRequest[entry.mRequest].insert(entry.mResponse);
    byKey[entry.mKey].insert(entry.mResponse);
  }
  for (const CallerRecord& caller : aRecords.mCallers) {
    const bool wrongAnswer =
      caller.mOutcome == CallerOutcome::Answered &&
      !byRequest[caller.mRequest].contains(caller.mResponse);
    const bool wrongStored = caller.mOutcome == CallerOutcome::Stored &&
                             !byKey[caller.mKey].contains(caller.mResponse);
    if (wrongAnswer || wrongStored) {
      aOut.push_back({ "P5", Name(caller.mRequest) + " got another response" });
    }
  }
}

void
CheckDidNotRun(const Records& aRecords, Violations& aOut)
{
  for (const CallerRecord& caller : aRecords.mCallers) {
    if (caller.mOutcome != CallerOutcome::Rejected) {
      continue;
    }
    for (const JournalEntry& entry : aRecords.mJournal) {
      const bool same = entry.mRequest == caller.mRequest;
      const bool sameKey = !caller.mKey.empty() && entry.mKey == caller.mKey &&
                           entry.mOrder < caller.mOutcomeOrder;
      if (entry.mRan && (same || sameKey)) {
        aOut.push_back(
          { "P6", Name(caller.mRequest) + " was rejected and ran" });
        break;
      }
    }
  }
}

void
CheckAtMostOnce(const Records& aRecords, Violations& aOut)
{
  std::set<RequestId> ran;
  std::map<std::string, uint32_t> runs;
  for (const JournalEntry& entry : aRecords.mJournal) {
    if (entry.mIdempotent) {
      continue;
    }
    // Only refused arrivals may be followed by another one.
    if (ran.contains(entry.mRequest)) {
      aOut.push_back({ "P7", Name(entry.mRequest) + " was passed on again" });
    }
    if (entry.mRan) {
      ran.insert(entry.mRequest);
    }
    if (!entry.mKey.empty() && entry.mRan && ++runs[entry.mKey] > 1) {
      aOut.push_back({ "P7", Name(entry.mRequest) + " repeats a key" });
    }
  }
}

void
CheckLeaving(const Records& aRecords, Violations& aOut)
{
  std::set<RequestId> late;
  for (const CallerRecord& caller : aRecords.mCallers) {
    if (caller.mAfterGoaway) {
      late.insert(caller.mRequest);
    }
  }
  for (const JournalEntry& entry : aRecords.mJournal) {
    if (!entry.mLeavingSince) {
      continue;
    }
    if (entry.mAt - *entry.mLeavingSince > 5s) {
      aOut.push_back({ "P8", Name(entry.mRequest) + " came 5 s after" });
    }
    if (late.contains(entry.mRequest)) {
      aOut.push_back({ "P8", Name(entry.mRequest) + " came after GOAWAY" });
    }
  }
  for (const AcceptedFlow& flow : aRecords.mFlows) {
    if (flow.mLeaving) {
      aOut.push_back({ "P8", "a flow was accepted while leaving" });
    }
  }
}

void
CheckShutdown(const Records& aRecords, Violations& aOut)
{
  for (const CallerRecord& caller : aRecords.mCallers) {
    if (caller.mOutcome == CallerOutcome::Interrupted) {
      aOut.push_back({ "P9", Name(caller.mRequest) + " was interrupted" });
    }
  }
  if (aRecords.mShutdown && !aRecords.mExited) {
    aOut.push_back({ "P9", "the agent never got ready to exit" });
  }
}

void
CheckDomainOut(const Records& aRecords, Violations& aOut)
{
  for (const JournalEntry& entry : aRecords.mJournal) {
    if (entry.mDomainOut) {
      aOut.push_back({ "P4", Name(entry.mRequest) + " came while out" });
    }
  }
  for (const AcceptedFlow& flow : aRecords.mFlows) {
    if (flow.mDomainOut) {
      aOut.push_back({ "P4", "a flow was accepted while out" });
    }
  }
  if (aRecords.mFlowsLeftOpen > 0) {
    aOut.push_back({ "P4", "flows stayed open while out" });
  }
}

void
CheckLease(const Records& aRecords, Violations& aOut)
{
  for (const JournalEntry& entry : aRecords.mJournal) {
    if (!entry.mLeaseHeld) {
      aOut.push_back({ "Lease", Name(entry.mRequest) + " without a lease" });
    }
  }
  for (const AcceptedFlow& flow : aRecords.mFlows) {
    if (!flow.mLeaseHeld) {
      aOut.push_back({ "Lease", "a flow was accepted without a lease" });
    }
  }
}

void
CheckRetries(const Records& aRecords, Violations& aOut)
{
  struct Count
  {
    uint32_t mFirst = 0;
    uint32_t mRepeated = 0;
  };
  std::map<uint64_t, Count> counts;
  std::set<RequestId> seen;
  for (const JournalEntry& entry : aRecords.mJournal) {
    Count& count = counts[entry.mIncarnation];
    (seen.insert(entry.mRequest).second ? count.mFirst : count.mRepeated) += 1;
  }
  // The journal lacks first attempts that were lost with the connection, so
  // the share refers to the requests that callers sent.
  const double share = 0.1 * static_cast<double>(aRecords.mCallers.size());
  for (const auto& [incarnation, count] : counts) {
    if (count.mRepeated > 1 + share) {
      aOut.push_back({ "Retry", "too many retries" });
    }
  }
}

/// Every request gets exactly one outcome, no later than its deadline plus
/// what the environment needs.
void
CheckOutcomes(const Records& aRecords, Violations& aOut)
{
  for (const CallerRecord& caller : aRecords.mCallers) {
    if (caller.mOutcome == CallerOutcome::None && !aRecords.mExited) {
      aOut.push_back({ "Outcome", Name(caller.mRequest) + " got no outcome" });
    }
    if (caller.mAnsweredTwice) {
      aOut.push_back({ "Outcome", Name(caller.mRequest) + " got two" });
    }
  }
  if (aRecords.mTickLoop) {
    aOut.push_back({ "Outcome", "ticks make no progress" });
  }
}

} // namespace

std::vector<Violation>
Judge(const Records& aRecords)
{
  Violations found;
  CheckColdStart(aRecords, found);
  CheckDomainOut(aRecords, found);
  CheckOwnResponse(aRecords, found);
  CheckDidNotRun(aRecords, found);
  CheckAtMostOnce(aRecords, found);
  CheckLeaving(aRecords, found);
  CheckShutdown(aRecords, found);
  CheckLease(aRecords, found);
  CheckRetries(aRecords, found);
  CheckOutcomes(aRecords, found);
  return found;
}

} // namespace snipepost::matrix
