// The record that announces the backend server to the other instances.

#include "src/FlowDaemon/AgentNode.h"

#include <utility>

namespace snipepost {

namespace {

/// Consecutive failed writes after which a write is relayed through a peer: the
/// store may reject this instance and serve others.
constexpr uint32_t kFailuresBeforeRelay = 2;

} // namespace

void
AgentNode::Announce()
{
  const flow::BackendStatus& status = mCore.Status();
  if (status.Deregistered() || (mStopping && !MayHaveFlows()) ||
      BackendLeft()) {
    mPublisher.SetDesired(std::nullopt);
  } else if (status.HasHeartbeat()) {
    cluster::BackendRecord record;
    record.mService = mNode.Settings().mService;
    record.mAgent = mNode.Settings().Identity();
    record.mDomain = mNode.Settings().mDomain;
    record.mState = mStopping || status.Draining()
                      ? cluster::BackendState::Draining
                      : cluster::BackendState::Ready;
    record.mSlots = status.Slots();
    mPublisher.SetDesired(cluster::EncodeRecord(record));
  }
  PublishRecord();
}

// A server that has crashed is expected back, so its record stays. One that was
// draining has left, though its deregistration may have been lost.
bool
AgentNode::BackendLeft() const
{
  if (!mCore.BackendEnded()) {
    return false;
  }
  if (mCore.Status().HasHeartbeat()) {
    return mCore.Status().Draining();
  }
  const auto& records = mNode.State().Backends();
  const auto record = records.find(mPublisher.Name());
  return record != records.end() &&
         record->second.mState == cluster::BackendState::Draining;
}

// Entry instances consider the flows of a server without a record lost. Silence
// does not end a flow: the server or this agent may have been paused.
bool
AgentNode::MayHaveFlows() const
{
  return !mCore.BackendEnded() &&
         (!mCore.TracksAllFlows(mNode.Now()) || mCore.OpenFlows() > 0);
}

void
AgentNode::UpdatePublisher()
{
  const auto version = mNode.State().Version(cluster::Part::Backends);
  if (version.mLoaded && version != mLastPassedVersion) {
    mLastPassedVersion = version;
    mPublisher.OnReplicaState(
      version.At(),
      mNode.State().FindObject(cluster::Part::Backends, mPublisher.Name()));
  }
}

void
AgentNode::PublishRecord()
{
  UpdatePublisher();
  const auto write = mPublisher.NextWrite(mNode.Now());
  if (!write) {
    return;
  }
  if (mFailedWrites >= kFailuresBeforeRelay &&
      mNode.RelayWrite({ mPublisher.Name(), *write })) {
    mFailedWrites = 0;
    mPublisher.OnOutcome(
      cluster::WriteOutcome::Unknown, std::nullopt, mNode.Now());
    return;
  }
  mNode.Store().Write(
    mPublisher.Name(), *write, [this](cluster::WriteResult aResult) {
      OnWritten(std::move(aResult));
    });
}

void
AgentNode::OnWritten(cluster::WriteResult aResult)
{
  const bool resolved = aResult.mOutcome == cluster::WriteOutcome::Done ||
                        aResult.mOutcome == cluster::WriteOutcome::Conflict;
  mFailedWrites = resolved ? 0 : mFailedWrites + 1;
  mNode.Log().Write("record-written",
                    { { "record", mPublisher.Name() },
                      { "outcome", std::string(ToString(aResult.mOutcome)) } });
  mNode.OnStoreEpoch(aResult.mEpoch);
  mPublisher.OnOutcome(
    aResult.mOutcome, std::move(aResult.mStored), mNode.Now(), aResult.mEpoch);
}

} // namespace snipepost
