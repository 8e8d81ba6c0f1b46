#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <snipepost/Admission/AcceptedFlows.h>
#include <snipepost/Admission/AdaptiveLimit.h>
#include <snipepost/Admission/BackendTracker.h>
#include <snipepost/Admission/ColdRamp.h>
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
  /// Records in the idempotency table.
  size_t mRecords = 0;
  bool mAcceptsFlows = false;
};

/// Admission control of an agent: decides which flows it accepts, and when and
/// how often it forwards requests to the backend server. Deterministic: the
/// result depends on the events and their times only. Times must not decrease.
/// Not thread-safe.
class AgentCore
{
public:
  /// aNow is the start time of the agent. Until the first events, the backend
  /// server is considered cold and unreachable, and there is no lease.
  AgentCore(const AgentOptions& aOptions,
            const AgentConfig& aConfig,
            const KeyRing& aKeys,
            Instant aNow);

  /// Decides what to do with a datagram. Doesn't change any state; when an
  /// Initial packet is accepted, the daemon must call OnFlowOpened.
  HuntingDecision OnReceivedPacket(const ReceivedPacket& aPacket,
                                   Instant aNow) const;

  Effects OnFlowOpened(const FlowOpened& aEvent, Instant aNow);
  Effects OnFlowClosed(const FlowClosed& aEvent, Instant aNow);
  Effects OnRequest(const RequestArrived& aEvent, Instant aNow);
  Effects OnRequestCancelled(const RequestCancelled& aEvent, Instant aNow);
  Effects OnRelayFinished(const RelayFinished& aEvent, Instant aNow);
  Effects OnBackendResult(const BackendResult& aEvent, Instant aNow);
  Effects OnBackendState(const BackendState& aEvent, Instant aNow);
  Effects OnConfig(const ConfigChanged& aEvent, Instant aNow);
  Effects OnLease(const LeaseChanged& aEvent, Instant aNow);
  Effects OnConfirmedByEntry(const ConfirmedByEntry& aEvent, Instant aNow);
  Effects OnShutdown(const ShutdownRequested& aEvent, Instant aNow);
  Effects OnTick(const Tick& aEvent, Instant aNow);

  /// Calls the method for the event.
  Effects Handle(const Event& aEvent, Instant aNow);

  /// When OnTick is due; nothing when no time limit is pending.
  std::optional<Instant> NextTick(Instant aNow) const;

  /// Creates a scope token for new idempotency keys of callers.
  std::string IssueKeyScope(Instant aNow) const;

  /// Replaces the secrets after a key rotation.
  void SetKeys(const KeyRing& aKeys) { mKeys = aKeys; }

  AgentLoad Load(Instant aNow) const;

private:
  enum class Stage : uint8_t
  {
    Queued,
    Forwarded,
    /// A duplicate that waits for the first request with its key.
    Waiting,
    Relayed
  };

  struct Request
  {
    RequestArrived mArrival{};
    Stage mStage = Stage::Queued;
    Instant mArrivedAt{};
    Instant mForwardedAt{};
    uint32_t mAttempts = 0;
    /// An attempt ended without showing whether the request ran.
    bool mMayHaveRun = false;
    bool mCancelSent = false;
    /// No response is due any more: it was sent, or the caller cancelled the
    /// request.
    bool mResolved = false;

    bool HasRecord() const
    {
      return !mArrival.mIdempotent && !mArrival.mKey.empty();
    }
  };
  using Requests = std::map<RequestId, Request>;

  // Requests, in AgentCoreRequests.cpp. The Resolve functions return true when
  // the request needs no admission: it was responded to, relayed, or waits for
  // the first request with its key.
  static uint32_t WholeSeconds(Instant aNow);
  bool ResolveByKey(const RequestArrived& aEvent, Instant aNow);
  bool ResolveByRecord(const RequestArrived& aEvent);
  void RelayTo(const RequestArrived& aEvent, Address aAgent);
  bool ResolveByScope(const RequestArrived& aEvent, Instant aNow);
  std::optional<RejectReason> AdmissionError(const RequestArrived& aEvent,
                                             Instant aNow) const;
  std::optional<RejectReason> QueueError(const RequestArrived& aEvent,
                                         Instant aNow) const;
  void Admit(const RequestArrived& aEvent, Instant aNow);
  void Enqueue(const RequestArrived& aEvent);
  void CompleteAttempt(Requests::iterator aRequest,
                       const BackendResult& aEvent,
                       Instant aNow);
  bool MayRetry(const Request& aRequest,
                const BackendResult& aEvent,
                Instant aNow);
  /// Rejects a request that got no response, or reports "outcome unknown" when
  /// it may have run.
  void FinishUnanswered(Requests::iterator aRequest, RejectReason aReason);
  void FinishUnknown(Request& aRequest, UnknownReason aReason);
  void FinishAnswered(Request& aRequest, const BackendResult& aEvent);
  void SendCancel(Request& aRequest);
  /// Handles a request whose caller no longer waits for the response.
  void CancelRequest(RequestId aRequest);
  void CancelQueued(Requests::iterator aRequest);

  // State of the agent, in AgentCore.cpp. Every event handler ends with
  // FinishEvent(), and most begin with ApplyTimeLimits().
  void ApplyTimeLimits(Instant aNow);
  Effects FinishEvent(Instant aNow);
  void Expire(Instant aNow);
  /// Rejects bulk requests whose deadline in the queue has passed.
  void RejectDelayedBulk(Instant aNow);
  std::optional<Instant> BulkQueueDeadline(const Request& aRequest) const;
  void ExpireUnqueued(Requests::iterator aRequest, Instant aNow);
  void Dispatch(Instant aNow);
  void AdvanceDrain(Instant aNow);
  void UpdateDrain(Instant aNow);
  void RejectQueue(RejectReason aReason);
  void CloseForDomainOut();
  void CheckExit();
  void MarkCold(Instant aNow);
  void RecordOutcome(const Request& aRequest,
                     const BackendResult& aEvent,
                     Instant aNow);
  uint32_t Limit(Instant aNow) const;
  uint32_t InFlight() const { return mInFlight; }
  bool BulkAllowed(Instant aNow) const;
  bool BulkShareApplies(Instant aNow) const;
  bool AcceptsFlows(Instant aNow) const;
  bool LeaseIsValid(Instant aNow) const;
  bool DomainIsOut() const;
  size_t QueueCapacity() const;

  AgentOptions mOptions;
  AgentConfig mConfig;
  KeyRing mKeys;
  AcceptedFlows mAcceptedFlows;
  ColdRamp mRamp;
  AdaptiveLimit mAdaptive;
  ServiceTime mServiceTime;
  RequestQueue mQueue;
  IdempotencyTable mTable;
  RetryBudget mBudget;
  DrainState mDrain;
  Lease mLease;
  BackendTracker mBackend;
  Requests mRequests;
  Effects mEffects;
  uint32_t mInFlight = 0;
  uint32_t mBulkInFlight = 0;
  Instant mLastBulkForwardedAt{};
  uint32_t mConsecutiveOverloads = 0;
  bool mShutdown = false;
  bool mExitSent = false;
};

} // namespace snipepost
