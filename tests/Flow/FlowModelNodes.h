#pragma once

#include <algorithm>
#include <string>

#include "tests/Flow/FlowModel.h"
#include "tests/Flow/FlowModelTimer.h"
#include "tests/Flow/PacketCopy.h"

namespace snipepost::flow {

using namespace std::chrono_literals;

constexpr size_t kDomains = 3;
constexpr Duration kLocalPath = 200us;
constexpr Duration kRemotePath = 4ms;
constexpr Duration kCallerPath = 3ms;
constexpr Duration kHandshake = 300us;
constexpr Duration kRetransmissionTimes[] = { 200ms, 600ms };
constexpr Duration kConnectTimeout = 1400ms;
constexpr uint16_t kFirstPort = 1000;
constexpr uint32_t kMaxAttempts = 3;
/// Service times vary by this share of their mean.
constexpr double kServiceTimeSpread = 0.5;

inline std::string
DomainName(size_t aIndex)
{
  return { static_cast<char>('a' + aIndex % kDomains) };
}

inline cluster::NodeIp
EntryIp(size_t aIndex)
{
  return cluster::NodeIp(0x0a020000U + static_cast<uint32_t>(aIndex));
}

struct FlowModel::Request
{
  Address mCaller;
  Instant mStart;
  ModelResult* mResult = nullptr;
  uint32_t mSequence = 0;
  bool mOpened = false;
  bool mDone = false;
};

/// A request of a model with several routes.
struct FlowModel::RouteRequest
{
  size_t mRoute = 0;
  /// Phase in which the first attempt began.
  size_t mPhase = 0;
  Instant mStart;
  uint32_t mAttempts = 0;
  bool mDone = false;
  /// Requests of the flow with a response.
  uint32_t mResponses = 0;
  /// Counted in mWaitingRequests.
  bool mWaiting = false;

  // The current attempt.
  uint64_t mAttempt = 0;
  Address mCaller;
  /// Data of earlier requests on the flow.
  uint32_t mSent = 0;
  uint32_t mSequence = 0;
  uint32_t mBackendSequence = 0;
  bool mOpened = false;
  /// A backend server has received the request.
  bool mReceived = false;
  /// A backend server has started the request.
  bool mRunning = false;
};

class FlowModel::Entry final : public EntryOutput
{
public:
  Entry(FlowModel& aModel, size_t aIndex)
    : mModel(aModel)
    , mIndex(aIndex)
    , mCore(Options(aModel, aIndex),
            aModel.mReplica,
            *this,
            aModel.mDecisions,
            aModel.mNow)
  {
  }

  void OnPacket(const Packet& aPacket)
  {
    mCore.OnCallerPacket(aPacket, Encode(aPacket), mModel.mNow);
    mTimer.Schedule();
  }

  void OnReply(cluster::NodeIp aFrom, const OfferReply& aReply)
  {
    mCore.OnOfferReply(aFrom, aReply, mModel.mNow);
    mTimer.Schedule();
  }

  void OnNotice(cluster::NodeIp aFrom, const OwnerNotice& aNotice)
  {
    mCore.OnOwnerNotice(aFrom, aNotice, mModel.mNow);
  }

  void OnExclusion(cluster::NodeIp aFrom, const OwnerExclusion& aExclusion)
  {
    mCore.OnOwnerExclusion(aFrom, aExclusion, mModel.mNow);
  }

  void OnEvacuationsChanged()
  {
    mCore.OnReplicaChanged(cluster::Part::Evacuations, mModel.mNow);
    mTimer.Schedule();
  }

  void SendToAgent(std::span<const uint8_t>,
                   const Address& aAgent,
                   uint32_t aServiceTag,
                   TransitMark aMark,
                   bool aReadsWaits) override;
  void SendReset(const Packet& aPacket) override
  {
    Packet reset;
    reset.mSource = aPacket.mDestination;
    reset.mDestination = aPacket.mSource;
    reset.mReset = true;
    mModel.ScheduleAt(mModel.mNow + kCallerPath,
                      [this, reset] { mModel.DeliverToCaller(reset); });
  }

  FlowEntryCore& Core() { return mCore; }
  void Disarm() { mTimer.Disarm(); }

private:
  static EntryOptions Options(const FlowModel& aModel, size_t aIndex)
  {
    EntryOptions options;
    options.mDomain = DomainName(aIndex);
    options.mOverflowBetweenServices = aModel.mOptions.mOverflow;
    return options;
  }

