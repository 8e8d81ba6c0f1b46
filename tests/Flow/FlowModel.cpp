#include "tests/Flow/FlowModel.h"

#include <algorithm>
#include <cstring>
#include <type_traits>

namespace snipepost::flow {

using namespace std::chrono_literals;

namespace {

constexpr size_t kDomains = 3;
constexpr Duration kLocalPath = 200us;
constexpr Duration kRemotePath = 4ms;
constexpr Duration kCallerPath = 3ms;
constexpr Duration kHandshake = 300us;
constexpr Duration kRetransmissionTimes[] = { 200ms, 600ms };
constexpr Duration kConnectTimeout = 1400ms;

// The simulation encodes a packet as a copy of the struct.
static_assert(std::is_trivially_copyable_v<Packet>);

std::vector<uint8_t>
Encode(const Packet& aPacket)
{
  std::vector<uint8_t> bytes(sizeof aPacket);
  std::memcpy(bytes.data(), &aPacket, sizeof aPacket);
  return bytes;
}

Packet
Decode(std::span<const uint8_t> aBytes)
{
  Packet packet;
  std::memcpy(&packet, aBytes.data(), sizeof packet);
  return packet;
}

cluster::NodeIp
EntryIp(size_t aIndex)
{
  return cluster::NodeIp(0x0a020000U + static_cast<uint32_t>(aIndex));
}

} // namespace

struct FlowModel::Request
{
  Address mCaller;
  Instant mStart;
  ModelResult* mResult = nullptr;
  uint32_t mSequence = 0;
  bool mOpened = false;
  bool mDone = false;
};

class FlowModel::Entry final : public EntryOutput
{
public:
  Entry(FlowModel& aModel, size_t aIndex)
    : mModel(aModel)
    , mIndex(aIndex)
    , mCore({ std::string(1, static_cast<char>('a' + aIndex % kDomains)) },
            aModel.mReplica,
            *this,
            aModel.mDecisions,
            aModel.mNow)
  {
  }

  void OnPacket(const Packet& aPacket)
  {
    mCore.OnCallerPacket(aPacket, Encode(aPacket), mModel.mNow);
    ScheduleTimer();
  }

  void OnReply(cluster::NodeIp aFrom, const OfferReply& aReply)
  {
    mCore.OnOfferReply(aFrom, aReply, mModel.mNow);
    ScheduleTimer();
  }

  void OnNotice(cluster::NodeIp aFrom, const OwnerNotice& aNotice)
  {
    mCore.OnOwnerNotice(aFrom, aNotice, mModel.mNow);
  }

  void OnExclusion(cluster::NodeIp aFrom, const OwnerExclusion& aExclusion)
  {
    mCore.OnOwnerExclusion(aFrom, aExclusion, mModel.mNow);
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
  void Disarm() { mArmedFor.reset(); }

private:
  void ScheduleTimer()
  {
    const auto deadline = mCore.NextDeadline();
    // Only one timer is armed; when it fires, it arms the next.
    if (!deadline || (mArmedFor && *mArmedFor <= *deadline)) {
      return;
    }
    mArmedFor = *deadline;
    mModel.ScheduleAt(*deadline, [this, due = *deadline] {
      if (mArmedFor != due) {
        return;
      }
      mArmedFor.reset();
      mCore.OnTimer(mModel.mNow);
      ScheduleTimer();
    });
  }

  FlowModel& mModel;
  size_t mIndex;
  FlowEntryCore mCore;
  std::optional<Instant> mArmedFor;
};

class FlowModel::Agent final : public AgentOutput
{
public:
  Agent(FlowModel& aModel, size_t aIndex)
    : mModel(aModel)
    , mIndex(aIndex)
    , mCore(Options(aIndex),
            aModel.mReplica,
            *this,
            aModel.mDecisions,
            aModel.mNow)
  {
    Heartbeat heartbeat;
    heartbeat.mId = "i" + std::to_string(aIndex);
    heartbeat.mService = "desk";
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
    if (const auto deadline = mCore.NextDeadline()) {
      mModel.ScheduleAt(*deadline, [this] { mCore.OnTimer(mModel.mNow); });
    }
    if (++mPackets % 100 == 0) {
      mCore.Expire(mModel.mNow);
    }
  }

  void Kill() { mAlive = false; }
  void SetFailing(bool aFailing) { mFailing = aFailing; }

