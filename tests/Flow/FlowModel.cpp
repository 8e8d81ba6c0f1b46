#include "tests/Flow/FlowModel.h"

#include <string>
#include <utility>

#include "tests/Flow/FlowModelNodes.h"

namespace snipepost::flow {

namespace {

/// Time in which the flows of ModelRoute::mKeptFlows are opened.
constexpr Duration kOpeningTime = 1s;
/// Interval at which counters are updated while phases run.
constexpr Duration kTick = 100ms;
/// Ticks between two expiries of the entry instances.
constexpr int kTicksPerExpiry = 5;

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

} // namespace

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

} // namespace snipepost::flow
