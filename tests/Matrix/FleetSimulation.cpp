#include <tests/Matrix/FleetSimulation.h>

#include <algorithm>
#include <variant>

using namespace std::chrono_literals;

namespace snipepost::matrix {

namespace {

using fake::Fleet;

constexpr size_t kFirstAgent = 100;
constexpr size_t kAgents = 8;
constexpr size_t kAgentsOfFirstService = 5;
/// Time limit of P10.
constexpr Duration kDistributionLimit = 9s;
constexpr Duration kTimeStep = 200ms;
const char* const kDocumentKey = "deployments/test";

ServiceId
ServiceOf(size_t aAgent)
{
  return ServiceId(aAgent < kAgentsOfFirstService ? 1 : 2);
}

DomainId
DomainOf(size_t aIndex)
{
  return DomainId(static_cast<uint8_t>(1 + aIndex % 3));
}

EffectiveConfig
InitialConfig()
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

FleetSimulation::FleetSimulation(const FleetSafeguards& aSafeguards)
  : mSafeguards(aSafeguards)
{
  mFleet.mOptions.mDeployment = "test";
  mFleet.mOptions.mSafeguards = aSafeguards.mMembership;
  mFleet.mOptions.mLease = 20s;
  mFleet.mOptions.mSeeds = { Fleet::At(0), Fleet::At(1), Fleet::At(2) };
  mFleet.mStep = 50ms;
  mFleet.mCut = [this](const Address& aFrom, const Address& aTo) {
    return mCutLinks.contains({ aFrom, aTo });
  };
  mFleet.mOnChange = [this](const Address& aAddress) {
    UpdateInstance(aAddress);
  };
  for (size_t i = 0; i < 3; ++i) {
    StartEntry(i);
  }
  for (size_t i = 0; i + 1 < kAgents; ++i) {
    StartAgent(i);
  }
  Submit([](EffectiveConfig& aConfig) { aConfig = InitialConfig(); });
  Advance(4s);
  mStoreBackup = mFleet.mStore;
}

std::vector<Violation>
FleetSimulation::Run(const FleetSchedule& aSchedule)
{
  for (const FleetStep& step : aSchedule) {
    RunStep(step);
    TrackDocuments();
  }
  EndFaults();
  Advance(50s);
  CheckRecovered();
  return mViolations;
}

void
FleetSimulation::StartEntry(size_t aIndex)
{
  InstanceRecord own;
  own.mAddress = Fleet::At(aIndex);
  own.mDomain = DomainOf(aIndex);
  own.mState = InstanceState::Ready;
  own.mVersion.mIncarnation = Incarnation(++mLastIncarnation);
  mRecords[own.mAddress] = own;
  mRunningSince[own.mAddress] = mFleet.Now();
  mLastVersions.erase(own.mAddress);
  mEntries.insert_or_assign(
    own.mAddress, Entry{ EntryRouter(kKeys, mSafeguards.mRouting), nullptr });
  mFleet.Start(own);
}

void
FleetSimulation::StartAgent(size_t aIndex)
{
  InstanceRecord own;
  own.mRole = InstanceRole::Agent;
  own.mAddress = Fleet::At(kFirstAgent + aIndex);
  own.mService = ServiceOf(aIndex);
  own.mDomain = DomainOf(aIndex);
  own.mSlots = 4;
  own.mVersion.mIncarnation = Incarnation(++mLastIncarnation);
  mRecords[own.mAddress] = own;
  mRunningSince[own.mAddress] = mFleet.Now();
  mLastVersions.erase(own.mAddress);
  AgentOptions options;
  options.mAddress = own.mAddress;
  options.mIncarnation = own.mVersion.mIncarnation;
  options.mSafeguards = mSafeguards.mAdmission;
  // An agent accepts no flows until it has a document.
  AgentConfig initialConfig;
  initialConfig.mDomainOut = true;
  mAgents.insert_or_assign(
    own.mAddress,
    Agent{ AgentCore(options, initialConfig, kKeys, mFleet.Now()),
           mLastIncarnation,
           {},
           {} });
  Apply(mAgents.at(own.mAddress),
        mAgents.at(own.mAddress)
          .mCore.OnBackendState({ true, "boot", BackendHealth::Ok, 1.0, 4 },
                                mFleet.Now()));
  mFleet.Start(own);
}

const EffectiveConfig*
FleetSimulation::ConfigOf(const Address& aAddress) const
{
  const auto core = const_cast<Fleet&>(mFleet).Cores().find(aAddress); // NOLINT
  const auto found = mConfigs.find(core->second->Board().mDocument.mText);
  return found == mConfigs.end() ? nullptr : &found->second;
}

void
FleetSimulation::UpdateInstance(const Address& aAddress)
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
    ConfigureAgent(aAddress);
  }
}

