#include "tests/Flow/FlowModel.h"

#include <algorithm>
#include <cstring>
#include <string>
#include <type_traits>
#include <utility>

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
constexpr uint16_t kFirstPort = 1000;
constexpr uint32_t kMaxAttempts = 3;
/// Data of a request.
constexpr uint16_t kRequestLength = 100;
/// Time in which the flows of ModelRoute::mKeptFlows are opened.
constexpr Duration kOpeningTime = 1s;
/// Spread of service times.
constexpr double kServiceTimeSpread = 0.5;
/// Longest time from a caller's first SYN until an idle server without other
/// offers starts its request.
constexpr Duration kUnloadedStartTime =
  3 * kCallerPath + 2 * kRemotePath + kHandshake;
/// Interval at which counters are updated while phases run.
constexpr Duration kTick = 100ms;
/// Ticks between two expiries of the entry instances.
constexpr int kTicksPerExpiry = 5;

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

std::string
DomainName(size_t aIndex)
{
  return { static_cast<char>('a' + aIndex % kDomains) };
}

cluster::RouteConfig
BuildConfig(const std::vector<ModelRoute>& aRoutes, std::string_view aVersion)
{
  cluster::RouteConfig config;
  config.mVersion = cluster::ConfigVersion(std::stoull(std::string(aVersion)));
  for (const ModelRoute& modelRoute : aRoutes) {
    cluster::Route route;
    route.mName = ToString(modelRoute.mAddress);
    route.mAddress = modelRoute.mAddress;
    route.mKind = modelRoute.mKind;
    route.mTimeout = modelRoute.mTimeout;
    route.mObjective = modelRoute.mObjective;
    route.mPriority = modelRoute.mPriority;
    route.mServices = { { "desk", 1 } };
    config.mRoutes[route.mAddress] = route;
  }
  config.mServices["desk"].mMaxFlows = 2000;
  return config;
}

cluster::ConfigDecoder
MakeDecoder(const ModelOptions& aOptions)
{
  if (aOptions.mRoutes.empty()) {
    return &DecodeSampleConfig;
  }
  return [routes = aOptions.mRoutes](std::string_view aText) {
    return std::optional(BuildConfig(routes, aText));
  };
}

Duration
MedianOf(std::vector<Duration> aTimes)
{
  if (aTimes.empty()) {
    return {};
  }
  const auto middle =
    aTimes.begin() + static_cast<std::ptrdiff_t>(aTimes.size() / 2);
  std::ranges::nth_element(aTimes, middle);
  return *middle;
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

  void OnEvacuationsChanged()
  {
    mCore.OnReplicaChanged(cluster::Part::Evacuations, mModel.mNow);
    ScheduleTimer();
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
  static EntryOptions Options(const FlowModel& aModel, size_t aIndex)
  {
    EntryOptions options;
    options.mDomain = DomainName(aIndex);
    options.mOverflowBetweenServices = aModel.mOptions.mOverflow;
    return options;
  }

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
    ScheduleTimer();
    if (++mPackets % 100 == 0) {
      mCore.Expire(mModel.mNow);
    }
  }

  void Kill() { mAlive = false; }
  void Disarm() { mArmedFor.reset(); }
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
      if (mAlive) {
        mCore.OnTimer(mModel.mNow);
        ScheduleTimer();
      }
    });
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
    ScheduleTimer();
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
  std::optional<Instant> mArmedFor;
  /// Flows that the backend server has opened in a model with routes, with
  /// the amount of data that it has received.
  std::map<FlowTuple, uint32_t> mServerFlows;
  std::deque<FlowTuple> mWaiting;
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
  , mReplica(MakeDecoder(aOptions))
  , mRandom(aOptions.mSeed)
{
  FillReplica(mReplica,
              aOptions.mServers,
              kDomains,
              aOptions.mSlots,
              aOptions.mSplitServers);
  for (size_t i = 0; i < aOptions.mEntries; ++i) {
    mEntries.push_back(std::make_unique<Entry>(*this, i));
  }
  for (size_t i = 0; i < aOptions.mServers; ++i) {
    mAgents.push_back(std::make_unique<Agent>(*this, i));
  }
}

FlowModel::~FlowModel() = default;

