#include <snipepost/Admission/AgentCore.h>

#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace snipepost {

Effects
AgentCore::OnFlowOpened(const FlowOpened& aEvent, Instant aNow)
{
  Begin(aNow);
  if (DomainIsOut() || !mConnections.Open(aEvent.mFlow, aNow)) {
    mEffects.emplace_back(CloseFlow{ aEvent.mFlow });
  }
  return Finish(aNow);
}

Effects
AgentCore::OnFlowClosed(const FlowClosed& aEvent, Instant aNow)
{
  Begin(aNow);
  mConnections.Close(aEvent.mFlow);
  std::vector<RequestId> ofFlow;
  for (const auto& [id, request] : mRequests) {
    if (request.mArrival.mFlow == aEvent.mFlow) {
      ofFlow.push_back(id);
    }
  }
  for (const RequestId id : ofFlow) {
    Withdraw(id);
  }
  return Finish(aNow);
}

Effects
AgentCore::OnRequest(const RequestArrived& aEvent, Instant aNow)
{
  Begin(aNow);
  if (!SettleByKey(aEvent, aNow)) {
    Admit(aEvent, aNow);
  }
  return Finish(aNow);
}

Effects
AgentCore::OnRequestCancelled(const RequestCancelled& aEvent, Instant aNow)
{
  Begin(aNow);
  Withdraw(aEvent.mRequest);
  return Finish(aNow);
}

Effects
AgentCore::OnRelayFinished(const RelayFinished& aEvent, Instant aNow)
{
  const auto found = mRequests.find(aEvent.mRequest);
  if (found != mRequests.end() && found->second.mStage == Stage::Relayed) {
    mRequests.erase(found);
  }
  return Finish(aNow);
}

Effects
AgentCore::OnBackendResult(const BackendResult& aEvent, Instant aNow)
{
  // Deadlines are checked afterwards: a response that is there is worth more
  // than the report that it is late.
  AdvanceDrain(aNow);
  const auto found = mRequests.find(aEvent.mRequest);
  if (found != mRequests.end() && found->second.mStage == Stage::PassedOn) {
    --mInFlight;
    if (found->second.mArrival.mClass == RequestClass::Bulk) {
      --mBulkInFlight;
    }
    mQueue.RecordSlotTime(found->second.mArrival.mClass,
                          aNow - found->second.mPassedOn);
    Measure(found->second, aEvent, aNow);
    Settle(found, aEvent, aNow);
  }
  return Finish(aNow);
}

Effects
AgentCore::OnBackendState(const BackendState& aEvent, Instant aNow)
{
  Begin(aNow);
  const auto change = mBackend.Update(aEvent);
  if (change == BackendLife::Change::Stale) {
    UpdateDrain(aNow);
    return Finish(aNow);
  }
  if (change == BackendLife::Change::Boot ||
      (change == BackendLife::Change::Connection &&
       mOptions.mGuards.mColdOnBreak)) {
    GoCold(aNow);
  }
  if (aEvent.mWarmth) {
    mRamp.ReportWarmth(*aEvent.mWarmth, aNow);
  }
  if (aEvent.mSlots) {
    mRamp.ReportSlots(*aEvent.mSlots, aNow);
  }
  UpdateDrain(aNow);
  return Finish(aNow);
}

Effects
AgentCore::OnConfig(const ConfigChanged& aEvent, Instant aNow)
{
  Begin(aNow);
  const AgentConfig previous = std::exchange(mConfig, aEvent.mConfig);
  mConnections.Configure(mConfig.mConnections);
  mRamp.Configure(mConfig.mSlots, mConfig.mRamp);
  mAdaptive.Configure(mConfig.mSlots);
  mQueue.Configure(QueueCapacity());
  UpdateDrain(aNow);
  if (previous.mDomainOut && !mConfig.mDomainOut) {
    GoCold(aNow);
  }
  if (DomainIsOut() && !previous.mDomainOut) {
    LeaveDomain();
  }
  return Finish(aNow);
}

Effects
AgentCore::OnLease(const LeaseChanged& aEvent, Instant aNow)
{
  Begin(aNow);
  mLease.Update(aEvent.mEnd, aEvent.mStoreOut);
  return Finish(aNow);
}

Effects
AgentCore::OnEntryConfirmed(const EntryConfirmed& /*aEvent*/, Instant aNow)
{
  Begin(aNow);
  mLease.Confirm(aNow);
  return Finish(aNow);
}

Effects
AgentCore::OnShutdown(const ShutdownRequested& /*aEvent*/, Instant aNow)
{
  Begin(aNow);
  mShutdown = true;
  UpdateDrain(aNow);
  return Finish(aNow);
}

Effects
AgentCore::OnTick(const Tick& /*aEvent*/, Instant aNow)
{
  return Finish(aNow);
}

Effects
AgentCore::Handle(const Event& aEvent, Instant aNow)
{
  return std::visit(
    [&](const auto& aOne) {
      using Type = std::decay_t<decltype(aOne)>;
      if constexpr (std::is_same_v<Type, FlowOpened>) {
        return OnFlowOpened(aOne, aNow);
      } else if constexpr (std::is_same_v<Type, FlowClosed>) {
        return OnFlowClosed(aOne, aNow);
      } else if constexpr (std::is_same_v<Type, RequestArrived>) {
        return OnRequest(aOne, aNow);
      } else if constexpr (std::is_same_v<Type, RequestCancelled>) {
        return OnRequestCancelled(aOne, aNow);
      } else if constexpr (std::is_same_v<Type, RelayFinished>) {
        return OnRelayFinished(aOne, aNow);
      } else if constexpr (std::is_same_v<Type, BackendResult>) {
        return OnBackendResult(aOne, aNow);
      } else if constexpr (std::is_same_v<Type, BackendState>) {
        return OnBackendState(aOne, aNow);
      } else if constexpr (std::is_same_v<Type, ConfigChanged>) {
        return OnConfig(aOne, aNow);
      } else if constexpr (std::is_same_v<Type, LeaseChanged>) {
        return OnLease(aOne, aNow);
      } else if constexpr (std::is_same_v<Type, EntryConfirmed>) {
        return OnEntryConfirmed(aOne, aNow);
      } else if constexpr (std::is_same_v<Type, ShutdownRequested>) {
        return OnShutdown(aOne, aNow);
      } else {
        static_assert(std::is_same_v<Type, Tick>);
        return OnTick(aOne, aNow);
      }
    },
    aEvent);
}

} // namespace snipepost