void
FleetSimulation::ConfigureAgent(const Address& aAddress)
{
  const EffectiveConfig& config = *ConfigOf(aAddress);
  const InstanceRecord& own = mRecords.at(aAddress);
  AgentConfig agentConfig;
  agentConfig.mDraining = config.AdmissionStateOf({ own.mService, aAddress }) !=
                          AdmissionState::Admitted;
  agentConfig.mDomainOut = !config.IsInService(own.mDomain);
  Agent& agent = mAgents.at(aAddress);
  Apply(agent, agent.mCore.OnConfig({ agentConfig }, mFleet.Now()));
}

void
FleetSimulation::Apply(Agent& aAgent, const Effects& aEffects)
{
  for (const Effect& effect : aEffects) {
    if (const auto* close = std::get_if<CloseFlow>(&effect)) {
      aAgent.mFlows.erase(close->mFlow);
    }
  }
}

void
FleetSimulation::TickAgents()
{
  const Instant now = mFleet.Now();
  for (auto& [address, agent] : mAgents) {
    if (!mFleet.IsRunning(address)) {
      continue;
    }
    MembershipCore& core = *mFleet.Cores().at(address);
    const Blackboard& board = core.Board();
    for (const auto& [prober, at] : board.mProbers) {
      if (at > agent.mLastConfirmation) {
        agent.mLastConfirmation = at;
        Apply(agent, agent.mCore.OnConfirmedByEntry({}, at < now ? now : at));
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
FleetSimulation::Advance(Duration aTime)
{
  for (Duration passed{}; passed < aTime; passed += kTimeStep) {
    mFleet.Run(kTimeStep);
    TickAgents();
    for (const FleetAction fault : mActiveFaults) {
      mLastActive[fault] = mFleet.Now();
    }
    TrackDocuments();
    CheckDocuments();
  }
  CheckViews();
  SendOnAllFlows();
}

std::vector<Address>
FleetSimulation::LiveInstances(InstanceRole aRole) const
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
FleetSimulation::ReadyEntries() const
{
  auto ready = LiveInstances(InstanceRole::Entry);
  std::erase_if(ready, [this](const Address& aAddress) {
    const EffectiveConfig* config = ConfigOf(aAddress);
    return !mEntries.at(aAddress).mSnapshot || !config ||
           !config->IsInService(mRecords.at(aAddress).mDomain);
  });
  return ready;
}

// Operators: like snipepostctl, they query instances and the store.

DocumentVersion
FleetSimulation::GreatestVersion()
{
  const auto stored = mFleet.mStore.mObjects.find(kDocumentKey);
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
FleetSimulation::Submit(const Edit& aEdit, bool aTwice)
{
  auto& store = mFleet.mStore;
  if (store.mDown) {
    return;
  }
  const DocumentVersion base = GreatestVersion();
  const auto textOf = [](const DocumentVersion& aVersion) {
    return std::to_string(aVersion.mGeneration.Value()) + "/" +
           aVersion.mSubmission.Value();
  };
  const auto stored = store.mObjects.find(kDocumentKey);
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
    const auto outcome =
      store.Write({ kDocumentKey, text, condition, {} }, version);
    const bool written = store.mObjects[kDocumentKey].mValue == text;
    if (written) {
      mNewestText = text;
      mAcceptedAt = mFleet.Now();
      mReceivedAt.reset();
    } else if (outcome != ObjectOutcome::Conflict) {
      AddViolation("P10",
                   "a racing submission was not rejected with a conflict");
    }
  }
  TrackDocuments();
}

void
FleetSimulation::TrackDocuments()
{
  const auto newest = fake::ParseDocumentVersion(mNewestText);
  if (!mReceivedAt) {
    for (const auto& [address, core] : mFleet.Cores()) {
      if (mFleet.IsRunning(address) &&
          core->Board().mDocument.mVersion == *newest) {
        mReceivedAt = mFleet.Now();
      }
    }
  }
  if (!mReceivedAt) {
    return;
  }
  const EffectiveConfig& config = mConfigs.at(mNewestText);
  for (const auto& [id, domain] : config.mDomains) {
    if (domain.mState == DomainState::Out) {
      mDomainOutSince.emplace(id, *mReceivedAt);
    } else {
      mDomainOutSince.erase(id);
    }
  }
  for (const auto& [address, agent] : mAgents) {
    const auto admission =
      config.AdmissionStateOf({ mRecords.at(address).mService, address });
    if (admission == AdmissionState::Draining) {
      mDrainSince.emplace(address, *mReceivedAt);
    } else {
      mDrainSince.erase(address);
    }
  }
}

// Checks.

void
FleetSimulation::AddViolation(const char* aLabel, const std::string& aText)
{
  if (mViolations.size() < 4) {
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
                      mFleet.Now().time_since_epoch())
                      .count();
    mViolations.push_back(
      { aLabel, aText + ", at virtual time (ms) " + std::to_string(at) });
  }
}

/// True when more than aTime has passed since the newest document reached a
/// running instance, and at most one kind of fault has been active since 20 s
/// before that.
bool
FleetSimulation::LimitApplies(Duration aTime) const
{
  if (!mReceivedAt || mFleet.Now() - *mReceivedAt <= aTime) {
    return false;
  }
  const auto recent = std::count_if(
    mLastActive.begin(), mLastActive.end(), [this](const auto& aFault) {
      return aFault.second + 20s >= *mReceivedAt;
    });
  return recent <= 1;
}

void
FleetSimulation::CheckDocuments()
{
  for (const auto& [address, core] : mFleet.Cores()) {
    const DocumentVersion& version = core->Board().mDocument.mVersion;
    DocumentVersion& last = mLastVersions[address];
    if (version < last) {
      AddViolation("P10", ToString(address) + " reverted to an older document");
    }
    last = version;
    const bool runningLongEnough =
      mFleet.IsRunning(address) &&
      mFleet.Now() - mRunningSince[address] > kDistributionLimit;
    if (runningLongEnough && LimitApplies(kDistributionLimit) &&
        version != *fake::ParseDocumentVersion(mNewestText)) {
      AddViolation("P10",
                   ToString(address) + " does not have the newest document, " +
                     mNewestText);
    }
  }
}

/// Checks that no instance is suspected because of one cut link, and that each
/// service with available agents has candidates.
void
FleetSimulation::CheckViews()
{
  std::set<FleetAction> recent;
  for (const auto& [fault, at] : mLastActive) {
    if (at + 20s >= mFleet.Now()) {
      recent.insert(fault);
    }
  }
  const bool oneLink = recent.size() == 1 && mCutLinks.size() <= 2 &&
                       (recent.contains(FleetAction::LinkOneWay) ||
                        recent.contains(FleetAction::LinkBothWays)) &&
                       LiveInstances(InstanceRole::Entry).size() > 2 &&
                       mDomainOutSince.empty();
  for (const Address& address : ReadyEntries()) {
    const Blackboard& board = mFleet.Cores().at(address)->Board();
    if (oneLink && !board.mSuspects.empty()) {
      AddViolation("P1", "an instance is suspected because of one cut link");
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
        AddViolation("P1", "a service with available agents has no candidate");
      }
    }
  }
}

void
FleetSimulation::CheckAccepted(const Address& aAgent)
{
  const Instant now = mFleet.Now();
  if (!mFleet.Cores().at(aAgent)->MayAct(now)) {
    AddViolation("Lease",
                 ToString(aAgent) + " accepted a flow without a lease");
  }
  if (now - mRunningSince[aAgent] <= kPropagationLimit ||
      !LimitApplies(kPropagationLimit)) {
    return;
  }
  const auto drain = mDrainSince.find(aAgent);
  if (drain != mDrainSince.end() && now - drain->second > kPropagationLimit) {
    AddViolation("P8", ToString(aAgent) + " accepted a flow while draining");
  }
  const auto out = mDomainOutSince.find(mRecords.at(aAgent).mDomain);
  if (out != mDomainOutSince.end() && now - out->second > kPropagationLimit) {
    AddViolation("P4",
                 ToString(aAgent) + " accepted a flow in a domain that is out");
  }
}

void
FleetSimulation::CheckRecovered()
{
  const auto stored = mFleet.mStore.mObjects.find(kDocumentKey);
  const DocumentVersion greatest = GreatestVersion();
  if (stored == mFleet.mStore.mObjects.end() ||
      *fake::ParseDocumentVersion(stored->second.mValue) != greatest) {
    AddViolation("P10", "the store was not restored");
  }
  const auto ready = ReadyEntries();
  for (const auto& [address, core] : mFleet.Cores()) {
    if (core->Board().mDocument.mVersion != greatest) {
      AddViolation("P10",
                   ToString(address) +
                     " does not have the newest document at the end");
    }
    if (!core->Board().mSuspects.empty() && mEntries.contains(address)) {
      for (const Address& suspect : core->Board().mSuspects) {
        // Nothing is sent into a domain that is out, so the votes on its
        // instances don't change until it is back in service.
        if (mFleet.IsRunning(suspect) &&
            !mDomainOutSince.contains(mRecords.at(suspect).mDomain)) {
          AddViolation("P1", ToString(suspect) + " is still suspected");
        }
      }
    }
  }
  for (const auto& each : mAgents) {
    // Clang 14 can't capture a structured binding.
    const Address& address = each.first;
    const InstanceRecord& record = mRecords.at(address);
    if (!mFleet.IsRunning(address) ||
        mDomainOutSince.contains(record.mDomain) ||
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
        AddViolation("P1",
                     ToString(address) + " did not become a candidate again");
      }
    }
  }
}

} // namespace snipepost::matrix