std::string
FlowModel::ServiceOf(size_t aServer) const
{
  const bool isSecond = aServer + mOptions.mSplitServers >= mOptions.mServers;
  return isSecond ? "library" : "desk";
}

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
FlowModel::EntryOf(const Address& aCaller) const
{
  const size_t own =
    (aCaller.mIp + aCaller.mPort - kFirstPort) % mEntries.size();
  return aCaller.mIp % 100 < mOptions.mMovedCallers ? own - own % kDomains
                                                    : own;
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
  for (const auto& agent : mAgents) {
    agent->Disarm();
  }
  result.mOffers = mDecisions.Count(Verdict::Offered);
  result.mUnansweredOffers = mDecisions.Count(Verdict::Unanswered);
  for (const Decision& decision : mDecisions.mDecisions) {
    if (decision.mVerdict == Verdict::Placed) {
      const size_t server = decision.mPeer.mIp - AgentAddress(0).mIp;
      result.mPlacedAtSecond += ServiceOf(server) == "library";
      result.mOverflows += decision.mReason == kOverflowReason;
    }
  }
  return result;
}

void
FlowModel::OpenFlow(ModelResult& aResult)
{
  const Address caller{ mNextCaller++, kFirstPort };
  auto request = std::make_unique<Request>();
  request->mCaller = caller;
  request->mStart = mNow;
  request->mResult = &aResult;
  request->mSequence = static_cast<uint32_t>(mRandom.Below(1U << 31));
  ++aResult.mRequestCount;
  Request& added = *request;
  mRequests[caller] = std::move(request);
  SendFromCaller(SynPacket(caller, added.mSequence));
  uint32_t retransmission = 0;
  for (const Duration& wait : kRetransmissionTimes) {
    ++retransmission;
    ScheduleAt(mNow + wait, [this, caller, retransmission] {
      const auto found = mRequests.find(caller);
      if (found != mRequests.end() && !found->second->mOpened &&
          !found->second->mDone) {
        SendFromCaller(
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
FlowModel::SendFromCaller(const Packet& aPacket)
{
  Entry& entry = *mEntries[EntryOf(aPacket.mSource)];
  ScheduleAt(mNow + kCallerPath,
             [&entry, aPacket] { entry.OnPacket(aPacket); });
}

void
FlowModel::DeliverToCaller(const Packet& aPacket)
{
  if (HasRoutes()) {
    DeliverToRouteCaller(aPacket);
    return;
  }
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
      SendFromCaller(CallerData(request.mCaller, aPacket.mSequence + 1, 100));
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

RouteResult
LoadResult::Total() const
{
  RouteResult total;
  for (const RouteResult& route : mRoutes) {
    total.mRequestCount += route.mRequestCount;
    total.mInTime += route.mInTime;
    total.mLate += route.mLate;
    total.mFailed += route.mFailed;
    total.mRefusedAtOnce += route.mRefusedAtOnce;
  }
  return total;
}

std::vector<LoadResult>
FlowModel::RunPhases(const std::vector<LoadPhase>& aPhases)
{
  mLoadResults.assign(aPhases.size(), {});
  mFailureTimes.assign(aPhases.size(), {});
  mDecisions.mDecisions.clear();
  mIdleTimeCountedTo = mNow;
  mIdleFlows.assign(mOptions.mRoutes.size(), {});
  for (size_t route = 0; route < mOptions.mRoutes.size(); ++route) {
    const size_t flows = mOptions.mRoutes[route].mKeptFlows;
    for (size_t flow = 0; flow < flows; ++flow) {
      ScheduleAt(mNow + kOpeningTime * flow / flows, [this, route] {
        StartAttempt(AddRequest(route, mNextCaller++));
      });
    }
  }
  for (size_t phase = 0; phase < aPhases.size(); ++phase) {
    mPhase = phase;
    BeginPhase(aPhases[phase]);
    RunFor(aPhases[phase].mTime);
    CountIdleTime();
  }
  mPhase.reset();
  SetEvacuated({});
  // All attempts of the last requests end within this time.
  Duration longestAttempt = kConnectTimeout;
  for (const ModelRoute& route : mOptions.mRoutes) {
    longestAttempt = std::max(longestAttempt, route.mTimeout);
  }
  RunFor(kMaxAttempts * longestAttempt + kTick);
  for (size_t phase = 0; phase < aPhases.size(); ++phase) {
    mLoadResults[phase].mMedianFailureTime = MedianOf(mFailureTimes[phase]);
  }
  mRouteRequests.clear();
  mWaitingRequests = 0;
  return std::exchange(mLoadResults, {});
}

void
FlowModel::RunFor(Duration aTime)
{
  const Instant end = mNow + aTime;
  for (int tick = 0; mNow < end; ++tick) {
    if (tick % kTicksPerExpiry == 0) {
      for (const auto& entry : mEntries) {
        entry->Core().Expire(mNow);
      }
    }
    RunUntil(std::min(end, mNow + kTick));
    CountDecisions();
  }
}

void
FlowModel::BeginPhase(const LoadPhase& aPhase)
{
  SetEvacuated(aPhase.mEvacuated);
  mLoadResults[*mPhase].mRoutes.resize(mOptions.mRoutes.size());
  mLoadResults[*mPhase].mBusyTimes.resize(mAgents.size());
  for (size_t route = 0; route < mOptions.mRoutes.size(); ++route) {
    const double perSecond = aPhase.mPerSecond.at(route);
    if (perSecond <= 0.0) {
      continue;
    }
    const auto gap = std::chrono::duration_cast<Duration>(1s / perSecond);
    Instant at = mNow;
    while ((at += mRandom.Jittered(gap, 1.0)) < mNow + aPhase.mTime) {
      ScheduleAt(at, [this, route] { OpenRouteRequest(route); });
    }
  }
}

void
FlowModel::SetEvacuated(const std::vector<std::string>& aDomains)
{
  if (aDomains == mEvacuated) {
    return;
  }
  mEvacuated = aDomains;
  cluster::Snapshot snapshot;
  snapshot.mRevision = cluster::Revision(++mEvacuationRevision);
  for (const std::string& domain : aDomains) {
    snapshot.mObjects.push_back({ domain, snapshot.mRevision, "{}" });
  }
  mReplica.ApplySnapshot(cluster::Part::Evacuations, snapshot);
  for (const auto& entry : mEntries) {
    entry->OnEvacuationsChanged();
  }
}

void
FlowModel::CountDecisions()
{
  const size_t offers = mDecisions.Count(Verdict::Offered);
  const size_t accepted = mDecisions.Count(Verdict::Placed);
  mDecisions.mDecisions.clear();
  if (LoadResult* result = CurrentResult()) {
    result->mOffers += offers;
    result->mAcceptedOffers += accepted;
  }
}

LoadResult*
FlowModel::CurrentResult()
{
  return mPhase ? &mLoadResults[*mPhase] : nullptr;
}

RouteResult&
FlowModel::ResultOf(const RouteRequest& aRequest)
{
  return mLoadResults[aRequest.mPhase].mRoutes[aRequest.mRoute];
}

Duration
FlowModel::ServiceTimeOf(const Address& aService) const
{
  for (const ModelRoute& route : mOptions.mRoutes) {
    if (route.mAddress == aService) {
      return route.mServiceTime;
    }
  }
  return mOptions.mServiceTime;
}

FlowModel::RouteRequest*
FlowModel::FindAttempt(const Address& aCaller)
{
  const auto found = mRouteRequests.find(aCaller.mIp);
  const bool current = found != mRouteRequests.end() &&
                       found->second.mCaller == aCaller && !found->second.mDone;
  return current ? &found->second : nullptr;
}

bool
FlowModel::KeepsFlows(const Address& aService) const
{
  return std::ranges::any_of(mOptions.mRoutes, [&](const ModelRoute& aRoute) {
    return aRoute.mAddress == aService && aRoute.mKeptFlows > 0;
  });
}

void
FlowModel::OpenRouteRequest(size_t aRoute)
{
  std::deque<Address>& idle = mIdleFlows[aRoute];
  if (idle.empty()) {
    StartAttempt(AddRequest(aRoute, mNextCaller++));
    return;
  }
  const uint32_t ip = idle.front().mIp;
  idle.pop_front();
  ContinueFlow(aRoute, ip);
}

void
FlowModel::ContinueFlow(size_t aRoute, uint32_t aIp)
{
  RouteRequest& request = AddRequest(aRoute, aIp);
  ++request.mAttempts;
  request.mAttempt = ++mAttemptCount;
  request.mSent += kRequestLength;
  SendRequest(request);
  ScheduleTimeout(request);
}

FlowModel::RouteRequest&
FlowModel::AddRequest(size_t aRoute, uint32_t aIp)
{
  RouteRequest& request = mRouteRequests[aIp];
  request.mRoute = aRoute;
  request.mPhase = *mPhase;
  request.mStart = mNow;
  request.mAttempts = 0;
  request.mDone = false;
  request.mReceived = false;
  request.mRunning = false;
  if (request.mCaller == Address()) {
    request.mCaller = { aIp, kFirstPort - 1 };
  }
  ++ResultOf(request).mRequestCount;
  // When these times are over, a later request may use the flow.
  ScheduleAt(mNow + kUnloadedStartTime, [this, aIp, start = mNow] {
    RouteRequest& waiting = mRouteRequests[aIp];
    if (waiting.mStart == start) {
      SetWaiting(waiting, !waiting.mRunning);
    }
  });
  ScheduleAt(mNow + mOptions.mRoutes[aRoute].mObjective,
             [this, aIp, start = mNow] {
               RouteRequest& waiting = mRouteRequests[aIp];
               if (waiting.mStart == start) {
                 SetWaiting(waiting, waiting.mWaiting && !waiting.mDone);
               }
             });
  return request;
}

void
FlowModel::StartAttempt(RouteRequest& aRequest)
{
  ++aRequest.mAttempts;
  ++aRequest.mCaller.mPort;
  aRequest.mAttempt = ++mAttemptCount;
  aRequest.mSent = 0;
  aRequest.mSequence = static_cast<uint32_t>(mRandom.Below(1U << 31));
  aRequest.mOpened = false;
  aRequest.mReceived = false;
  aRequest.mRunning = false;
  aRequest.mResponses = 0;
  SendSyn(aRequest, 0);
  uint32_t retransmission = 0;
  for (const Duration& wait : kRetransmissionTimes) {
    ++retransmission;
    ScheduleInAttempt(
      aRequest, wait, [this, retransmission](RouteRequest& aCurrent) {
        if (!aCurrent.mOpened) {
          SendSyn(aCurrent, retransmission);
        }
      });
  }
  ScheduleInAttempt(aRequest, kConnectTimeout, [this](RouteRequest& aCurrent) {
    if (!aCurrent.mOpened) {
      EndAttempt(aCurrent, false);
    }
  });
  ScheduleTimeout(aRequest);
}

void
FlowModel::ScheduleTimeout(const RouteRequest& aRequest)
{
  const ModelRoute& route = mOptions.mRoutes[aRequest.mRoute];
  ScheduleInAttempt(
    aRequest, route.mTimeout, [this, &route](RouteRequest& aCurrent) {
      if (route.mKeptFlows > 0 && aCurrent.mOpened) {
        Packet reset;
        reset.mSource = aCurrent.mCaller;
        reset.mDestination = route.mAddress;
        reset.mReset = true;
        SendFromCaller(reset);
      }
      EndAttempt(aCurrent, false);
    });
}

void
FlowModel::ScheduleInAttempt(const RouteRequest& aRequest,
                             Duration aDelay,
                             std::function<void(RouteRequest&)> aAction)
{
  ScheduleAt(mNow + aDelay,
             [this,
              caller = aRequest.mCaller,
              attempt = aRequest.mAttempt,
              action = std::move(aAction)] {
               RouteRequest* request = FindAttempt(caller);
               if (request && request->mAttempt == attempt) {
                 action(*request);
               }
             });
}

void
FlowModel::SendSyn(const RouteRequest& aRequest, uint32_t aRetransmission)
{
  Packet syn = SynPacket(aRequest.mCaller, aRequest.mSequence, aRetransmission);
  syn.mDestination = mOptions.mRoutes[aRequest.mRoute].mAddress;
  SendFromCaller(syn);
}

void
FlowModel::SendRequestData(const RouteRequest& aRequest)
{
  Packet data =
    CallerData(aRequest.mCaller, aRequest.mBackendSequence + 1, kRequestLength);
  data.mSequence = aRequest.mSent;
  data.mDestination = mOptions.mRoutes[aRequest.mRoute].mAddress;
  SendFromCaller(data);
}

void
FlowModel::DeliverToRouteCaller(const Packet& aPacket)
{
  RouteRequest* request = FindAttempt(aPacket.mDestination);
  if (!request) {
    return;
  }
  if (aPacket.mReset) {
    EndAttempt(*request, true);
  } else if (aPacket.IsSynAck()) {
    OnRouteSynAck(*request, aPacket);
  } else {
    OnRouteResponse(*request);
  }
}

void
FlowModel::OnRouteSynAck(RouteRequest& aRequest, const Packet& aPacket)
{
  if (aRequest.mOpened) {
    return;
  }
  aRequest.mOpened = true;
  aRequest.mBackendSequence = aPacket.mSequence;
  SendRequest(aRequest);
}

void
FlowModel::SendRequest(const RouteRequest& aRequest)
{
  SendRequestData(aRequest);
  for (const Duration& wait : kRetransmissionTimes) {
    ScheduleInAttempt(aRequest, wait, [this](RouteRequest& aCurrent) {
      if (!aCurrent.mReceived) {
        SendRequestData(aCurrent);
      }
    });
  }
}

void
FlowModel::OnRouteResponse(RouteRequest& aRequest)
{
  aRequest.mDone = true;
  SetWaiting(aRequest, false);
  RouteResult& result = ResultOf(aRequest);
  const Duration latency = mNow - aRequest.mStart;
  const bool inTime = latency <= mOptions.mRoutes[aRequest.mRoute].mObjective;
  ++(inTime ? result.mInTime : result.mLate);
  if (mOptions.mRoutes[aRequest.mRoute].mKeptFlows > 0) {
    mIdleFlows[aRequest.mRoute].push_back(aRequest.mCaller);
  }
  mLoadResults[aRequest.mPhase].mLatencies.push_back(latency);
  ++aRequest.mResponses;
  const ModelRoute& route = mOptions.mRoutes[aRequest.mRoute];
  if (aRequest.mResponses < route.mRequestsPerFlow) {
    ScheduleAt(mNow + route.mPause,
               [this, index = aRequest.mRoute, ip = aRequest.mCaller.mIp] {
                 if (mPhase) {
                   ContinueFlow(index, ip);
                 }
               });
  }
}

bool
FlowModel::EndsFlow(const FlowTuple& aFlow) const
{
  const auto found = mRouteRequests.find(aFlow.mCaller.mIp);
  return !KeepsFlows(aFlow.mService) &&
         (found == mRouteRequests.end() ||
          found->second.mResponses + 1 >=
            mOptions.mRoutes[found->second.mRoute].mRequestsPerFlow);
}

void
FlowModel::EndAttempt(RouteRequest& aRequest, bool aReset)
{
  const bool idempotent =
    mOptions.mRoutes[aRequest.mRoute].mKind != cluster::RequestKind::Unsafe;
  const bool retries =
    aRequest.mAttempts < kMaxAttempts && (idempotent || !aRequest.mOpened);
  if (!retries) {
    FailRequest(aRequest, aReset);
    return;
  }
  SetWaiting(aRequest, aRequest.mWaiting || aRequest.mRunning);
  StartAttempt(aRequest);
}

void
FlowModel::FailRequest(RouteRequest& aRequest, bool aReset)
{
  const Duration objective = mOptions.mRoutes[aRequest.mRoute].mObjective;
  const Duration elapsed = mNow - aRequest.mStart;
  aRequest.mDone = true;
  if (elapsed >= objective) {
    SetWaiting(aRequest, false);
  }
  RouteResult& result = ResultOf(aRequest);
  ++result.mFailed;
  result.mRefusedAtOnce +=
    aReset && !aRequest.mOpened && elapsed <= objective / 10;
  mFailureTimes[aRequest.mPhase].push_back(elapsed);
}

void
FlowModel::SetWaiting(RouteRequest& aRequest, bool aWaiting)
{
  if (aRequest.mWaiting == aWaiting) {
    return;
  }
  CountIdleTime();
  aRequest.mWaiting = aWaiting;
  if (aWaiting) {
    ++mWaitingRequests;
  } else {
    --mWaitingRequests;
  }
}

void
FlowModel::CountIdleTime()
{
  const Duration elapsed = mNow - std::exchange(mIdleTimeCountedTo, mNow);
  LoadResult* result = CurrentResult();
  if (!result || elapsed == Duration::zero()) {
    return;
  }
  size_t idle = 0;
  for (const auto& agent : mAgents) {
    idle += agent->IdleSlots();
  }
  result->mIdleTime +=
    elapsed * static_cast<int64_t>(std::min(idle, mWaitingRequests));
}

} // namespace snipepost::flow
