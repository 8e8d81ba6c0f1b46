#include <tests/Matrix/FleetWorld.h>

#include <algorithm>
#include <variant>

using namespace std::chrono_literals;

namespace snipepost::matrix {

namespace {

using fake::Fleet;

constexpr size_t kFirstAgent = 100;
constexpr size_t kAgents = 8;
constexpr size_t kAgentsOfFirst = 5;
constexpr Duration kInForce = 9s;
constexpr Duration kSlice = 200ms;
const char* const kKey = "deployments/test";

ServiceId
ServiceOf(size_t aAgent)
{
  return ServiceId(aAgent < kAgentsOfFirst ? 1 : 2);
}

DomainId
DomainOf(size_t aIndex)
{
  return DomainId(static_cast<uint8_t>(1 + aIndex % 3));
}

EffectiveConfig
FirstConfig()
{
  EffectiveConfig config;
  for (const ServiceId id : { ServiceId(1), ServiceId(2) }) {
    config.mServices[id].mId = id;
    config.mServices[id].mAddress = AddressOf(id);
  }
  for (uint8_t id = 1; id <= 3; ++id) {
    config.mDomains[DomainId(id)].mId = DomainId(id);
  }
  return config;
}

} // namespace

FleetWorld::FleetWorld(const FleetGuards& aGuards)
  : mSafeguards(aGuards)
{
  mFleet.mOptions.mDeployment = "test";
  mFleet.mOptions.mSafeguards = aGuards.mMembership;
  mFleet.mOptions.mLease = 20s;
  mFleet.mOptions.mSeeds = { Fleet::At(0), Fleet::At(1), Fleet::At(2) };
  mFleet.mStep = 50ms;
  mFleet.mCut = [this](const Address& aFrom, const Address& aTo) {
    return mCuts.contains({ aFrom, aTo });
  };
  mFleet.mOnChange = [this](const Address& aAddress) { Rebuild(aAddress); };
  for (size_t i = 0; i < 3; ++i) {
    StartEntry(i);
  }
  for (size_t i = 0; i + 1 < kAgents; ++i) {
    StartAgent(i);
  }
  Submit([](EffectiveConfig& aConfig) { aConfig = FirstConfig(); });
  Advance(4s);
  mEarlier = mFleet.mStore;
}

std::vector<Violation>
FleetWorld::Run(const FleetSchedule& aSchedule)
{
  for (const FleetStep& step : aSchedule) {
    Do(step);
    TrackDocuments();
  }
  Calm();
  Advance(50s);
  CheckRecovered();
  return mViolations;
}

void
FleetWorld::StartEntry(size_t aIndex)
{
  InstanceRecord own;
  own.mAddress = Fleet::At(aIndex);
  own.mDomain = DomainOf(aIndex);
  own.mState = InstanceState::Ready;
  own.mVersion.mIncarnation = Incarnation(++mLastLife);
  mRecords[own.mAddress] = own;
  mAwakeSince[own.mAddress] = mFleet.Now();
  mHeld.erase(own.mAddress);
  mEntries.insert_or_assign(
    own.mAddress, Entry{ EntryRouter(kKeys, mSafeguards.mRouting), nullptr });
  mFleet.Start(own);
}

void
FleetWorld::StartAgent(size_t aIndex)
{
  InstanceRecord own;
  own.mRole = InstanceRole::Agent;
  own.mAddress = Fleet::At(kFirstAgent + aIndex);
  own.mService = ServiceOf(aIndex);
  own.mDomain = DomainOf(aIndex);
  own.mSlots = 4;
  own.mVersion.mIncarnation = Incarnation(++mLastLife);
  mRecords[own.mAddress] = own;
  mAwakeSince[own.mAddress] = mFleet.Now();
  mHeld.erase(own.mAddress);
  AgentOptions options;
  options.mAddress = own.mAddress;
  options.mIncarnation = own.mVersion.mIncarnation;
  options.mSafeguards = mSafeguards.mAdmission;
  AgentConfig closed;
  closed.mDomainOut = true;
  mAgents.insert_or_assign(
    own.mAddress,
    Agent{
      AgentCore(options, closed, kKeys, mFleet.Now()), mLastLife, {}, {} });
  Apply(mAgents.at(own.mAddress),
        mAgents.at(own.mAddress)
          .mCore.OnBackendState({ true, "boot", BackendHealth::Ok, 1.0, 4 },
                                mFleet.Now()));
  mFleet.Start(own);
}

const EffectiveConfig*
FleetWorld::ConfigOf(const Address& aAddress) const
{
  const auto core = const_cast<Fleet&>(mFleet).Cores().find(aAddress); // NOLINT
  const auto found = mConfigs.find(core->second->Board().mDocument.mText);
  return found == mConfigs.end() ? nullptr : &found->second;
}

void
FleetWorld::Rebuild(const Address& aAddress)
{
  const EffectiveConfig* config = ConfigOf(aAddress);
  if (!config) {
    return;
  }
  MembershipCore& core = *mFleet.Cores().at(aAddress);
  std::set<DomainId> out;
  for (const auto& [id, domain] : config->mDomains) {
    if (domain.mState == DomainState::Out) {
      out.insert(id);
    }
  }
  core.SetDomainsOut(std::move(out));
  const auto entry = mEntries.find(aAddress);
  if (entry != mEntries.end()) {
    entry->second.mSnapshot = BuildSnapshot(
      *config, core.Board(), entry->second.mSnapshot.get(), mSafeguards.mView);
  } else {
    Configure(aAddress);
  }
}

void
FleetWorld::Configure(const Address& aAddress)
{
  const EffectiveConfig& config = *ConfigOf(aAddress);
  const InstanceRecord& own = mRecords.at(aAddress);
  AgentConfig agent;
  agent.mDraining = config.AdmissionStateOf({ own.mService, aAddress }) !=
                    AdmissionState::Admitted;
  agent.mDomainOut = !config.IsInService(own.mDomain);
  Agent& each = mAgents.at(aAddress);
  Apply(each, each.mCore.OnConfig({ agent }, mFleet.Now()));
}

void
FleetWorld::Apply(Agent& aAgent, const Effects& aEffects)
{
  for (const Effect& effect : aEffects) {
    if (const auto* close = std::get_if<CloseFlow>(&effect)) {
      aAgent.mFlows.erase(close->mFlow);
    }
  }
}

void
FleetWorld::TickAgents()
{
  const Instant now = mFleet.Now();
  for (auto& [address, agent] : mAgents) {
    if (!mFleet.IsRunning(address)) {
      continue;
    }
    MembershipCore& core = *mFleet.Cores().at(address);
    const Blackboard& board = core.Board();
    for (const auto& [prober, at] : board.mProbers) {
      if (at > agent.mConfirmed) {
        agent.mConfirmed = at;
        Apply(agent, agent.mCore.OnEntryConfirmed({}, at < now ? now : at));
      }
    }
    Apply(agent,
          agent.mCore.OnLease({ board.mOwnLeaseEnd, !board.mStore.mReachable },
                              now));
    core.SetState(agent.mCore.Load(now).mAcceptsFlows
                    ? InstanceState::Ready
                    : InstanceState::Starting);
  }
}

void
FleetWorld::Advance(Duration aTime)
{
  for (Duration passed{}; passed < aTime; passed += kSlice) {
    mFleet.Run(kSlice);
    TickAgents();
    for (const FleetAction fault : mActive) {
      mFaults[fault] = mFleet.Now();
    }
    TrackDocuments();
    CheckDocuments();
  }
  CheckView();
  SendAll();
}

std::vector<Address>
FleetWorld::LiveOf(InstanceRole aRole) const
{
  std::vector<Address> live;
  for (const auto& [address, record] : mRecords) {
    if (record.mRole == aRole && mFleet.IsRunning(address)) {
      live.push_back(address);
    }
  }
  return live;
}

std::vector<Address>
FleetWorld::Ready() const
{
  auto ready = LiveOf(InstanceRole::Entry);
  std::erase_if(ready, [this](const Address& aAddress) {
    const EffectiveConfig* config = ConfigOf(aAddress);
    return !mEntries.at(aAddress).mSnapshot || !config ||
           !config->IsInService(mRecords.at(aAddress).mDomain);
  });
  return ready;
}

// Operators: like snipepostctl, they ask instances and the store.

DocumentVersion
FleetWorld::Greatest()
{
  const auto stored = mFleet.mStore.mObjects.find(kKey);
  DocumentVersion greatest;
  if (stored != mFleet.mStore.mObjects.end()) {
    greatest = *fake::ParseDocumentVersion(stored->second.mValue);
  }
  for (const auto& [address, core] : mFleet.Cores()) {
    greatest = std::max(greatest, core->Board().mDocument.mVersion);
  }
  return greatest;
}

void
FleetWorld::Submit(const Edit& aEdit, bool aTwice)
{
  auto& store = mFleet.mStore;
  if (store.mDown) {
    return;
  }
  const DocumentVersion base = Greatest();
  const auto textOf = [](const DocumentVersion& aVersion) {
    return std::to_string(aVersion.mGeneration.Value()) + "/" +
           aVersion.mSubmission.Value();
  };
  const auto stored = store.mObjects.find(kKey);
  const auto condition = stored == store.mObjects.end()
                           ? StoreCondition()
                           : StoreCondition(stored->second.mVersion);
  for (int i = aTwice ? 2 : 1; i > 0; --i) {
    EffectiveConfig config = mConfigs[textOf(base)];
    aEdit(config);
    const std::string text =
      textOf({ Generation(base.mGeneration.Value() + 1),
               SubmissionId("s" + std::to_string(++mLastSubmission)) });
    mConfigs[text] = config;
    ObjectVersion version;
    const auto outcome = store.Write({ kKey, text, condition, {} }, version);
    const bool written = store.mObjects[kKey].mValue == text;
    if (written) {
      mNewest = text;
      mAcceptedAt = mFleet.Now();
      mKnownAt.reset();
    } else if (outcome != ObjectOutcome::Conflict) {
      Broken("P10", "a racing submission saw no conflict");
    }
  }
  TrackDocuments();
}

void
FleetWorld::TrackDocuments()
{
  const auto newest = fake::ParseDocumentVersion(mNewest);
  if (!mKnownAt) {
    for (const auto& [address, core] : mFleet.Cores()) {
      if (mFleet.IsRunning(address) &&
          core->Board().mDocument.mVersion == *newest) {
        mKnownAt = mFleet.Now();
      }
    }
  }
  if (!mKnownAt) {
    return;
  }
  const EffectiveConfig& config = mConfigs.at(mNewest);
  for (const auto& [id, domain] : config.mDomains) {
    if (domain.mState == DomainState::Out) {
      mOutSince.emplace(id, *mKnownAt);
    } else {
      mOutSince.erase(id);
    }
  }
  for (const auto& [address, agent] : mAgents) {
    const auto standing =
      config.AdmissionStateOf({ mRecords.at(address).mService, address });
    if (standing == AdmissionState::Draining) {
      mDrainSince.emplace(address, *mKnownAt);
    } else {
      mDrainSince.erase(address);
    }
  }
}

// Checks.

void
FleetWorld::Broken(const char* aLabel, const std::string& aText)
{
  if (mViolations.size() < 4) {
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
                      mFleet.Now().time_since_epoch())
                      .count();
    mViolations.push_back({ aLabel, aText + " at " + std::to_string(at) });
  }
}

