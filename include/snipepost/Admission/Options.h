#pragma once

#include <cstddef>
#include <cstdint>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/Types.h>

namespace snipepost {

/// Switches for the safety rules behind the invariants. Production code leaves
/// all of them enabled. The tests of the fault matrix disable them one at a
/// time to show that the invariant checkers detect the violation.
struct Safeguards
{
  /// After a cold start the limit starts at 1 and grows.
  bool mColdRamp = true;
  /// Reported warmth can lower the limit but not raise it.
  bool mReportsOnlyLower = true;
  /// A lost connection counts as a cold start.
  bool mColdOnDisconnect = true;
  /// Overload responses (503), refusals and missed deadlines lower the limit.
  bool mAdaptiveLimit = true;
  /// A non-idempotent request is retried only after refusals.
  bool mForwardOnce = true;
  /// Requests with a key that was used before are detected as duplicates.
  bool mIdempotencyTable = true;
  /// A request whose key has no record is not run once the scope of the key has
  /// expired.
  bool mScopeExpiry = true;
  /// A request whose key was issued by another incarnation of this agent is not
  /// run.
  bool mIncarnationCheck = true;
  /// A request that was forwarded and may have run is never reported as not
  /// run.
  bool mUnknownAfterForward = true;
  /// Requests after the final GOAWAY are rejected.
  bool mDrainRejects = true;
  /// Requests that are still queued some time after the drain began are
  /// rejected.
  bool mDrainEmptiesQueue = true;
  /// The process exits only when nothing is in progress.
  bool mExitWhenIdle = true;
  /// An agent closes its flows and rejects requests while its failure domain is
  /// out of service.
  bool mDomainOut = true;
  /// Without a valid lease, no flow or request is accepted and no request is
  /// forwarded.
  bool mLease = true;
  /// Retries are limited to a share of requests.
  bool mRetryBudget = true;
};

/// Limits of the idempotency table and of relays.
struct IdempotencyOptions
{
  /// Maximum number of records.
  size_t mMaxEntries = 65536;
  /// Longer responses are not stored; duplicates get "outcome unknown".
  size_t mMaxResponseBytes = 16384;
  /// Maximum size of all stored responses. 32 MiB is a quarter of the memory
  /// that an instance may use.
  size_t mMaxTotalBytes = size_t{ 32 } << 20;
  /// Longer keys are rejected as malformed.
  size_t mMaxKeyBytes = 256;
  /// Maximum number of waiting duplicates, over all keys.
  size_t mMaxWaiters = 256;
  /// Maximum number of concurrent relays to other agents.
  size_t mMaxRelays = 256;
  /// How long after its issue a scope is valid for keys without a record.
  Duration mScopeValidity = std::chrono::minutes(5);
  /// How long a record is kept. Longer than the validity of a scope: when a key
  /// with a valid scope has no record, no request has run with it.
  Duration mRecordLifetime = std::chrono::minutes(10);
};

struct RetryOptions
{
  /// Retries that each request adds to the budget.
  double mRatio = 0.1;
  /// Maximum budget.
  double mBurst = 10;
  /// Maximum number of attempts of a request, including the first.
  uint32_t mMaxAttempts = 3;
};

struct DrainOptions
{
  /// Time from the shutdown notice to the final GOAWAY.
  Duration mNoticeTime = std::chrono::seconds(1);
  /// Time from the notice until requests that are still queued are rejected.
  /// Invariant P8 allows 5 s, of which 1 s is left for the start of the drain
  /// to reach the agent.
  Duration mQueueTime = std::chrono::seconds(4);
};

struct LeaseOptions
{
  /// How long a confirmation by an entry instance replaces the lease while the
  /// store is out of service. Entry instances probe an agent every 1 s and
  /// suspect it after three lost probes; with a longer time, an agent would
  /// serve longer after they suspect it.
  Duration mConfirmationLifetime = std::chrono::seconds(3);
};

/// Settings that are fixed for the lifetime of an AgentCore.
struct AgentOptions
{
  /// The agent's address in the idempotency keys of callers.
  Address mAddress{};
  Incarnation mIncarnation{};
  IdempotencyOptions mIdempotency{};
  RetryOptions mRetry{};
  DrainOptions mDrain{};
  LeaseOptions mLease{};
  /// Queue capacity per slot.
  uint32_t mQueuePerSlot = 4;
  /// Slots reserved for other classes than bulk. Bulk requests may always use
  /// at least one slot. Agents of a bulk service reserve none.
  uint32_t mSlotsWithoutBulk = 1;
  /// How long a bulk request is queued behind long ones before it is rejected,
  /// so that its caller retries it at another agent. The handshake of a new
  /// flow and the retry take about 50 ms on the slowest path. With a much
  /// shorter queue time, the retry would cost more time than it saves.
  Duration mBulkQueueTime = std::chrono::milliseconds(250);
  /// Bulk requests that arrive within this time after the agent accepted their
  /// flow stay queued instead. Otherwise, a request that one agent rejected
  /// would be rejected again by the next one while all agents are full.
  Duration mNewFlowTime = std::chrono::seconds(1);
  /// Reject a request whose estimated response time exceeds its remaining time.
  /// When disabled, such a request stays queued until its deadline.
  bool mRefuseByEstimate = true;
  Safeguards mSafeguards{};
};

} // namespace snipepost
