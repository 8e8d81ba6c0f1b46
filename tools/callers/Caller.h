#pragma once

#include <asio/steady_timer.hpp>

#include <deque>
#include <list>
#include <memory>

#include "tools/callers/Flow.h"
#include "tools/callers/LoadGenerator.h"

namespace snipepost::tools {

class Attempt;

/// One caller of a service: the current flow for new requests, retired flows
/// that only complete their requests in progress, and requests that wait for a
/// flow.
class Caller : public FlowOwner
{
public:
  Caller(LoadGenerator& aGenerator, const Address& aService);
  ~Caller() override;

  void Start();
  /// Closes all flows and opens no new ones.
  void Stop();
  void Enqueue(const RequestPtr& aRequest);

  /// Cancels attempts whose request already has a result, refreshes the key
  /// scope and replaces the flow when its lifetime has passed.
  void OnTick(Instant aNow);

  LoadGenerator& Generator() { return mGenerator; }

  /// Called by attempts; both retry the request when that is allowed.
  void OnAttemptRejected(const RequestPtr& aRequest);
  void OnAttemptBroken(const RequestPtr& aRequest);

private:
  friend class KeyScopeFetch;

  struct ActiveAttempt
  {
    std::weak_ptr<Flow> mFlow;
    StreamId mStream;
    RequestPtr mRequest;
    std::shared_ptr<Attempt> mAttempt;
  };

  void OnFlowOpened(Flow& aFlow) override;
  void OnFlowRetired(Flow& aFlow) override;
  void OnFlowClosed(Flow& aFlow,
                    ClientCloseReason aReason,
                    bool aWasOpen) override;
  void OnStreamFreed(Flow& aFlow) override;

  void OpenFlow();
  void OpenFlowAfterBackoff();
  void ReplaceFlow();
  void CancelOverdue(Instant aNow);
  /// Closes flows whose server has not acknowledged a cancellation in time.
  void CheckUnacknowledged(Instant aNow);
  void FetchKeyScope();
  /// Submits waiting requests to the current flow.
  void SubmitWaiting();
  bool TrySubmit(const RequestPtr& aRequest);
  /// Sets the idempotency key of the next attempt; false without a valid
  /// scope.
  bool AssignKey(Request& aRequest);
  void Retry(const RequestPtr& aRequest, Result aResultWithoutRetry);

  LoadGenerator& mGenerator;
  Address mService;
  std::shared_ptr<Flow> mCurrentFlow;
  std::list<std::shared_ptr<Flow>> mRetiredFlows;
  std::deque<RequestPtr> mWaiting;
  std::list<ActiveAttempt> mActiveAttempts;
  asio::steady_timer mBackoffTimer;
  Duration mBackoff;
  Instant mFlowExpiry = Instant::max();
  bool mSubmitting = false;
  bool mBackingOff = false;
  bool mStopped = false;
};

} // namespace snipepost::tools
