#include <tests/Matrix/Checkers.h>

#include <map>
#include <set>

using namespace std::chrono_literals;

namespace snipepost::matrix {

namespace {

using Violations = std::vector<Violation>;

std::string
NameOf(RequestId aRequest)
{
  return "request " + std::to_string(aRequest.Value());
}

/// P3: a server whose cold start is visible to the agent never gets more
/// requests than it can handle. A server that turned cold silently may be
/// overloaded a few times at first, and later only as often as the adaptive
/// limit tries an increase.
void
CheckColdStart(const Records& aRecords, Violations& aOut)
{
  uint32_t overloads = 0;
  uint32_t served = 0;
  for (const JournalEntry& entry : aRecords.mJournal) {
    const bool overloaded = entry.mRunning > entry.mCapacity;
    if (!entry.mSilentlyCold) {
      overloads = 0;
      served = 0;
    } else {
      (overloaded ? overloads : served) += 1;
    }
    if (overloaded && !entry.mSilentlyCold) {
      aOut.push_back(
        { "P3", NameOf(entry.mRequest) + " overloads a cold server" });
    }
    if (overloads > 8 + served / 5) {
      aOut.push_back({ "P3",
                       NameOf(entry.mRequest) +
                         " overloads a silently cold server too often" });
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
  for (const RequestRecord& record : aRecords.mRequests) {
    const bool wrongResponse =
      record.mOutcome == CallerOutcome::Answered &&
      !byRequest[record.mRequest].contains(record.mResponse);
    const bool wrongReplay = record.mOutcome == CallerOutcome::Replayed &&
                             !byKey[record.mKey].contains(record.mResponse);
    if (wrongResponse || wrongReplay) {
      aOut.push_back({ "P5",
                       NameOf(record.mRequest) +
                         " received the response to another request" });
    }
  }
}

void
CheckDidNotRun(const Records& aRecords, Violations& aOut)
{
  for (const RequestRecord& record : aRecords.mRequests) {
    if (record.mOutcome != CallerOutcome::Rejected) {
      continue;
    }
    for (const JournalEntry& entry : aRecords.mJournal) {
      const bool sameRequest = entry.mRequest == record.mRequest;
      const bool sameKey = !record.mKey.empty() && entry.mKey == record.mKey &&
                           entry.mOrder < record.mOutcomeOrder;
      if (entry.mRan && (sameRequest || sameKey)) {
        aOut.push_back(
          { "P6", NameOf(record.mRequest) + " was rejected but ran" });
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
    // A request may be forwarded again only after it was refused.
    if (ran.contains(entry.mRequest)) {
      aOut.push_back({ "P7", NameOf(entry.mRequest) + " was forwarded again" });
    }
    if (entry.mRan) {
      ran.insert(entry.mRequest);
    }
    if (!entry.mKey.empty() && entry.mRan && ++runs[entry.mKey] > 1) {
      aOut.push_back(
        { "P7", NameOf(entry.mRequest) + " ran a second time for its key" });
    }
  }
}

void
CheckLeaving(const Records& aRecords, Violations& aOut)
{
  std::set<RequestId> afterGoaway;
  for (const RequestRecord& record : aRecords.mRequests) {
    if (record.mAfterGoaway) {
      afterGoaway.insert(record.mRequest);
    }
  }
  for (const JournalEntry& entry : aRecords.mJournal) {
    if (!entry.mLeavingSince) {
      continue;
    }
    if (entry.mAt - *entry.mLeavingSince > 5s) {
      aOut.push_back(
        { "P8",
          NameOf(entry.mRequest) +
            " arrived more than 5 s after the backend server began to leave" });
    }
    if (afterGoaway.contains(entry.mRequest)) {
      aOut.push_back({ "P8",
                       NameOf(entry.mRequest) +
                         " arrived at the backend server although "
                         "the agent had sent the final GOAWAY" });
    }
  }
  for (const AcceptedFlow& flow : aRecords.mFlows) {
    if (flow.mLeaving) {
      aOut.push_back(
        { "P8", "a flow was accepted while the backend server was leaving" });
    }
  }
}

void
CheckShutdown(const Records& aRecords, Violations& aOut)
{
  for (const RequestRecord& record : aRecords.mRequests) {
    if (record.mOutcome == CallerOutcome::Interrupted) {
      aOut.push_back({ "P9", NameOf(record.mRequest) + " was interrupted" });
    }
  }
  if (aRecords.mShutdown && !aRecords.mExited) {
    aOut.push_back({ "P9", "the agent did not become ready to exit" });
  }
}

void
CheckDomainOut(const Records& aRecords, Violations& aOut)
{
  for (const JournalEntry& entry : aRecords.mJournal) {
    if (entry.mDomainOut) {
      aOut.push_back(
        { "P4",
          NameOf(entry.mRequest) +
            " arrived at the backend server while the domain was out" });
    }
  }
  for (const AcceptedFlow& flow : aRecords.mFlows) {
    if (flow.mDomainOut) {
      aOut.push_back({ "P4", "a flow was accepted while the domain was out" });
    }
  }
  if (aRecords.mFlowsLeftOpen > 0) {
    aOut.push_back({ "P4", "flows stayed open while the domain was out" });
  }
}

void
CheckLease(const Records& aRecords, Violations& aOut)
{
  for (const JournalEntry& entry : aRecords.mJournal) {
    if (!entry.mLeaseHeld) {
      aOut.push_back(
        { "Lease",
          NameOf(entry.mRequest) +
            " arrived at the backend server while the agent had no lease" });
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
  struct AttemptCounts
  {
    uint32_t mFirst = 0;
    uint32_t mRepeated = 0;
  };
  std::map<uint64_t, AttemptCounts> counts;
  std::set<RequestId> seen;
  for (const JournalEntry& entry : aRecords.mJournal) {
    AttemptCounts& count = counts[entry.mIncarnation];
    (seen.insert(entry.mRequest).second ? count.mFirst : count.mRepeated) += 1;
  }
  // The journal lacks first attempts that were lost with the connection, so
  // the budget is a share of the requests that callers sent.
  const double budget = 0.1 * static_cast<double>(aRecords.mRequests.size());
  for (const auto& [incarnation, count] : counts) {
    if (count.mRepeated > 1 + budget) {
      aOut.push_back({ "Retry", "too many retries" });
    }
  }
}

/// Every request has exactly one outcome at the end of the run, when all
/// deadlines have passed.
void
CheckOutcomes(const Records& aRecords, Violations& aOut)
{
  for (const RequestRecord& record : aRecords.mRequests) {
    if (record.mOutcome == CallerOutcome::None && !aRecords.mExited) {
      aOut.push_back(
        { "Outcome", NameOf(record.mRequest) + " has no outcome" });
    }
    if (record.mMultipleOutcomes) {
      aOut.push_back(
        { "Outcome", NameOf(record.mRequest) + " has more than one outcome" });
    }
  }
  if (aRecords.mTickLoop) {
    aOut.push_back({ "Outcome", "OnTick makes no progress" });
  }
}

} // namespace

std::vector<Violation>
FindViolations(const Records& aRecords)
{
  Violations violations;
  CheckColdStart(aRecords, violations);
  CheckDomainOut(aRecords, violations);
  CheckOwnResponse(aRecords, violations);
  CheckDidNotRun(aRecords, violations);
  CheckAtMostOnce(aRecords, violations);
  CheckLeaving(aRecords, violations);
  CheckShutdown(aRecords, violations);
  CheckLease(aRecords, violations);
  CheckRetries(aRecords, violations);
  CheckOutcomes(aRecords, violations);
  return violations;
}

} // namespace snipepost::matrix