  FlowModel& mModel;
  size_t mIndex;
  FlowEntryCore mCore;
  Timer<FlowEntryCore> mTimer{ mModel, mCore };
};

class FlowModel::Agent final : public AgentOutput
{
public:
  Agent(FlowModel& aModel, size_t aIndex)
    : mModel(aModel)
    , mIndex(aIndex)
    , mCore(Options(aModel, aIndex),
            aModel.mReplica,
            *this,
            aModel.mDecisions,
            aModel.mNow)
  {
    Heartbeat heartbeat;
    heartbeat.mId = "i" + std::to_string(aIndex);
    heartbeat.mService = aModel.ServiceOf(aIndex);
    heartbeat.mSlots = aModel.mOptions.mSlots;
    heartbeat.mSequence = 1;
    mCore.OnHeartbeat(heartbeat, aModel.mNow);
  }

  void OnPacket(const Packet& aPacket, cluster::NodeIp aFrom)
  {
    if (!mAlive) {
      return;
    }
    mCore.OnNodePacket(aPacket, Encode(aPacket), aFrom, mModel.mNow);
    mTimer.Schedule();
    if (++mPackets % 100 == 0) {
      mCore.Expire(mModel.mNow);
    }
  }

  void Kill()
  {
    mAlive = false;
    mTimer.Disarm();
  }
  void Disarm() { mTimer.Disarm(); }
  double Speed() const
  {
    const std::vector<double>& speeds = mModel.mOptions.mSpeeds;
    return speeds.empty() ? 1.0 : speeds[mIndex % speeds.size()];
  }
  /// Slots that are idle and may be given a request.
  uint32_t IdleSlots() const
  {
    const bool available =
      mAlive && !mModel.mReplica.Evacuated(DomainName(mIndex));
    return available ? mModel.mOptions.mSlots - mRunning : 0;
  }
  void SetFailing(bool aFailing) { mFailing = aFailing; }

  void SendToBackend(std::span<const uint8_t> aBytes) override
  {
    const Packet packet = Decode(aBytes);
    if (packet.IsSyn()) {
      OnSyn(packet);
    } else if (packet.mLength > 0) {
      OnRequest(packet);
    }
  }
  void SendToCaller(std::span<const uint8_t> aBytes, const Address&) override
  {
    const Packet packet = Decode(aBytes);
    mModel.ScheduleAt(mModel.mNow + kCallerPath,
                      [this, packet] { mModel.DeliverToCaller(packet); });
  }
  void SendReset(const Packet&) override {}
  void SendToNode(cluster::NodeIp aNode, const OfferReply& aReply) override
  {
    const size_t entry = aNode.Value() - EntryIp(0).Value();
    mModel.ScheduleAt(
      mModel.mNow + mModel.PathDelay(entry, mIndex),
      [this, entry, aReply] { mModel.mEntries[entry]->OnReply(Ip(), aReply); });
  }
  void SendToNode(cluster::NodeIp aNode, const OwnerNotice& aNotice) override
  {
    const size_t entry = aNode.Value() - EntryIp(0).Value();
    mModel.ScheduleAt(mModel.mNow + mModel.PathDelay(entry, mIndex),
                      [this, entry, aNotice] {
                        mModel.mEntries[entry]->OnNotice(Ip(), aNotice);
                      });
  }

  void SendToNode(cluster::NodeIp aNode,
                  const OwnerExclusion& aExclusion) override
  {
    const size_t entry = aNode.Value() - EntryIp(0).Value();
    mModel.ScheduleAt(mModel.mNow + mModel.PathDelay(entry, mIndex),
                      [this, entry, aExclusion] {
                        mModel.mEntries[entry]->OnExclusion(Ip(), aExclusion);
                      });
  }

private:
  static AgentOptions Options(const FlowModel& aModel, size_t aIndex)
  {
    AgentOptions options;
    options.mService = aModel.ServiceOf(aIndex);
    options.mDomain = DomainName(aIndex);
    return options;
  }

  cluster::NodeIp Ip() const
  {
    return cluster::NodeIp(AgentAddress(mIndex).mIp);
  }

  void SendToCore(const FlowTuple& aFlow,
                  bool aSyn,
                  uint16_t aLength,
                  bool aFin = false)
  {
    Packet packet;
    packet.mSource = aFlow.mService;
    packet.mDestination = aFlow.mCaller;
    packet.mSyn = aSyn;
    packet.mAck = true;
    packet.mSequence = InitialSequence();
    packet.mLength = aLength;
    packet.mFin = aFin;
    PassToCore(packet);
  }

  void ResetFlow(const FlowTuple& aFlow)
  {
    Packet packet;
    packet.mSource = aFlow.mService;
    packet.mDestination = aFlow.mCaller;
    packet.mSequence = InitialSequence();
    packet.mReset = true;
    PassToCore(packet);
  }

  /// Returns a caller's packet that the backend server does not accept.
  void ReturnPacket(Packet aPacket)
  {
    aPacket.mReturned = true;
    mModel.ScheduleAt(mModel.mNow + kHandshake,
                      [this, aPacket] { PassToCore(aPacket); });
  }

