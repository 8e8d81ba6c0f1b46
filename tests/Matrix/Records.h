#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <snipepost/Admission/Events.h>

namespace snipepost::matrix {

/// One arrival of a request at the fake backend server, with what was true in
/// the environment at that time.
struct JournalEntry
{
  Instant mAt{};
  /// Position among all arrivals and outcomes; times can be equal.
  uint64_t mOrder = 0;
  RequestId mRequest{};
  std::string mKey{};
  bool mIdempotent = true;
  /// The request had an effect; false when it was refused.
  bool mRan = false;
  /// Requests running, this one included, and how many the server can bear.
  uint32_t mRunning = 0;
  uint32_t mBound = 0;
  /// The server is cold and nobody was told.
  bool mSilentlyCold = false;
  /// Agent's life that sent it.
  uint64_t mIncarnation = 0;
  bool mLeaseHeld = true;
  bool mDomainOut = false;
  /// Since when the agent knows that the backend server leaves.
  std::optional<Instant> mLeavingSince{};
  std::string mResponse{};
};

enum class CallerOutcome : uint8_t
{
  None,
  Answered,
  Stored,
  Rejected,
  Unknown,
  /// The flow was closed, or the caller gave up.
  FlowGone,
  Relayed,
  /// The agent exited while the request was in progress.
  Interrupted
};

/// What a caller sent and what it saw.
struct CallerRecord
{
  RequestId mRequest{};
  std::string mKey{};
  bool mIdempotent = true;
  Instant mSentAt{};
  Instant mDeadline{};
  FlowId mFlow{};
  /// The caller had seen the final GOAWAY when it sent the request.
  bool mAfterGoaway = false;
  CallerOutcome mOutcome = CallerOutcome::None;
  /// Position among all arrivals and outcomes.
  uint64_t mOutcomeOrder = 0;
  std::string mResponse{};
  /// The agent answered more than once.
  bool mAnsweredTwice = false;
};

/// A flow that the agent accepted, with what was true at that time.
struct AcceptedFlow
{
  Instant mAt{};
  bool mLeaseHeld = true;
  bool mDomainOut = false;
  bool mLeaving = false;
};

/// Everything the checkers may look at.
struct Records
{
  std::vector<JournalEntry> mJournal{};
  std::vector<CallerRecord> mCallers{};
  std::vector<AcceptedFlow> mFlows{};
  /// Flows that stayed open after their failure domain went out.
  uint32_t mFlowsLeftOpen = 0;
  /// A shutdown was requested, and whether the agent got ready to exit.
  bool mShutdown = false;
  bool mExited = false;
  /// OnTick was due again and again without progress.
  bool mTickLoop = false;
};

} // namespace snipepost::matrix