  void SendToBackend(std::span<const uint8_t> aBytes) override
  {
    const Packet packet = Decode(aBytes);
    if (packet.IsSyn()) {
      mModel.ScheduleAt(mModel.mNow + kHandshake, [this, packet] {
        SendToCore(packet.mSource, true, 0);
      });
    } else if (packet.mLength > 0) {
      Enqueue(packet.mSource);
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
  static AgentOptions Options(size_t aIndex)
  {
    AgentOptions options;
    options.mService = "desk";
    options.mDomain =
      std::string(1, static_cast<char>('a' + aIndex % kDomains));
    return options;
  }

  cluster::NodeIp Ip() const
  {
    return cluster::NodeIp(AgentAddress(mIndex).mIp);
  }

  void SendToCore(const Address& aCaller, bool aSyn, uint16_t aLength)
  {
    if (!mAlive) {
      return;
    }
    Packet packet;
    packet.mSource = kService;
    packet.mDestination = aCaller;
    packet.mSyn = aSyn;
    packet.mAck = true;
    packet.mSequence = InitialSequence();
    packet.mLength = aLength;
    packet.mFin = aLength > 0;
    mCore.OnBackendPacket(packet, Encode(packet), mModel.mNow);
  }

  void ResetFlow(const Address& aCaller)
  {
    Packet packet;
    packet.mSource = kService;
    packet.mDestination = aCaller;
    packet.mSequence = InitialSequence();
    packet.mReset = true;
    mCore.OnBackendPacket(packet, Encode(packet), mModel.mNow);
  }

  /// Initial sequence number, different for each backend server as in reality.
  uint32_t InitialSequence() const
  {
    return 0x10000000U * static_cast<uint32_t>(mIndex % 15 + 1);
  }

  void Enqueue(const Address& aCaller)
  {
    if (mFailing) {
      ResetFlow(aCaller);
    } else if (mRunning < mModel.mOptions.mSlots) {
      Start(aCaller);
    } else if (mWaiting.size() < mModel.mOptions.mQueue) {
      mWaiting.push_back(aCaller);
    } else {
      SendToCore(aCaller, false, 1); // The length of 1 marks a shed request.
    }
  }

  void Start(const Address& aCaller)
  {
    ++mRunning;
    const Duration work =
      mModel.mRandom.Jittered(mModel.mOptions.mServiceTime, 0.5);
    mModel.ScheduleAt(mModel.mNow + work, [this, aCaller] {
      --mRunning;
      SendToCore(aCaller, false, 2);
      if (!mWaiting.empty()) {
        const Address next = mWaiting.front();
        mWaiting.pop_front();
        Start(next);
      }
    });
  }

  FlowModel& mModel;
  size_t mIndex;
  FlowAgentCore mCore;
  std::deque<Address> mWaiting;
  uint32_t mRunning = 0;
  uint64_t mPackets = 0;
  bool mAlive = true;
  bool mFailing = false;
};

void
FlowModel::Entry::SendToAgent(std::span<const uint8_t> aBytes,
                              const Address& aAgent,
                              uint32_t aServiceTag,
                              TransitMark aMark,
                              bool aReadsWaits)
{
  const size_t agent = aAgent.mIp - AgentAddress(0).mIp;
  Packet packet = Decode(aBytes);
  packet.mServiceTag = aServiceTag;
  packet.mMark = aMark;
  packet.mReadsWaits = aReadsWaits;
  mModel.ScheduleAt(mModel.mNow + mModel.PathDelay(mIndex, agent),
                    [this, agent, packet] {
                      mModel.mAgents[agent]->OnPacket(packet, EntryIp(mIndex));
                    });
}

FlowModel::FlowModel(const ModelOptions& aOptions)
  : mOptions(aOptions)
  , mReplica(&DecodeSampleConfig)
  , mRandom(aOptions.mSeed)
{
  FillReplica(mReplica, aOptions.mServers, kDomains, aOptions.mSlots);
  for (size_t i = 0; i < aOptions.mEntries; ++i) {
    mEntries.push_back(std::make_unique<Entry>(*this, i));
  }
  for (size_t i = 0; i < aOptions.mServers; ++i) {
    mAgents.push_back(std::make_unique<Agent>(*this, i));
  }
}

FlowModel::~FlowModel() = default;

void
FlowModel::KillServer(size_t aIndex)
{
  mAgents.at(aIndex)->Kill();
}

void
FlowModel::SetFailing(size_t aIndex, bool aFailing)
{
  mAgents.at(aIndex)->SetFailing(aFailing);
}

void
FlowModel::ScheduleAt(Instant aTime, std::function<void()> aAction)
{
  mEvents.emplace(aTime, std::move(aAction));
}

void
FlowModel::RunUntil(Instant aEnd)
{
  while (!mEvents.empty() && mEvents.begin()->first <= aEnd) {
    const auto event = mEvents.extract(mEvents.begin());
    mNow = std::max(mNow, event.key());
    event.mapped()();
  }
  mNow = aEnd;
}

Duration
FlowModel::PathDelay(size_t aEntry, size_t aAgent)
{
  const bool local = aEntry % kDomains == aAgent % kDomains;
  return (local ? kLocalPath : kRemotePath) + mExtraDelay;
}

size_t
FlowModel::EntryOf(const Request& aRequest) const
{
  return aRequest.mCaller.mIp % mEntries.size();
}

ModelResult
FlowModel::Run(double aPerSecond, Duration aTime)
{
  ModelResult result;
  const Instant start = mNow;
  mDecisions.mDecisions.clear();
  Instant at = start;
  const Duration gap = std::chrono::duration_cast<Duration>(1s / aPerSecond);
  while ((at += mRandom.Jittered(gap, 1.0)) < start + aTime) {
    ScheduleAt(at, [this, &result] { OpenFlow(result); });
  }
  for (Instant expiry = start; expiry < start + aTime; expiry += 500ms) {
    ScheduleAt(expiry, [this] {
      for (const auto& entry : mEntries) {
        entry->Core().Expire(mNow);
      }
    });
  }
  // Late responses must have arrived before the result goes out of scope.
  RunUntil(start + aTime + 6s);
  mRequests.clear();
  mEvents.clear();
  for (const auto& entry : mEntries) {
    entry->Disarm();
  }
  result.mOffers = mDecisions.Count(Verdict::Offered);
  result.mUnansweredOffers = mDecisions.Count(Verdict::Unanswered);
  return result;
}

void
FlowModel::OpenFlow(ModelResult& aResult)
{
  const Address caller{ mNextCaller++, mNextPort };
  auto request = std::make_unique<Request>();
  request->mCaller = caller;
  request->mStart = mNow;
  request->mResult = &aResult;
  request->mSequence = static_cast<uint32_t>(mRandom.Below(1U << 31));
  ++aResult.mRequestCount;
  Request& added = *request;
  mRequests[caller] = std::move(request);
  SendFromCaller(added, SynPacket(caller, added.mSequence));
  uint32_t retransmission = 0;
  for (const Duration& wait : kRetransmissionTimes) {
    ++retransmission;
    ScheduleAt(mNow + wait, [this, caller, retransmission] {
      const auto found = mRequests.find(caller);
      if (found != mRequests.end() && !found->second->mOpened &&
          !found->second->mDone) {
        SendFromCaller(
          *found->second,
          SynPacket(caller, found->second->mSequence, retransmission));
      }
    });
  }
  ScheduleAt(mNow + kConnectTimeout, [this, caller] {
    const auto found = mRequests.find(caller);
    if (found != mRequests.end() && !found->second->mOpened) {
      found->second->mDone = true;
    }
  });
}

void
FlowModel::SendFromCaller(Request& aRequest, const Packet& aPacket)
{
  Entry& entry = *mEntries[EntryOf(aRequest)];
  ScheduleAt(mNow + kCallerPath,
             [&entry, aPacket] { entry.OnPacket(aPacket); });
}

void
FlowModel::DeliverToCaller(const Packet& aPacket)
{
  const auto found = mRequests.find(aPacket.mDestination);
  if (found == mRequests.end() || found->second->mDone) {
    return;
  }
  Request& request = *found->second;
  if (aPacket.mReset) {
    request.mDone = true;
    ++(request.mOpened ? request.mResult->mFailed : request.mResult->mRejected);
    return;
  }
  if (aPacket.IsSynAck()) {
    if (!request.mOpened) {
      request.mOpened = true;
      SendFromCaller(request,
                     CallerData(request.mCaller, aPacket.mSequence + 1, 100));
    }
    return;
  }
  request.mDone = true;
  const bool shed = aPacket.mLength == 1;
  const bool inTime = mNow - request.mStart <= mOptions.mObjective;
  if (shed) {
    ++request.mResult->mRejected;
  } else if (inTime) {
    ++request.mResult->mInTime;
  } else {
    ++request.mResult->mLate;
  }
}

} // namespace snipepost::flow