  void PassToCore(const Packet& aPacket)
  {
    if (!mAlive) {
      return;
    }
    mCore.OnBackendPacket(aPacket, Encode(aPacket), mModel.mNow);
    mTimer.Schedule();
  }

  /// Initial sequence number, different for each backend server as in reality.
  uint32_t InitialSequence() const
  {
    return 0x10000000U * static_cast<uint32_t>(mIndex % 15 + 1);
  }

  void OnSyn(const Packet& aPacket)
  {
    const FlowTuple flow = CallerFlow(aPacket);
    if (mModel.HasRoutes() && !AdmitSyn(aPacket)) {
      ReturnPacket(aPacket);
      return;
    }
    mModel.ScheduleAt(mModel.mNow + kHandshake,
                      [this, flow] { SendToCore(flow, true, 0); });
  }

  /// Whether the backend server opens the flow. As in the soak test's server,
  /// flows without a request yet do not count against the queue limit.
  bool AdmitSyn(const Packet& aPacket)
  {
    const FlowTuple flow = CallerFlow(aPacket);
    if (mServerFlows.contains(flow)) {
      return true;
    }
    LoadResult* result = mModel.CurrentResult();
    const size_t limit = mModel.mOptions.mSlots + mModel.mOptions.mQueue;
    const bool full = mRunning + mWaiting.size() >= limit;
    if (result) {
      ++result->mSynsAtServers;
      result->mReturnedSyns += full;
    }
    if (!full) {
      mServerFlows[flow] = 0;
    }
    return !full;
  }

  void OnRequest(const Packet& aPacket)
  {
    const FlowTuple flow = CallerFlow(aPacket);
    if (!mModel.HasRoutes()) {
      Enqueue(flow);
      return;
    }
    const auto found = mServerFlows.find(flow);
    if (found == mServerFlows.end() ||
        aPacket.mAcknowledgement != InitialSequence() + 1) {
      ReturnPacket(aPacket);
      return;
    }
    if (aPacket.mSequence < found->second) {
      return;
    }
    if (LoadResult* result = mModel.CurrentResult()) {
      const uint32_t slots = mModel.mOptions.mSlots;
      const size_t window =
        slots + mCore.Scheduler().Capacity().LookAhead(slots, mModel.mNow);
      ++result->mRequestsAtServers;
      result->mAboveWindow += mRunning + mWaiting.size() >= window;
      result->mOutOfOrder += aPacket.mSequence > found->second;
    }
    found->second = aPacket.mSequence + aPacket.mLength;
    if (RouteRequest* request = mModel.FindAttempt(flow.mCaller)) {
      request->mReceived = true;
    }
    Enqueue(flow);
  }

  void Enqueue(const FlowTuple& aFlow)
  {
    if (mFailing) {
      ResetFlow(aFlow);
    } else if (mRunning < mModel.mOptions.mSlots) {
      Start(aFlow);
    } else if (mModel.HasRoutes() || mWaiting.size() < mModel.mOptions.mQueue) {
      mWaiting.push_back(aFlow);
    } else {
      SendToCore(
        aFlow, false, 1, true); // The length of 1 marks a shed request.
    }
  }

  void Start(const FlowTuple& aFlow)
  {
    mModel.CountIdleTime();
    ++mRunning;
    if (RouteRequest* request = mModel.FindAttempt(aFlow.mCaller)) {
      request->mRunning = true;
      mModel.SetWaiting(*request, false);
    }
    const auto mean = std::chrono::duration_cast<Duration>(
      mModel.ServiceTimeOf(aFlow.mService) / Speed());
    const Duration work = mModel.mRandom.Jittered(mean, kServiceTimeSpread);
    if (LoadResult* result = mModel.CurrentResult()) {
      result->mBusyTimes.at(mIndex) += work;
    }
    mModel.ScheduleAt(mModel.mNow + work, [this, aFlow] {
      mModel.CountIdleTime();
      --mRunning;
      if (!mWaiting.empty()) {
        const FlowTuple next = mWaiting.front();
        mWaiting.pop_front();
        Start(next);
      }
      // May add a request, which must not take the slot of a waiting one.
      SendToCore(aFlow, false, 2, mModel.EndsFlow(aFlow));
    });
  }

  FlowModel& mModel;
  size_t mIndex;
  FlowAgentCore mCore;
  Timer<FlowAgentCore> mTimer{ mModel, mCore };
  /// Flows that the backend server has opened in a model with routes, with
  /// the amount of data that it has received.
  std::map<FlowTuple, uint32_t> mServerFlows;
  std::deque<FlowTuple> mWaiting;
  uint32_t mRunning = 0;
  uint64_t mPackets = 0;
  bool mAlive = true;
  bool mFailing = false;
};

} // namespace snipepost::flow
