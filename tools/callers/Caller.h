#pragma once

#include <asio/steady_timer.hpp>

#include <deque>
#include <list>
#include <memory>

#include "tools/callers/Flow.h"
#include "tools/callers/Run.h"

namespace snipepost::tools {

class Attempt;

/// One caller of a service: a flow for new requests, flows that only finish
/// what they have, and requests that wait for a flow.
class Caller : public FlowOwner
{
public:
  Caller(Run& aRun, const Address& aService);
  ~Caller() override;

  void Start();
  /// Closes all flows and opens no more.
  void Stop();
  void Add(const RequestPtr& aRequest);

  /// Gives up on requests whose result is known, refreshes the key scope and
  /// replaces the flow when its life is over.
  void OnTick(Instant aNow);

  Run& Owner() { return mRun; }

  /// Called by attempts; each decides on a retry.
  void OnAttemptRejected(const RequestPtr& aRequest);
  void OnAttemptBroken(const RequestPtr& aRequest);

private:
  friend class ScopeExchange;

  struct Active
  {
    std::weak_ptr<Flow> mFlow;
    StreamId mStream;
    RequestPtr mRequest;
    std::shared_ptr<Attempt> mAttempt;
  };

  void OnFlowOpened(Flow& aFlow) override;
  void OnFlowRetired(Flow& aFlow) override;
  void OnFlowClosed(Flow& aFlow,
                    ClientCloseReason aEnd,
                    bool aWasOpen) override;
  void OnFlowRoom(Flow& aFlow) override;

  void OpenFlow();
  void OpenFlowLater();
  void ReplaceFlow();
  void CancelOverdue(Instant aNow);
  /// Gives up on flows that don't acknowledge a cancellation.
  void CheckUnanswered(Instant aNow);
  void FetchScope();
  /// Submits waiting requests to the current flow.
  void Drain();
  bool SubmitNext(const RequestPtr& aRequest);
  /// Chooses the key of the next attempt; false when no scope is known.
  bool ChooseKey(Request& aRequest);
  void Retry(const RequestPtr& aRequest, Result aOtherwise);

  Run& mRun;
  Address mService;
  std::shared_ptr<Flow> mCurrent;
  std::list<std::shared_ptr<Flow>> mOld;
  std::deque<RequestPtr> mWaiting;
  std::list<Active> mActive;
  asio::steady_timer mBackoffTimer;
  Duration mBackoff;
  Instant mFlowEnd = Instant::max();
  bool mDraining = false;
  bool mBackingOff = false;
  bool mStopped = false;
};

} // namespace snipepost::tools
