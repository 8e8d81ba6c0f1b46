#pragma once

#include <cstddef>
#include <cstdint>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/Types.h>

namespace snipepost {

/// Switches for the rules that keep the invariants. Production code leaves all
/// of them on. The fault matrix switches single ones off to show that its
/// checkers notice.
struct Guards
{
  /// The limit grows from 1 after a cold start.
  bool mColdRamp = true;
  /// Reported warmth can lower the limit but not raise it.
  bool mReportsOnlyLower = true;
  /// A broken connection counts as a cold start.
  bool mColdOnBreak = true;
  /// Sheds and deadline misses lower the limit.
  bool mAdaptiveLimit = true;
  /// A non-idempotent request is passed on again only after refusals.
  bool mPassOnOnce = true;
  /// Duplicates of a key are recognized.
  bool mIdempotencyTable = true;
  /// An unused key is refused once its scope has expired.
  bool mScopeExpiry = true;
  /// Keys of other incarnations of this agent are not run.
  bool mIncarnationCheck = true;
  /// A request that was passed on and may have run is never reported as not
  /// run.
  bool mUnknownAfterPassOn = true;
  /// Requests after the final GOAWAY are rejected.
  bool mDrainRejects = true;
  /// Requests that still queue some time after the drain began are rejected.
  bool mDrainEmptiesQueue = true;
  /// The process exits only when nothing is in progress.
  bool mExitWhenIdle = true;
  /// A failure domain that is out closes flows and refuses requests.
  bool mDomainOut = true;
  /// Nothing is accepted or passed on without a lease.
  bool mLease = true;
  /// Retries are limited to a share of requests.
  bool mRetryBudget = true;
};

/// Bounds of the idempotency table.
struct IdempotencyOptions
{
  size_t mMaxEntries = 65536;
  /// A longer response is not stored; its duplicates get "outcome unknown".
  size_t mMaxResponseBytes = 16384;
  /// Bound of all stored responses together. 32 MiB is a quarter of the
  /// memory that a node may use.
  size_t mMaxTotalBytes = size_t{ 32 } << 20;
  /// Longer keys are malformed.
  size_t mMaxKeyBytes = 256;
  /// Duplicates that wait at the same time, over all keys.
  size_t mMaxWaiters = 256;
  /// Requests that wait for another agent at the same time.
  size_t mMaxRelays = 256;
  /// How long after its issue a scope may be used for the first time.
  Duration mScopeValidity = std::chrono::minutes(5);
  /// How long a record is kept. Longer than the validity of a scope, so that a
  /// key without a record never ran while its scope is valid.
  Duration mRecordLife = std::chrono::minutes(10);
};

struct RetryOptions
{
  /// Retries per request.
  double mRatio = 0.1;
  /// Retries that may be saved up.
  double mBurst = 10;
  /// Attempts of one request, the first included.
  uint32_t mMaxAttempts = 3;
};

struct DrainOptions
{
  /// Time from the shutdown notice to the final GOAWAY.
  Duration mNoticeTime = std::chrono::seconds(1);
  /// Time from the notice until requests that still queue are rejected. Below
  /// the 5 s of P8, with 1 s to spare for the event to arrive.
  Duration mQueueTime = std::chrono::seconds(4);
};

struct LeaseOptions
{
  /// How long one confirmation by an entry instance stands in for the lease
  /// while the store is out. Three lost probes at 1 s raise a suspicion, so a
  /// longer time would outlive the opinion of the entry instances.
  Duration mConfirmationLife = std::chrono::seconds(3);
};

/// Settings of one AgentCore that don't change while it lives.
struct AgentOptions
{
  /// The agent's address as callers' keys name it.
  Address mAddress{};
  Incarnation mIncarnation{};
  IdempotencyOptions mIdempotency{};
  RetryOptions mRetry{};
  DrainOptions mDrain{};
  LeaseOptions mLease{};
  /// Queue places per slot.
  uint32_t mQueuePerSlot = 4;
  /// Slots that bulk requests leave to other classes; they may use at least
  /// one. Not kept by an agent of a bulk service.
  uint32_t mSlotsWithoutBulk = 1;
  /// How long a bulk request queues behind long ones before it is rejected, so
  /// that its caller goes to another agent. A new flow and the repeated request
  /// take about 50 ms on the slowest path of today, so a shorter wait is not
  /// worth the handshake.
  Duration mBulkQueueTime = std::chrono::milliseconds(250);
  /// For this time after hunting chose the agent for a flow, its bulk requests
  /// are not sent elsewhere. A request that was rejected once is thus not
  /// rejected again while every agent is full.
  Duration mNewFlowTime = std::chrono::seconds(1);
  /// Refuse a request whose estimated wait exceeds its remaining time. Without
  /// it, such a request waits in the queue until its deadline.
  bool mRefuseByEstimate = true;
  Guards mGuards{};
};

} // namespace snipepost
