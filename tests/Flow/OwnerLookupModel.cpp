#include "tests/Flow/OwnerLookupModel.h"

#include <algorithm>
#include <set>
#include <sstream>

#include "tests/Flow/PacketCopy.h"

namespace snipepost::flow {

using namespace std::chrono_literals;
using cluster::Part;
using cluster::Revision;

namespace {

constexpr std::array<const char*, 2> kServices = { "desk", "library" };
constexpr uint16_t kFirstPort = 443;
constexpr Duration kScheduleTime = 24s;
constexpr Duration kTick = 100ms;
constexpr Duration kExpiryInterval = 500ms;
constexpr Duration kHeartbeatInterval = 500ms;
/// As in the agent's process.
constexpr Duration kHeartbeatTimeout = 2500ms;
constexpr Duration kLoopback = 100us;
/// Records reach every instance within this time, which is less than the time
/// for which an agent of a new record accepts no flow.
constexpr Duration kMaxLag = 1200ms;
constexpr size_t kMaxServers = 14;
/// With every seed that is divisible by this, servers accept few flows, so that
/// flows are passed on to the other service of a split.
constexpr uint64_t kFullServersStep = 5;
constexpr std::array<Duration, 2> kSynRetransmissions = { 200ms, 600ms };
constexpr Duration kConnectTimeout = 1400ms;
constexpr std::array<Duration, 3> kDataRetransmissions = { 200ms,
                                                           400ms,
                                                           800ms };
constexpr std::array<Duration, 3> kSynAckRetransmissions = { 400ms,
                                                             800ms,
                                                             1600ms };

/// Name of a flow in the trace.
std::string
Tag(const FlowTuple& aFlow)
{
  return "flow " + std::to_string(aFlow.mCaller.mIp - kCaller.mIp) + ',';
}

cluster::NodeIp
EntryIp(size_t aIndex)
{
  return cluster::NodeIp(0x0a020000U + static_cast<uint32_t>(aIndex));
}

/// Decodes "version idle-ms max-flows", then "port weight weight" for each
/// route.
std::optional<cluster::RouteConfig>
DecodeConfig(std::string_view aText)
{
  std::istringstream text{ std::string(aText) };
  uint64_t version = 0;
  int64_t idle = 0;
  uint32_t maxFlows = 0;
  text >> version >> idle >> maxFlows;
  cluster::RouteConfig config;
  config.mVersion = cluster::ConfigVersion(version);
  config.mIdleTimeout = std::chrono::milliseconds(idle);
  uint16_t port = 0;
  std::array<int, 2> weights{};
  while (text >> port >> weights[0] >> weights[1]) {
    cluster::Route route;
    route.mAddress = { kService.mIp, port };
    route.mKind = cluster::RequestKind::Safe;
    route.mObjective = 200ms;
    route.mTimeout = 2500ms;
    for (size_t i = 0; i < kServices.size(); ++i) {
      if (weights.at(i) >= 0) {
        route.mServices.push_back(
          { kServices.at(i), static_cast<uint32_t>(weights.at(i)) });
      }
    }
    config.mRoutes[route.mAddress] = route;
  }
  for (const char* service : kServices) {
    config.mServices[service].mMaxFlows = maxFlows;
  }
  return config;
}

/// A replica and the revisions that it was brought to.
class NodeState
{
public:
  explicit NodeState(const StateHistory& aStore)
    : mStore(aStore)
    , mReplica(&DecodeConfig)
  {
  }

  void Load(Part aPart, Revision aRevision)
  {
    if (aRevision > mApplied[Index(aPart)] || !mReplica.Loaded(aPart)) {
      mReplica.ApplySnapshot(aPart, mStore.SnapshotAt(aPart, aRevision));
      mApplied[Index(aPart)] = aRevision;
    }
  }

  /// Applies the changes up to aRevision, or everything at once if aWhole.
  void Update(Revision aRevision, bool aWhole)
  {
    for (const Part part : cluster::kParts) {
      Revision& applied = mApplied[Index(part)];
      if (!mReplica.Loaded(part) || aRevision <= applied) {
        continue;
      }
      const auto changes = mStore.Changes(part, applied, aRevision);
      if (changes.empty()) {
        continue;
      }
      if (aWhole) {
        Load(part, aRevision);
        continue;
      }
      applied = aRevision;
      mReplica.ApplyChanges(part, changes, aRevision);
    }
  }

