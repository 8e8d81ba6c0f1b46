#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <snipepost/Admission/Events.h>

namespace snipepost::matrix {

/// One arrival of a request at the fake backend server, with the state of the
/// simulation at that time.
struct JournalEntry
{
  Instant mAt{};
  /// Position in the order of all arrivals and outcomes; times can be equal.
  uint64_t mOrder = 0;
  RequestId mRequest{};
  std::string mKey{};
  bool mIdempotent = true;
  /// The request had an effect; false when it was refused.
  bool mRan = false;
  /// Number of running requests including this one, and how many the server
  /// can handle.
  uint32_t mRunning = 0;
  uint32_t mCapacity = 0;
  /// The server turned cold without any event that the agent can see.
  bool mSilentlyCold = false;
  /// Incarnation of the agent that forwarded the request.
  uint64_t mIncarnation = 0;
  bool mLeaseHeld = true;
  bool mDomainOut = false;
  /// When the agent was notified that the backend server is leaving: by a
  /// health report, the configuration or a shutdown request.
  std::optional<Instant> mLeavingSince{};
  std::string mResponse{};
};

enum class CallerOutcome : uint8_t
{
  None,
  Answered,
  /// The stored response to an earlier request with the same key.
  Replayed,
  Rejected,
  Unknown,
  /// No outcome is due: the flow was closed, the caller cancelled the request,
  /// or the agent restarted.
  Abandoned,
  Relayed,
  /// The agent exited while the request was in progress.
  Interrupted
};

/// A request of a caller and its outcome.
struct RequestRecord
{
  RequestId mRequest{};
  std::string mKey{};
  bool mIdempotent = true;
  Instant mSentAt{};
  Instant mDeadline{};
  FlowId mFlow{};
  /// The agent had sent the final GOAWAY when the request arrived.
  bool mAfterGoaway = false;
  CallerOutcome mOutcome = CallerOutcome::None;
  /// Position in the order of all arrivals and outcomes.
  uint64_t mOutcomeOrder = 0;
  std::string mResponse{};
  /// The agent reported more than one outcome.
  bool mMultipleOutcomes = false;
};

/// A flow that the agent accepted, with the state of the simulation at that
/// time.
struct AcceptedFlow
{
  Instant mAt{};
  bool mLeaseHeld = true;
  bool mDomainOut = false;
  bool mLeaving = false;
};

/// Everything recorded in one run; the input of the checkers.
struct Records
{
  std::vector<JournalEntry> mJournal{};
  std::vector<RequestRecord> mRequests{};
  std::vector<AcceptedFlow> mFlows{};
  /// Flows that stayed open after their failure domain went out.
  uint32_t mFlowsLeftOpen = 0;
  /// Whether a shutdown was requested, and whether the agent reported that it
  /// is ready to exit.
  bool mShutdown = false;
  bool mExited = false;
  /// OnTick was due more than 10 times in a row without progress.
  bool mTickLoop = false;
};

} // namespace snipepost::matrix
