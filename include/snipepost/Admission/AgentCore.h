#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <snipepost/Admission/AdaptiveLimit.h>
#include <snipepost/Admission/BackendLife.h>
#include <snipepost/Admission/ColdRamp.h>
#include <snipepost/Admission/ConnectionLimit.h>
#include <snipepost/Admission/DrainState.h>
#include <snipepost/Admission/Events.h>
#include <snipepost/Admission/IdempotencyTable.h>
#include <snipepost/Admission/KeyScope.h>
#include <snipepost/Admission/Lease.h>
#include <snipepost/Admission/Options.h>
#include <snipepost/Admission/RequestQueue.h>
#include <snipepost/Admission/RetryBudget.h>
#include <snipepost/Admission/ServiceTime.h>
#include <snipepost/Base/KeyedTag.h>

namespace snipepost {

/// Figures for load reports, status and metrics.
struct AgentLoad
{
  uint32_t mInFlight = 0;
  uint32_t mLimit = 0;
  size_t mQueued = 0;
  size_t mQueueCapacity = 0;
  size_t mFlows = 0;
  size_t mRecords = 0;
  bool mAcceptsFlows = false;
};

/// Every decision of an agent: which flows it accepts, and when and how often
/// it passes requests on. Deterministic: the result depends on the events and
/// their times only. Times must not decrease. Not thread-safe.
class AgentCore
{
public:
  /// aNow is the start of the agent; the backend server counts as cold and
  /// unreachable until events say otherwise, and there is no lease.
  AgentCore(const AgentOptions& aOptions,
            const AgentConfig& aConfig,
            const KeyRing& aKeys,
            Instant aNow);

  /// Decides about a datagram. Changes nothing; an accepted opening packet is
  /// followed by OnFlowOpened.
  HuntingDecision OnFirstPacket(const FirstPacket& aPacket, Instant aNow) const;

  Effects OnFlowOpened(const FlowOpened& aEvent, Instant aNow);
  Effects OnFlowClosed(const FlowClosed& aEvent, Instant aNow);
  Effects OnRequest(const RequestArrived& aEvent, Instant aNow);
  Effects OnRequestCancelled(const RequestCancelled& aEvent, Instant aNow);
  Effects OnRelayFinished(const RelayFinished& aEvent, Instant aNow);
  Effects OnBackendResult(const BackendResult& aEvent, Instant aNow);
  Effects OnBackendState(const BackendState& aEvent, Instant aNow);
  Effects OnConfig(const ConfigChanged& aEvent, Instant aNow);
  Effects OnLease(const LeaseChanged& aEvent, Instant aNow);
  Effects OnEntryConfirmed(const EntryConfirmed& aEvent, Instant aNow);
  Effects OnShutdown(const ShutdownRequested& aEvent, Instant aNow);
  Effects OnTick(const Tick& aEvent, Instant aNow);

  /// Calls the method for the event.
  Effects Handle(const Event& aEvent, Instant aNow);

  /// When OnTick is due; nothing when no time limit is pending.
  std::optional<Instant> NextTick(Instant aNow) const;

  /// A scope token for keys that callers create from now on.
  std::string IssueKeyScope(Instant aNow) const;

  /// Takes over rotated secrets.
  void SetKeys(const KeyRing& aKeys) { mKeys = aKeys; }

  AgentLoad Load(Instant aNow) const;

private:
  enum class Stage : uint8_t
  {
    Queued,
    PassedOn,
    /// A duplicate that waits for the first request with its key.
    Waiting,
    Relayed
  };

  struct Request
  {
    RequestArrived mArrival{};
    Stage mStage = Stage::Queued;
    Instant mArrived{};
    Instant mPassedOn{};
    uint32_t mAttempts = 0;
    /// An attempt ended in a way that leaves open whether it ran.
    bool mMayHaveRun = false;
    /// A Cancel effect was sent.
    bool mCancelled = false;
    /// Nobody waits for the answer any more.
    bool mSettled = false;

    bool HasRecord() const
    {
      return !mArrival.mIdempotent && !mArrival.mKey.empty();
    }
  };
  using Requests = std::map<RequestId, Request>;

  // Requests (AgentCoreRequests.cpp).
  static uint32_t ScopeSeconds(Instant aNow);
  bool SettleByKey(const RequestArrived& aEvent, Instant aNow);
  bool SettleByRecord(const RequestArrived& aEvent);
  void RelayTo(const RequestArrived& aEvent, Address aAgent);
  bool SettleByScope(const RequestArrived& aEvent, Instant aNow);
  std::optional<RejectReason> AdmissionError(const RequestArrived& aEvent,
                                             Instant aNow) const;
  std::optional<RejectReason> QueueError(const RequestArrived& aArrival,
                                         Instant aNow) const;
  void Admit(const RequestArrived& aEvent, Instant aNow);
  void Enqueue(const RequestArrived& aArrival);
  void Settle(Requests::iterator aRequest,
              const BackendResult& aEvent,
              Instant aNow);
  bool MayRetry(const Request& aRequest,
                const BackendResult& aEvent,
                Instant aNow);
  void FinishNotRun(Requests::iterator aRequest, RejectReason aReason);
  void FinishUnknown(Request& aRequest, UnknownReason aReason);
  void FinishAnswered(Request& aRequest, const BackendResult& aEvent);
  void SendCancel(Request& aRequest);
  void Withdraw(RequestId aRequest);
  void WithdrawQueued(Requests::iterator aRequest);

  // State of the agent (AgentCore.cpp).
  void Begin(Instant aNow);
  Effects Finish(Instant aNow);
  void Expire(Instant aNow);
  /// Rejects bulk requests whose deadline in the queue has passed.
  void RejectDelayedBulk(Instant aNow);
  std::optional<Instant> BulkQueueDeadline(const Request& aRequest) const;
  void ExpireUnqueued(Requests::iterator aRequest, Instant aNow);
  void Dispatch(Instant aNow);
  void AdvanceDrain(Instant aNow);
  void UpdateDrain(Instant aNow);
  void RejectQueue(RejectReason aReason);
  void LeaveDomain();
  void CheckExit();
  void GoCold(Instant aNow);
  void Measure(const Request& aRequest,
               const BackendResult& aEvent,
               Instant aNow);
  uint32_t Limit(Instant aNow) const;
  uint32_t InFlight() const { return mInFlight; }
  bool BulkAllowed(Instant aNow) const;
  bool BulkShareApplies(Instant aNow) const;
  bool AcceptsFlows(Instant aNow) const;
  bool LeaseHolds(Instant aNow) const;
  bool DomainIsOut() const;
  size_t QueueCapacity() const;

  AgentOptions mOptions;
  AgentConfig mConfig;
  KeyRing mKeys;
  ConnectionLimit mConnections;
  ColdRamp mRamp;
  AdaptiveLimit mAdaptive;
  ServiceTime mServiceTime;
  RequestQueue mQueue;
  IdempotencyTable mTable;
  RetryBudget mBudget;
  DrainState mDrain;
  Lease mLease;
  BackendLife mBackend;
  Requests mRequests;
  Effects mEffects;
  uint32_t mInFlight = 0;
  uint32_t mBulkInFlight = 0;
  Instant mLastBulkPassedOn{};
  uint32_t mShedsInARow = 0;
  bool mShutdown = false;
  bool mExitSent = false;
};

} // namespace snipepost