  cluster::Replica& Replica() { return mReplica; }

private:
  const StateHistory& mStore;
  cluster::Replica mReplica;
  std::array<Revision, cluster::kParts.size()> mApplied{};
};

} // namespace

/// What entry instances and agents have in common: they start, end, and receive
/// the shared state.
struct OwnerLookupModel::Instance
{
  std::unique_ptr<NodeState> mState;
  /// Counts the starts; actions for an earlier one have no effect.
  uint64_t mRun = 0;
  bool mRunning = false;
  Instant mDelayedUntil;
  std::string mName;
};

struct OwnerLookupModel::ServerFlow
{
  uint32_t mCallerSequence = 0;
  uint32_t mSequence = 0;
  bool mOpen = false;
  /// Arrival of the caller's latest packet.
  Instant mLastSeen;
  /// The flow was once idle for longer than the idle timeout, after which any
  /// instance may have discarded it.
  bool mWasIdle = false;
};

struct OwnerLookupModel::Server
{
  size_t mIndex = 0;
  std::string mService;
  std::string mDomain;
  std::string mId;
  bool mRunning = false;
  bool mDraining = false;
  bool mLeft = false;
  uint64_t mRun = 0;
  uint64_t mStartTime = 0;
  uint64_t mSequence = 0;
  std::map<FlowTuple, ServerFlow> mFlows;
};

struct OwnerLookupModel::Caller
{
  FlowTuple mFlow;
  uint32_t mSequence = 0;
  /// Acknowledgement of the chosen server's SYN-ACK.
  uint32_t mAcknowledgement = 0;
  size_t mEntry = 0;
  bool mOpened = false;
  bool mDone = false;
  bool mRouteRemoved = false;
  /// Number of the latest data, and of the latest that was answered.
  uint32_t mSent = 0;
  uint32_t mAnswered = 0;
  Instant mOpenedAt;
  Duration mLifetime{};
};

class OwnerLookupModel::Entry final
  : public EntryOutput
  , public Instance
{
public:
  Entry(OwnerLookupModel& aModel, size_t aIndex)
    : mModel(aModel)
    , mIndex(aIndex)
  {
    mName = "entry " + std::to_string(aIndex);
  }

  void Start()
  {
    ++mRun;
    mRunning = true;
    mDelayedUntil = {};
    mState = std::make_unique<NodeState>(mModel.mStore);
    const auto& domains = mModel.mDomains;
    mCore = std::make_unique<FlowEntryCore>(
      EntryOptions{ domains[mIndex % domains.size()], mModel.mFlowLimit },
      mState->Replica(),
      *this,
      mModel.mDecisions,
      mModel.mNow);
    mState->Replica().SetObserver(
      [this](Part aPart, const std::vector<std::string>&) {
        mCore->OnReplicaChanged(aPart, mModel.mNow);
      });
  }

  void End()
  {
    mRunning = false;
    mCore.reset();
    mState.reset();
  }

  FlowEntryCore& Core() { return *mCore; }
  const std::string& Name() const { return mName; }

  void SendToAgent(std::span<const uint8_t> aBytes,
                   const Address& aAgent,
                   uint32_t aServiceTag,
                   TransitMark aMark,
                   bool aReadsWaits) override;
  void SendReset(const Packet& aPacket) override
  {
    mModel.OnReset(Name(), aPacket);
  }

private:
  OwnerLookupModel& mModel;
  size_t mIndex;
  std::unique_ptr<FlowEntryCore> mCore;
};

class OwnerLookupModel::Agent final
  : public AgentOutput
  , public Instance
{
public:
  Agent(OwnerLookupModel& aModel, size_t aIndex)
    : mModel(aModel)
    , mIndex(aIndex)
  {
    mName = "agent " + std::to_string(aIndex);
  }

  void Start()
  {
    ++mRun;
    mRunning = true;
    mDelayedUntil = {};
    mWriting = false;
    mWritten = {};
    mLastHeartbeat = {};
    mState = std::make_unique<NodeState>(mModel.mStore);
    AgentOptions options;
    options.mService = Own().mService;
    options.mDomain = Own().mDomain;
    options.mFlowLimit = mModel.mFlowLimit;
    options.mStartTime = mModel.TimeOfDay();
    mCore = std::make_unique<FlowAgentCore>(
      options, mState->Replica(), *this, mModel.mDecisions, mModel.mNow);
  }

  void End()
  {
    mRunning = false;
    mCore.reset();
    mState.reset();
  }

  FlowAgentCore& Core() { return *mCore; }
  const std::string& Name() const { return mName; }

  void OnHeartbeat(const Heartbeat& aHeartbeat)
  {
    mLastHeartbeat = mModel.mNow;
    const auto outcome = mCore->OnHeartbeat(aHeartbeat, mModel.mNow);
    if (outcome == HeartbeatOutcome::Unchanged) {
      return;
    }
    mModel.Note(Name() + " heartbeat " + std::to_string(aHeartbeat.mSequence) +
                " " + std::string(ToString(outcome)));
  }

  void OnTick()
  {
    CheckBackend();
    if (!mState->Replica().Loaded(Part::Backends)) {
      return;
    }
    const auto stored = mState->Replica().FindObject(Part::Backends, Record());
    const auto revision = mState->Replica().Version(Part::Backends).mRevision;
    const bool isStored = stored || mWritten > revision;
    mCore->SetRecordStored(isStored, mModel.mNow);
    const FlowAgentCore& core = *mCore;
    if (mWriting || mWritten > revision || !core.Status().HasHeartbeat()) {
      return;
    }
    const bool left = core.Status().Deregistered() ||
                      (core.BackendEnded() && core.Status().Draining());
    const std::string text = left ? std::string() : RecordText();
    if (left ? stored.has_value() : !stored || stored->mText != text) {
      Write(text);
    }
  }

  void SendToBackend(std::span<const uint8_t> aBytes) override
  {
    mModel.After(kLoopback, [this, packet = Decode(aBytes)] {
      if (Own().mRunning) {
        mModel.OnServerPacket(Own(), packet);
      }
    });
  }
  void SendToCaller(std::span<const uint8_t> aBytes, const Address&) override
  {
    if (const auto delay = mModel.PathDelay(0.01)) {
      mModel.After(*delay, [this, packet = Decode(aBytes)] {
        mModel.DeliverToCaller(packet);
      });
    }
  }
  void SendReset(const Packet& aPacket) override
  {
    mModel.OnReset(Name(), aPacket);
  }
  void SendToNode(cluster::NodeIp aNode, const OfferReply& aReply) override
  {
    ToEntry(aNode, [this, aReply](Entry& aEntry) {
      aEntry.Core().OnOfferReply(Ip(), aReply, mModel.mNow);
    });
  }
  void SendToNode(cluster::NodeIp aNode, const OwnerNotice& aNotice) override
  {
    mModel.Note(Name() + (aNotice.mOwned ? " owns " : " does not own ") +
                Tag(aNotice.mFlow));
    ToEntry(aNode, [this, aNotice](Entry& aEntry) {
      aEntry.Core().OnOwnerNotice(Ip(), aNotice, mModel.mNow);
    });
  }
  void SendToNode(cluster::NodeIp aNode,
                  const OwnerExclusion& aExclusion) override
  {
    mModel.Note(Name() + " excludes itself from " + Tag(aExclusion.mFlow));
    ToEntry(aNode, [this, aExclusion](Entry& aEntry) {
      aEntry.Core().OnOwnerExclusion(Ip(), aExclusion, mModel.mNow);
    });
  }

private:
  template<typename Action>
  void ToEntry(cluster::NodeIp aNode, Action aAction);

  Server& Own() const { return *mModel.mServers[mIndex]; }
  cluster::NodeIp Ip() const
  {
    return cluster::NodeIp(AgentAddress(mIndex).mIp);
  }
  std::string Record() const
  {
    return cluster::RecordName(AgentAddress(mIndex));
  }

  std::string RecordText() const
  {
    cluster::BackendRecord record;
    record.mService = Own().mService;
    record.mAgent = AgentAddress(mIndex);
    record.mDomain = Own().mDomain;
    record.mState = mCore->Status().Draining() ? cluster::BackendState::Draining
                                               : cluster::BackendState::Ready;
    record.mSlots = mCore->Status().Slots();
    return cluster::EncodeRecord(record);
  }

  /// Writes the record, or removes it when aText is empty.
  void Write(const std::string& aText)
  {
    mWriting = true;
    mModel.After(mModel.Between(2ms, 60ms), [this, aText, run = mRun] {
      if (aText.empty()) {
        mModel.mStore.Remove(Part::Backends, Record(), mModel.mNow);
      } else {
        mModel.mStore.Put(Part::Backends, Record(), aText, mModel.mNow);
      }
      mModel.Note(Name() + (aText.empty() ? " removed" : " wrote") +
                  " its record");
      mModel.Distribute();
      mModel.After(mModel.Between(1ms, 30ms),
                   [this, run, written = mModel.mStore.Latest()] {
                     if (run == mRun && mRunning) {
                       mWriting = false;
                       mWritten = written;
                     }
                   });
    });
  }

  // Connects to the address of a server that may have ended; the connection is
  // refused while none is running.
  void CheckBackend()
  {
    const bool silent = !mCore->Status().HasHeartbeat() ||
                        mModel.mNow - mLastHeartbeat > kHeartbeatTimeout;
    if (Own().mRunning || mCore->BackendEnded() ||
        !(silent || mCore->MayHaveEnded())) {
      return;
    }
    mModel.After(1ms, [this, run = mRun, last = mLastHeartbeat] {
      if (run == mRun && mRunning && last == mLastHeartbeat) {
        mModel.Note(Name() + " knows that its server has ended");
        mCore->OnBackendEnded();
      }
    });
  }

  OwnerLookupModel& mModel;
  size_t mIndex;
  std::unique_ptr<FlowAgentCore> mCore;
  Instant mLastHeartbeat;
  bool mWriting = false;
  /// Revision of the latest write.
  Revision mWritten;
};

void
OwnerLookupModel::Entry::SendToAgent(std::span<const uint8_t> aBytes,
                                     const Address& aAgent,
                                     uint32_t aServiceTag,
                                     TransitMark aMark,
                                     bool aReadsWaits)
{
  Packet packet = Decode(aBytes);
  packet.mServiceTag = aServiceTag;
  packet.mReadsWaits = aReadsWaits;
  packet.mMark = aMark;
  packet.mOfferedToCandidate = packet.IsSyn();
  const auto delay = mModel.PathDelay(mModel.mMessageLoss);
  if (!delay) {
    return;
  }
  mModel.After(*delay, [this, packet, to = aAgent.mIp - AgentAddress(0).mIp] {
    Agent& agent = *mModel.mAgents.at(to);
    if (agent.mRunning) {
      agent.Core().OnNodePacket(
        packet, Encode(packet), EntryIp(mIndex), mModel.mNow);
    }
  });
}

template<typename Action>
void
OwnerLookupModel::Agent::ToEntry(cluster::NodeIp aNode, Action aAction)
{
  if (const auto delay = mModel.PathDelay(mModel.mMessageLoss)) {
    mModel.After(*delay, [this, aNode, aAction] {
      Entry& entry = *mModel.mEntries.at(aNode.Value() - EntryIp(0).Value());
      if (entry.mRunning) {
        aAction(entry);
      }
    });
  }
}

std::string_view
ToString(Disturbance aDisturbance)
{
  constexpr std::array<std::string_view, kDisturbances> kNames = {
    "move-route",     "change-weights", "remove-route",    "restart-entry",
    "restart-agent",  "restart-server", "restart-machine", "evacuate",
    "end-evacuation", "remove-record",  "rewrite-record",  "add-server",
    "remove-server",  "delay-state",    "move-callers",
  };
  return kNames.at(static_cast<size_t>(aDisturbance));
}

Plan
MakePlan(uint64_t aSeed, const std::vector<Disturbance>& aWithout)
{
  Random random(aSeed ^ 0x706c616eU);
  // Few kinds in each schedule, so that some combine often.
  std::vector<Disturbance> kinds;
  while (kinds.empty()) {
    for (size_t i = 0; i < kDisturbances; ++i) {
      const auto kind = static_cast<Disturbance>(i);
      if (random.Chance(0.4) &&
          std::ranges::find(aWithout, kind) == aWithout.end()) {
        kinds.push_back(kind);
      }
    }
  }
  Plan plan;
  const size_t count = 4 + random.Below(20);
  for (size_t i = 0; i < count; ++i) {
    PlannedDisturbance planned;
    planned.mAt = Instant(101s) + random.Below(22000) * 1ms;
    planned.mKind = kinds[random.Below(kinds.size())];
    planned.mSeed = random.Below(1U << 30);
    plan.push_back(planned);
  }
  std::ranges::sort(plan, {}, &PlannedDisturbance::mAt);
  return plan;
}

OwnerLookupModel::OwnerLookupModel(uint64_t aSeed, bool aTraced)
  : mRandom(aSeed)
  , mTraced(aTraced)
  , mFlowLimit(Between(6s, 12s))
  , mIdleTimeout(Between(3s, 5s))
  , mEntriesLag(mRandom.Chance(0.5))
  , mMessageLoss(0.15 * mRandom.Fraction() * mRandom.Fraction())
  , mServiceStep(2 + mRandom.Below(3))
  , mMaxFlows(aSeed % kFullServersStep == 0 ? 2 : 2000)
{
  const size_t domains = 1 + mRandom.Below(3);
  for (size_t i = 0; i < domains; ++i) {
    mDomains.emplace_back(1, static_cast<char>('a' + i));
  }
  mRoutes = { { { 1, -1 } }, { { 50, 50 } } };
  WriteRoutes();
  const size_t servers = 6 + mRandom.Below(9);
  for (size_t i = 0; i < servers; ++i) {
    AddServer();
    cluster::BackendRecord record;
    record.mService = mServers[i]->mService;
    record.mAgent = AgentAddress(i);
    record.mDomain = mServers[i]->mDomain;
    record.mSlots = 8;
    mStore.Put(Part::Backends,
               cluster::RecordName(record.mAgent),
               cluster::EncodeRecord(record),
               mNow);
  }
  const size_t entries = 2 + mRandom.Below(3);
  for (size_t i = 0; i < entries; ++i) {
    mEntries.push_back(std::make_unique<Entry>(*this, i));
    mEntries.back()->Start();
  }
  const auto load = [this](Instance& aInstance) {
    for (const Part part : cluster::kParts) {
      aInstance.mState->Load(part, mStore.Latest());
    }
  };
  for (const auto& entry : mEntries) {
    load(*entry);
  }
  for (const auto& agent : mAgents) {
    load(*agent);
  }
  PlanFlows();
}

OwnerLookupModel::~OwnerLookupModel() = default;

void
OwnerLookupModel::After(Duration aDelay, std::function<void()> aAction)
{
  mEvents.push({ mNow + aDelay, mNextOrder++, std::move(aAction) });
}

void
OwnerLookupModel::Note(const std::string& aText)
{
  if (mTraced) {
    mTrace.push_back(std::to_string(mNow.time_since_epoch() / 1us - 100000000) +
                     " us " + aText);
  }
}

uint64_t
OwnerLookupModel::TimeOfDay() const
{
  constexpr uint64_t kOrigin = 1800000000000;
  return kOrigin + static_cast<uint64_t>(mNow.time_since_epoch() / 1ms);
}

Duration
OwnerLookupModel::Between(Duration aLow, Duration aHigh)
{
  return aLow + std::chrono::duration_cast<Duration>((aHigh - aLow) *
                                                     mRandom.Fraction());
}

std::optional<Duration>
OwnerLookupModel::PathDelay(double aLoss)
{
  if (mRandom.Chance(aLoss)) {
    return std::nullopt;
  }
  return mRandom.Chance(0.03) ? Between(5ms, 150ms) : Between(200us, 4ms);
}

std::optional<std::string>
OwnerLookupModel::Run(const Plan& aPlan)
{
  const Instant end = mNow + kScheduleTime;
  for (const PlannedDisturbance& planned : aPlan) {
    After(planned.mAt - mNow, [this, planned] { Apply(planned); });
  }
  After(kTick, [this] { RunTimers(); });
  while (!mWrongReset) {
    Instant next = mEvents.top().mAt;
    Entry* dueEntry = nullptr;
    Agent* dueAgent = nullptr;
    for (const auto& entry : mEntries) {
      const auto due = entry->mRunning ? entry->Core().NextDeadline()
                                       : std::optional<Instant>();
      if (due && *due < next) {
        next = *due;
        dueEntry = entry.get();
      }
    }
    for (const auto& agent : mAgents) {
      const auto due = agent->mRunning ? agent->Core().NextDeadline()
                                       : std::optional<Instant>();
      if (due && *due < next) {
        next = *due;
        dueAgent = agent.get();
      }
    }
    if (next > end) {
      break;
    }
    mNow = std::max(mNow, next);
    if (dueAgent) {
      dueAgent->Core().OnTimer(mNow);
    } else if (dueEntry) {
      dueEntry->Core().OnTimer(mNow);
    } else {
      const auto action = mEvents.top().mAction;
      mEvents.pop();
      action();
    }
  }
  return mWrongReset;
}

void
OwnerLookupModel::RunTimers()
{
  const bool expires = mNow.time_since_epoch() % kExpiryInterval < kTick;
  for (const auto& agent : mAgents) {
    if (!agent->mRunning) {
      continue;
    }
    agent->OnTick();
    if (expires) {
      agent->Core().Expire(mNow);
    }
  }
  for (const auto& entry : mEntries) {
    if (entry->mRunning && expires) {
      entry->Core().Expire(mNow);
    }
  }
  After(kTick, [this] { RunTimers(); });
}

void
OwnerLookupModel::WriteRoutes()
{
  std::string text = std::to_string(++mConfigVersion) + ' ' +
                     std::to_string(mIdleTimeout / 1ms) + ' ' +
                     std::to_string(mMaxFlows);
  for (size_t i = 0; i < mRoutes.size(); ++i) {
    if (!mRoutes[i].mRemoved) {
      text += '\n' + std::to_string(kFirstPort + i) + ' ' +
              std::to_string(mRoutes[i].mWeights[0]) + ' ' +
              std::to_string(mRoutes[i].mWeights[1]);
    }
  }
  mStore.Put(Part::Routes, "main", text, mNow);
  Distribute();
}

void
OwnerLookupModel::Distribute()
{
  const auto pass = [this](Instance& aInstance) {
    const bool slow = mRandom.Chance(0.05);
    const Duration lag =
      slow ? Between(100ms, kMaxLag - 100ms) : Between(2ms, 120ms);
    After(lag, [this, &aInstance, run = aInstance.mRun, to = mStore.Latest()] {
      const auto update = [this, &aInstance, run, to] {
        if (aInstance.mRunning && aInstance.mRun == run) {
          aInstance.mState->Update(to, mRandom.Chance(0.2));
          Note(aInstance.mName + " has revision " + std::to_string(to.Value()));
        }
      };
      if (mNow < aInstance.mDelayedUntil) {
        After(aInstance.mDelayedUntil - mNow, update);
      } else {
        update();
      }
    });
  };
  for (const auto& entry : mEntries) {
    pass(*entry);
  }
  for (const auto& agent : mAgents) {
    pass(*agent);
  }
}

void
OwnerLookupModel::StartInstance(Instance& aInstance, bool aMayLag)
{
  const Duration age =
    aMayLag ? Between(Duration(), 8s) : Between(Duration(), 500ms);
  const Revision older =
    mRandom.Chance(0.5) ? mStore.LatestAt(mNow - age) : mStore.Latest();
  const auto later = [this, &aInstance](Duration aDelay, auto aAction) {
    After(aDelay, [this, &aInstance, run = aInstance.mRun, aAction] {
      if (aInstance.mRunning && aInstance.mRun == run) {
        aAction(*aInstance.mState);
      }
    });
  };
  const Duration records = Between(5ms, 150ms);
  const Duration routes = records + Between(Duration(), 150ms);
  later(records, [older](NodeState& aState) {
    aState.Load(Part::Evacuations, older);
    aState.Load(Part::Backends, older);
  });
  later(routes,
        [older](NodeState& aState) { aState.Load(Part::Routes, older); });
  later(routes + Between(Duration(), aMayLag ? 3s : 400ms),
        [this](NodeState& aState) {
          aState.Update(mStore.Latest(), mRandom.Chance(0.2));
        });
}

void
OwnerLookupModel::AddServer()
{
  const size_t index = mServers.size();
  mServers.push_back(std::make_unique<Server>());
  Server& server = *mServers.back();
  server.mIndex = index;
  server.mService = kServices.at(index % mServiceStep == 0 ? 1 : 0);
  server.mDomain = mDomains[mRandom.Below(mDomains.size())];
  mAgents.push_back(std::make_unique<Agent>(*this, index));
  mAgents.back()->Start();
  StartServer(server);
  if (mRandom.Chance(0.5)) {
    // The server was running before its agent started.
    server.mStartTime -= 1000000;
    server.mSequence = 2000;
  }
}

void
OwnerLookupModel::StartServer(Server& aServer)
{
  aServer.mRunning = true;
  ++aServer.mRun;
  aServer.mStartTime = TimeOfDay();
  aServer.mSequence = 0;
  if (aServer.mId.empty() || mRandom.Chance(0.5)) {
    aServer.mId =
      std::to_string(aServer.mIndex) + '-' + std::to_string(aServer.mRun);
  }
  Note("server " + std::to_string(aServer.mIndex) + " starts");
  After(Between(Duration(), 30ms),
        [this, &aServer, run = aServer.mRun] { SendHeartbeat(aServer, run); });
}

void
OwnerLookupModel::EndServer(Server& aServer)
{
  Note("server " + std::to_string(aServer.mIndex) + " ends");
  aServer.mRunning = false;
  ++aServer.mRun;
  aServer.mFlows.clear();
}

// A heartbeat reaches the agent that runs when it is sent or none, since it is
// sent on a connection.
void
OwnerLookupModel::SendHeartbeat(Server& aServer, uint64_t aRun)
{
  if (aServer.mRun != aRun) {
    return;
  }
  Heartbeat heartbeat;
  heartbeat.mId = aServer.mId;
  heartbeat.mService = aServer.mService;
  heartbeat.mState = aServer.mDraining ? cluster::BackendState::Draining
                                       : cluster::BackendState::Ready;
  heartbeat.mSlots = 8;
  heartbeat.mSequence = ++aServer.mSequence;
  heartbeat.mStartTime = aServer.mStartTime;
  Agent& agent = *mAgents[aServer.mIndex];
  const bool lost = mRandom.Chance(aServer.mSequence <= 2 ? 0.2 : 0.03);
  if (agent.mRunning && !lost) {
    const Duration delay =
      mRandom.Chance(0.03) ? Between(20ms, 300ms) : Between(200us, 10ms);
    After(delay, [&agent, heartbeat, run = agent.mRun] {
      if (agent.mRunning && agent.mRun == run) {
        agent.OnHeartbeat(heartbeat);
      }
    });
  }
  After(kHeartbeatInterval,
        [this, &aServer, aRun] { SendHeartbeat(aServer, aRun); });
}

void
OwnerLookupModel::OnServerPacket(Server& aServer, const Packet& aPacket)
{
  if (aPacket.IsSyn()) {
    OnServerSyn(aServer, aPacket);
    return;
  }
  const auto found = aServer.mFlows.find(CallerFlow(aPacket));
  const bool held = found != aServer.mFlows.end() &&
                    (found->second.mOpen ||
                     aPacket.mAcknowledgement == found->second.mSequence + 1);
  if (!held) {
    Packet returned = aPacket;
    returned.mReturned = true;
    SendToAgent(aServer, returned);
    return;
  }
  ServerFlow& flow = found->second;
  if (!flow.mOpen) {
    Note(Tag(CallerFlow(aPacket)) + " opens at server " +
         std::to_string(aServer.mIndex));
    ++mOpenedFlows;
  }
  if (flow.mOpen && mNow - flow.mLastSeen > mIdleTimeout) {
    Note(Tag(CallerFlow(aPacket)) + " was idle for too long");
    flow.mWasIdle = true;
  }
  flow.mOpen = true;
  flow.mLastSeen = mNow;
  Packet response;
  response.mSource = aPacket.mDestination;
  response.mDestination = aPacket.mSource;
  response.mSequence = flow.mSequence + 1;
  // The number of the data, in place of its last byte.
  response.mAcknowledgement = aPacket.mSequence;
  response.mAck = true;
  response.mFin = aPacket.mFin;
  response.mLength = aPacket.mLength;
  if (aPacket.mFin) {
    aServer.mFlows.erase(found);
  }
  After(Between(1ms, 40ms), [this, &aServer, response, run = aServer.mRun] {
    if (aServer.mRun == run) {
      SendToAgent(aServer, response);
    }
  });
}

void
OwnerLookupModel::OnServerSyn(Server& aServer, const Packet& aPacket)
{
  const FlowTuple tuple = CallerFlow(aPacket);
  const auto found = aServer.mFlows.find(tuple);
  if (found != aServer.mFlows.end()) {
    if (!found->second.mOpen) {
      SendSynAck(aServer, tuple, kSynAckRetransmissions.size());
    }
    return;
  }
  // A full server returns the SYN.
  if (mRandom.Chance(0.02)) {
    Packet returned = aPacket;
    returned.mReturned = true;
    SendToAgent(aServer, returned);
    return;
  }
  ServerFlow& flow = aServer.mFlows[tuple];
  flow.mCallerSequence = aPacket.mSequence;
  flow.mSequence = static_cast<uint32_t>(mRandom.Below(UINT32_MAX));
  After(200us, [this, &aServer, tuple, run = aServer.mRun] {
    if (aServer.mRun == run) {
      SendSynAck(aServer, tuple, 0);
    }
  });
}

// Sends a SYN-ACK, and repeats it until the flow opens.
void
OwnerLookupModel::SendSynAck(Server& aServer,
                             const FlowTuple& aTuple,
                             size_t aRepetition)
{
  const auto found = aServer.mFlows.find(aTuple);
  if (found == aServer.mFlows.end() || found->second.mOpen) {
    return;
  }
  Packet packet;
  packet.mSource = aTuple.mService;
  packet.mDestination = aTuple.mCaller;
  packet.mSyn = true;
  packet.mAck = true;
  packet.mSequence = found->second.mSequence;
  packet.mAcknowledgement = found->second.mCallerSequence + 1;
  SendToAgent(aServer, packet);
  if (aRepetition >= kSynAckRetransmissions.size()) {
    return;
  }
  After(kSynAckRetransmissions.at(aRepetition),
        [this, &aServer, aTuple, aRepetition, run = aServer.mRun] {
          if (aServer.mRun == run) {
            SendSynAck(aServer, aTuple, aRepetition + 1);
          }
        });
}

void
OwnerLookupModel::SendToAgent(Server& aServer, const Packet& aPacket)
{
  After(kLoopback, [this, &aServer, aPacket] {
    Agent& agent = *mAgents[aServer.mIndex];
    if (agent.mRunning) {
      agent.Core().OnBackendPacket(aPacket, Encode(aPacket), mNow);
    }
  });
}

void
OwnerLookupModel::PlanFlows()
{
  const size_t count = 20 + mRandom.Below(30);
  for (size_t i = 0; i < count; ++i) {
    auto caller = std::make_unique<Caller>();
    const auto number = static_cast<uint32_t>(i);
    const auto port =
      static_cast<uint16_t>(kFirstPort + mRandom.Below(mRoutes.size()));
    caller->mFlow = { { kCaller.mIp + number, kCaller.mPort },
                      { kService.mIp, port } };
    caller->mSequence = static_cast<uint32_t>(mRandom.Below(UINT32_MAX));
    caller->mEntry = mRandom.Below(mEntries.size());
    caller->mLifetime = Between(500ms, mFlowLimit + 1s);
    Caller& added = *caller;
    mCallers[added.mFlow.mCaller] = std::move(caller);
    After(Between(600ms, kScheduleTime - 2s),
          [this, &added] { StartFlow(added); });
  }
}

void
OwnerLookupModel::StartFlow(Caller& aCaller)
{
  aCaller.mOpenedAt = mNow;
  Note(Tag(aCaller.mFlow) + " starts, port " +
       std::to_string(aCaller.mFlow.mService.mPort));
  const auto send = [this, &aCaller](uint32_t aRetransmission) {
    if (aCaller.mOpened || aCaller.mDone) {
      return;
    }
    Packet syn =
      SynPacket(aCaller.mFlow.mCaller, aCaller.mSequence, aRetransmission);
    syn.mDestination = aCaller.mFlow.mService;
    SendFromCaller(aCaller, syn);
  };
  send(0);
  uint32_t retransmission = 0;
  for (const Duration wait : kSynRetransmissions) {
    ++retransmission;
    After(wait, [send, retransmission] { send(retransmission); });
  }
  After(kConnectTimeout,
        [&aCaller] { aCaller.mDone = aCaller.mDone || !aCaller.mOpened; });
}

// Sends data, and repeats it until it is answered or further data follows.
void
OwnerLookupModel::SendData(Caller& aCaller,
                           uint32_t aNumber,
                           size_t aRepetition)
{
  if (aCaller.mDone || aCaller.mSent != aNumber ||
      aCaller.mAnswered == aNumber) {
    return;
  }
  Packet data =
    CallerData(aCaller.mFlow.mCaller, aCaller.mAcknowledgement, 100);
  data.mDestination = aCaller.mFlow.mService;
  data.mSequence = aNumber;
  SendFromCaller(aCaller, data);
  if (aRepetition < kDataRetransmissions.size()) {
    After(kDataRetransmissions.at(aRepetition),
          [this, &aCaller, aNumber, aRepetition] {
            SendData(aCaller, aNumber, aRepetition + 1);
          });
  }
}

void
OwnerLookupModel::ContinueFlow(Caller& aCaller)
{
  if (aCaller.mDone) {
    return;
  }
  if (mNow - aCaller.mOpenedAt > aCaller.mLifetime) {
    Note(Tag(aCaller.mFlow) + " closes");
    aCaller.mDone = true;
    Packet fin = CallerData(aCaller.mFlow.mCaller, aCaller.mAcknowledgement);
    fin.mDestination = aCaller.mFlow.mService;
    fin.mFin = true;
    SendFromCaller(aCaller, fin);
    return;
  }
  SendData(aCaller, ++aCaller.mSent, 0);
  After(Between(50ms, mRandom.Chance(0.1) ? 5s : 1500ms),
        [this, &aCaller] { ContinueFlow(aCaller); });
}

void
OwnerLookupModel::SendFromCaller(Caller& aCaller, const Packet& aPacket)
{
  const bool detour = mRandom.Chance(0.1);
  Entry& entry =
    *mEntries[detour ? mRandom.Below(mEntries.size()) : aCaller.mEntry];
  if (const auto delay = PathDelay(0.01)) {
    After(*delay, [this, &entry, aPacket] {
      if (entry.mRunning) {
        entry.Core().OnCallerPacket(aPacket, Encode(aPacket), mNow);
      }
    });
  }
}

void
OwnerLookupModel::DeliverToCaller(const Packet& aPacket)
{
  Caller& caller = *mCallers.at(aPacket.mDestination);
  if (caller.mDone) {
    return;
  }
  if (!aPacket.IsSynAck()) {
    if (aPacket.mAcknowledgement == caller.mSent) {
      caller.mAnswered = caller.mSent;
    }
    return;
  }
  if (caller.mOpened) {
    return;
  }
  caller.mOpened = true;
  caller.mAcknowledgement = aPacket.mSequence + 1;
  ContinueFlow(caller);
}

const OwnerLookupModel::ServerFlow*
OwnerLookupModel::FindOpen(const Caller& aCaller) const
{
  for (const auto& server : mServers) {
    const auto found = server->mFlows.find(aCaller.mFlow);
    if (server->mRunning && found != server->mFlows.end() &&
        found->second.mOpen &&
        found->second.mSequence + 1 == aCaller.mAcknowledgement) {
      return &found->second;
    }
  }
  return nullptr;
}

void
OwnerLookupModel::OnReset(const std::string& aSender, const Packet& aPacket)
{
  Caller& caller = *mCallers.at(aPacket.mSource);
  if (aPacket.IsSyn()) {
    // A caller with an open flow ignores it.
    After(3ms, [&caller] { caller.mDone = caller.mDone || !caller.mOpened; });
    return;
  }
  const ServerFlow* open = caller.mDone ? nullptr : FindOpen(caller);
  Note(aSender + " resets " + Tag(caller.mFlow));
  if (!open || caller.mRouteRemoved || mNow - caller.mOpenedAt > mFlowLimit ||
      open->mWasIdle || mNow - open->mLastSeen > mIdleTimeout) {
    ++mRightResets;
    After(3ms, [&caller] { caller.mDone = true; });
    return;
  }
  mWrongReset = aSender + " reset the open " + Tag(caller.mFlow) + " at " +
                std::to_string(mNow.time_since_epoch() / 1ms - 100000) + " ms";
}

void
OwnerLookupModel::Apply(const PlannedDisturbance& aPlanned)
{
  Random random(aPlanned.mSeed);
  Note(std::string(ToString(aPlanned.mKind)));
  switch (aPlanned.mKind) {
    case Disturbance::MoveRoute:
    case Disturbance::ChangeWeights:
    case Disturbance::RemoveRoute:
      ChangeRoutes(aPlanned.mKind, random);
      break;
    case Disturbance::RestartEntry:
      RestartEntry(*mEntries[random.Below(mEntries.size())], random);
      break;
    case Disturbance::RestartAgent:
      RestartAgent(random.Below(mAgents.size()),
                   20ms + random.Below(random.Chance(0.5) ? 100 : 3000) * 1ms);
      break;
    case Disturbance::RestartServer:
      RestartServer(*mServers[random.Below(mServers.size())], random);
      break;
    case Disturbance::RestartMachine: {
      const size_t index = random.Below(mServers.size());
      RestartServer(*mServers[index], random);
      RestartAgent(index, 20ms + random.Below(400) * 1ms);
      break;
    }
    case Disturbance::Evacuate:
    case Disturbance::EndEvacuation:
      ChangeEvacuation(aPlanned.mKind, random);
      break;
    case Disturbance::RemoveRecord: {
      const Address agent = AgentAddress(random.Below(mServers.size()));
      Note("of agent " + std::to_string(agent.mIp & 0xffU));
      mStore.Remove(Part::Backends, cluster::RecordName(agent), mNow);
      Distribute();
      break;
    }
    case Disturbance::RewriteRecord:
      RewriteRecord(random.Below(mServers.size()));
      break;
    case Disturbance::AddServer:
      if (mServers.size() < kMaxServers) {
        AddServer();
        StartInstance(*mAgents.back(), !mEntriesLag);
      }
      break;
    case Disturbance::RemoveServer:
      RemoveServer(*mServers[random.Below(mServers.size())], random);
      break;
    case Disturbance::DelayState:
      DelayState(random);
      break;
    case Disturbance::MoveCallers:
      for (const auto& [address, caller] : mCallers) {
        caller->mEntry = random.Below(mEntries.size());
      }
      break;
  }
}

void
OwnerLookupModel::RewriteRecord(size_t aIndex)
{
  const std::string name = cluster::RecordName(AgentAddress(aIndex));
  for (const auto& object :
       mStore.SnapshotAt(Part::Backends, mStore.Latest()).mObjects) {
    if (object.mName == name) {
      Note("of agent " + std::to_string(aIndex));
      mStore.Remove(Part::Backends, name, mNow);
      mStore.Put(Part::Backends, name, *object.mText, mNow);
      Distribute();
      return;
    }
  }
}

void
OwnerLookupModel::ChangeRoutes(Disturbance aKind, Random& aRandom)
{
  constexpr std::array<std::array<int, 2>, 5> kWeights = {
    { { 50, 50 }, { 50, 0 }, { 0, 50 }, { 50, -1 }, { -1, 50 } }
  };
  const size_t index = aRandom.Below(mRoutes.size());
  RouteState& route = mRoutes[index];
  if (aKind == Disturbance::MoveRoute) {
    route.mWeights =
      route.mWeights[0] > 0 ? std::array{ -1, 1 } : std::array{ 1, -1 };
  } else if (aKind == Disturbance::ChangeWeights) {
    route.mWeights = kWeights.at(aRandom.Below(kWeights.size()));
  } else {
    route.mRemoved = !route.mRemoved;
    for (const auto& [address, caller] : mCallers) {
      caller->mRouteRemoved =
        caller->mRouteRemoved ||
        caller->mFlow.mService.mPort == kFirstPort + index;
    }
  }
  WriteRoutes();
}

void
OwnerLookupModel::ChangeEvacuation(Disturbance aKind, Random& aRandom)
{
  const std::string& domain = mDomains[aRandom.Below(mDomains.size())];
  if (aKind == Disturbance::Evacuate) {
    mStore.Put(Part::Evacuations, domain, "{}", mNow);
  } else {
    mStore.Remove(Part::Evacuations, domain, mNow);
  }
  Distribute();
}

void
OwnerLookupModel::RestartEntry(Entry& aEntry, Random& aRandom)
{
  if (!aEntry.mRunning) {
    return;
  }
  Note(aEntry.Name() + " ends");
  aEntry.End();
  After(20ms + aRandom.Below(1000) * 1ms, [this, &aEntry] {
    Note(aEntry.Name() + " starts");
    aEntry.Start();
    StartInstance(aEntry, mEntriesLag);
  });
}

void
OwnerLookupModel::RestartAgent(size_t aIndex, Duration aDowntime)
{
  Agent& agent = *mAgents[aIndex];
  if (!agent.mRunning) {
    return;
  }
  Note(agent.Name() + " ends");
  agent.End();
  After(aDowntime, [this, &agent] {
    Note(agent.Name() + " starts");
    agent.Start();
    StartInstance(agent, !mEntriesLag);
  });
}

void
OwnerLookupModel::RestartServer(Server& aServer, Random& aRandom)
{
  if (!aServer.mRunning || aServer.mDraining) {
    return;
  }
  EndServer(aServer);
  After(20ms + aRandom.Below(aRandom.Chance(0.5) ? 400 : 4000) * 1ms,
        [this, &aServer] { StartServer(aServer); });
}

// The server drains, ends and deregisters; its agent stays for the schedule.
void
OwnerLookupModel::RemoveServer(Server& aServer, Random& aRandom)
{
  if (!aServer.mRunning || aServer.mDraining) {
    return;
  }
  Note("server " + std::to_string(aServer.mIndex) + " drains");
  aServer.mDraining = true;
  After(1s + aRandom.Below(4000) * 1ms, [this, &aServer] {
    EndServer(aServer);
    Agent& agent = *mAgents[aServer.mIndex];
    if (agent.mRunning) {
      agent.Core().OnDeregister(aServer.mId, aServer.mStartTime);
    }
  });
}

void
OwnerLookupModel::DelayState(Random& aRandom)
{
  Instance& instance =
    mEntriesLag
      ? static_cast<Instance&>(*mEntries[aRandom.Below(mEntries.size())])
      : *mAgents[aRandom.Below(mAgents.size())];
  instance.mDelayedUntil = mNow + 2s + aRandom.Below(4000) * 1ms;
}

} // namespace snipepost::flow