/// True when aTime has passed since the newest document was known and at most
/// one kind of fault was in force since shortly before.
bool
FleetWorld::Strict(Duration aTime) const
{
  if (!mKnownAt || mFleet.Now() - *mKnownAt <= aTime) {
    return false;
  }
  const auto recent =
    std::count_if(mFaults.begin(), mFaults.end(), [this](const auto& aFault) {
      return aFault.second + 20s >= *mKnownAt;
    });
  return recent <= 1;
}

void
FleetWorld::CheckDocuments()
{
  for (const auto& [address, core] : mFleet.Cores()) {
    const DocumentVersion& version = core->Board().mDocument.mVersion;
    DocumentVersion& held = mHeld[address];
    if (version < held) {
      Broken("P10", ToString(address) + " went back to an older document");
    }
    held = version;
    const bool awake = mFleet.IsRunning(address) &&
                       mFleet.Now() - mAwakeSince[address] > kInForce;
    if (awake && Strict(kInForce) &&
        version != *fake::ParseDocumentVersion(mNewest)) {
      Broken("P10", ToString(address) + " does not have " + mNewest);
    }
  }
}

/// What entry instances must not conclude from one broken link, and that a
/// service with agents keeps candidates.
void
FleetWorld::CheckView()
{
  std::set<FleetAction> recent;
  for (const auto& [fault, at] : mFaults) {
    if (at + 20s >= mFleet.Now()) {
      recent.insert(fault);
    }
  }
  const bool oneLink = recent.size() == 1 && mCuts.size() <= 2 &&
                       (recent.contains(FleetAction::LinkOneWay) ||
                        recent.contains(FleetAction::LinkBothWays)) &&
                       LiveOf(InstanceRole::Entry).size() > 2 &&
                       mOutSince.empty();
  for (const Address& address : Ready()) {
    const Blackboard& board = mFleet.Cores().at(address)->Board();
    if (oneLink && !board.mSuspects.empty()) {
      Broken("P1", "one broken link raised a suspicion");
    }
    const EffectiveConfig& config = *ConfigOf(address);
    std::set<ServiceId> served;
    for (const auto& [agent, member] : board.mMembers) {
      const InstanceRecord& record = member.mRecord;
      if (record.mRole == InstanceRole::Agent &&
          record.mState == InstanceState::Ready &&
          config.IsInService(record.mDomain) &&
          config.AdmissionStateOf({ record.mService, agent }) ==
            AdmissionState::Admitted) {
        served.insert(record.mService);
      }
    }
    for (const ServiceId service : served) {
      const auto* routes =
        mEntries.at(address).mSnapshot->Find(AddressOf(service));
      if (!routes || routes->mCurrent->mBackends.empty()) {
        Broken("P1", "a service with agents has no candidate");
      }
    }
  }
}

void
FleetWorld::CheckAccepted(const Address& aAgent)
{
  const Instant now = mFleet.Now();
  if (!mFleet.Cores().at(aAgent)->MayAct(now)) {
    Broken("Lease", ToString(aAgent) + " accepted without a lease");
  }
  if (now - mAwakeSince[aAgent] <= kFewSeconds || !Strict(kFewSeconds)) {
    return;
  }
  const auto drain = mDrainSince.find(aAgent);
  if (drain != mDrainSince.end() && now - drain->second > kFewSeconds) {
    Broken("P8", ToString(aAgent) + " accepted in a drain");
  }
  const auto out = mOutSince.find(mRecords.at(aAgent).mDomain);
  if (out != mOutSince.end() && now - out->second > kFewSeconds) {
    Broken("P4", ToString(aAgent) + " accepted in a domain that is out");
  }
}

void
FleetWorld::CheckRecovered()
{
  const auto stored = mFleet.mStore.mObjects.find(kKey);
  const DocumentVersion greatest = Greatest();
  if (stored == mFleet.mStore.mObjects.end() ||
      *fake::ParseDocumentVersion(stored->second.mValue) != greatest) {
    Broken("P10", "the store was not restored");
  }
  const auto ready = Ready();
  for (const auto& [address, core] : mFleet.Cores()) {
    if (core->Board().mDocument.mVersion != greatest) {
      Broken("P10", ToString(address) + " did not converge");
    }
    if (!core->Board().mSuspects.empty() && mEntries.contains(address)) {
      for (const Address& suspect : core->Board().mSuspects) {
        // Nothing is sent into a domain that is out, so that the votes on its
        // instances stay as they are until it is back.
        if (mFleet.IsRunning(suspect) &&
            !mOutSince.contains(mRecords.at(suspect).mDomain)) {
          Broken("P1", ToString(suspect) + " is still suspected");
        }
      }
    }
  }
  for (const auto& known : mAgents) {
    // Clang 14 can't capture a structured binding.
    const Address& address = known.first;
    const InstanceRecord& record = mRecords.at(address);
    if (!mFleet.IsRunning(address) || mOutSince.contains(record.mDomain) ||
        mDrainSince.contains(address)) {
      continue;
    }
    for (const Address& entry : ready) {
      const auto* routes =
        mEntries.at(entry).mSnapshot->Find(AddressOf(record.mService));
      const auto& pool = routes->mCurrent->mBackends;
      if (std::none_of(pool.begin(), pool.end(), [&](const Backend& aOne) {
            return aOne.mAgent == address;
          })) {
        Broken("P1", ToString(address) + " gets no flows again");
      }
    }
  }
}

} // namespace snipepost::matrix
