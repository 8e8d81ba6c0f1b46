#include <tests/Matrix/FleetSimulation.h>

#include <ostream>

using namespace std::chrono_literals;

namespace snipepost::matrix {

namespace {

using fake::Fleet;

constexpr std::array<const char*, kFleetActions> kNames{ "Open",
                                                         "Advance",
                                                         "AdvanceLong",
                                                         "DomainOut",
                                                         "DomainBack",
                                                         "Drain",
                                                         "Admit",
                                                         "BackendAnnounced",
                                                         "Touch",
                                                         "EntryDies",
                                                         "EntryJoins",
                                                         "AgentDies",
                                                         "AgentRestarts",
                                                         "AgentFrozen",
                                                         "AgentResumed",
                                                         "LinkOneWay",
                                                         "LinkBothWays",
                                                         "EntryCutOff",
                                                         "RegionsApart",
                                                         "Loss",
                                                         "Duplication",
                                                         "Jitter",
                                                         "StoreDown",
                                                         "StoreSlow",
                                                         "AnswerLost",
                                                         "WatchesStalled",
                                                         "StoreRolledBack",
                                                         "StoreEmpty",
                                                         "OperatorsRace",
                                                         "UpdatesTwice",
                                                         "Calm" };

constexpr size_t kEntries = 5;
constexpr size_t kFirstAgent = 100;
constexpr size_t kAgents = 8;

rc::Gen<FleetAction>
Traffic()
{
  return rc::gen::weightedOneOf<FleetAction>(
    { { 4, rc::gen::just(FleetAction::Open) },
      { 3, rc::gen::just(FleetAction::Advance) },
      { 1, rc::gen::just(FleetAction::AdvanceLong) },
      { 3, Between<FleetAction>(kFirstPlannedChange, kFirstFleetFault) } });
}

} // namespace

std::ostream&
operator<<(std::ostream& aOut, const FleetStep& aStep)
{
  return aOut << kNames.at(static_cast<size_t>(aStep.mAction)) << '('
              << int{ aStep.mFirst } << ", " << int{ aStep.mSecond } << ')';
}

rc::Gen<FleetSchedule>
AnyFleetSchedule()
{
  return rc::gen::scale(
    0.3,
    rc::gen::container<FleetSchedule>(
      StepOf(rc::gen::weightedOneOf<FleetAction>(
        { { 4, Traffic() },
          { 1, Between<FleetAction>(kFirstFleetFault, kFleetActions) } }))));
}

rc::Gen<FleetSchedule>
FleetScheduleWith(FleetAction aFirst, FleetAction aSecond)
{
  const auto traffic =
    rc::gen::scale(0.1, rc::gen::container<FleetSchedule>(StepOf(Traffic())));
  return TrafficAround(traffic, aFirst, aSecond);
}

rc::Gen<FleetSchedule>
FleetScheduleOf(const std::vector<FleetAction>& aActions)
{
  return rc::gen::container<FleetSchedule>(
    20,
    StepOf(rc::gen::weightedOneOf<FleetAction>(
      { { 2, rc::gen::elementOf(aActions) }, { 1, Traffic() } })));
}

void
FleetSimulation::RunStep(const FleetStep& aStep)
{
  const DomainId domain(static_cast<uint8_t>(1 + aStep.mFirst % 3));
  const Address agent = Fleet::At(kFirstAgent + aStep.mFirst % kAgents);
  const BackendTarget target{ ServiceId(aStep.mFirst % kAgents < 5 ? 1 : 2),
                              agent };
  switch (aStep.mAction) {
    case FleetAction::Open:
      Open(aStep);
      return;
    case FleetAction::Advance:
      Advance(aStep.mFirst * 50ms);
      return;
    case FleetAction::AdvanceLong:
      Advance(10s);
      return;
    case FleetAction::DomainOut:
      Submit([&](EffectiveConfig& aConfig) {
        aConfig.mDomains[domain].mState = DomainState::Out;
      });
      return;
    case FleetAction::DomainBack:
      Submit([&](EffectiveConfig& aConfig) {
        aConfig.mDomains[domain].mState = DomainState::In;
      });
      return;
    case FleetAction::Drain:
      Submit([&](EffectiveConfig& aConfig) {
        aConfig.mRules[target] = BackendRuleState::Draining;
      });
      return;
    case FleetAction::Admit:
      Submit([&](EffectiveConfig& aConfig) { aConfig.mRules.erase(target); });
      return;
    case FleetAction::BackendAnnounced:
      if (!mFleet.Cores().contains(Fleet::At(kFirstAgent + kAgents - 1))) {
        StartAgent(kAgents - 1);
      }
      return;
    case FleetAction::Touch:
      Submit([](EffectiveConfig&) {});
      return;
    default:
      break;
  }
  if (aStep.mAction == FleetAction::Calm) {
    EndFaults();
    return;
  }
  mLastActive[aStep.mAction] = mFleet.Now();
  InjectFault(aStep);
}

void
FleetSimulation::InjectFault(const FleetStep& aStep)
{
  auto& store = mFleet.mStore;
  const size_t entry = aStep.mFirst % kEntries;
  const size_t agent = aStep.mFirst % kAgents;
  const Address entryAddress = Fleet::At(entry);
  const Address agentAddress = Fleet::At(kFirstAgent + agent);
  const Address other = Fleet::At(aStep.mSecond % kEntries);
  const auto cut = [this](const Address& aFrom, const Address& aTo) {
    mCutLinks.insert({ aFrom, aTo });
  };
  mActiveFaults.insert(aStep.mAction);
  switch (aStep.mAction) {
    case FleetAction::EntryDies:
      if (LiveInstances(InstanceRole::Entry).size() > 1) {
        mFleet.Kill(entry);
        mEntries.erase(entryAddress);
      }
      break;
    case FleetAction::EntryJoins:
      if (!mFleet.Cores().contains(entryAddress)) {
        StartEntry(entry);
      }
      break;
    case FleetAction::AgentDies:
      mFleet.Kill(kFirstAgent + agent);
      mAgents.erase(agentAddress);
      break;
    case FleetAction::AgentRestarts:
      if (mFleet.Cores().contains(agentAddress)) {
        StartAgent(agent);
      }
      break;
    case FleetAction::AgentFrozen:
      mFleet.Pause(kFirstAgent + agent);
      return;
    case FleetAction::AgentResumed:
      mFleet.Resume(kFirstAgent + agent);
      mRunningSince[agentAddress] = mFleet.Now();
      break;
    case FleetAction::LinkOneWay:
      cut(other, aStep.mSecond % 2 ? entryAddress : agentAddress);
      return;
    case FleetAction::LinkBothWays:
      cut(other, aStep.mSecond % 2 ? entryAddress : agentAddress);
      cut(aStep.mSecond % 2 ? entryAddress : agentAddress, other);
      return;
    case FleetAction::EntryCutOff:
      for (size_t i = 0; i < kEntries; ++i) {
        cut(entryAddress, Fleet::At(i));
        cut(Fleet::At(i), entryAddress);
      }
      return;
    case FleetAction::RegionsApart:
      for (const auto& [left, one] : mRecords) {
        for (const auto& [right, two] : mRecords) {
          if ((one.mDomain.Value() == 1) != (two.mDomain.Value() == 1)) {
            cut(left, right);
          }
        }
      }
      return;
    case FleetAction::Loss:
      mFleet.mLoss = 10;
      return;
    case FleetAction::Duplication:
      mFleet.mDuplication = 30;
      return;
    case FleetAction::Jitter:
      mFleet.mJitter = 300ms;
      return;
    case FleetAction::StoreDown:
      store.mDown = true;
      return;
    case FleetAction::StoreSlow:
      store.mDelay = 2s;
      return;
    case FleetAction::AnswerLost:
      store.mLoseAnswers += 1 + aStep.mFirst % 4;
      break;
    case FleetAction::WatchesStalled:
      store.mWatchesStalled = true;
      return;
    case FleetAction::StoreRolledBack:
      store.mObjects = mStoreBackup.mObjects;
      store.mRevision = mStoreBackup.mRevision;
      break;
    case FleetAction::StoreEmpty:
      store.mObjects.clear();
      store.mRevision = 0;
      break;
    case FleetAction::OperatorsRace:
      Submit([](EffectiveConfig&) {}, true);
      break;
    case FleetAction::UpdatesTwice:
      for (const auto& [text, config] : mConfigs) {
        const auto live = LiveInstances(aStep.mFirst % 2 ? InstanceRole::Entry
                                                         : InstanceRole::Agent);
        const auto version = fake::ParseDocumentVersion(text);
        if (!live.empty() && version && *version <= GreatestVersion()) {
          mFleet.Feed(live[aStep.mSecond % live.size()],
                      DocumentPullEnded{ other, text });
        }
      }
      break;
    default:
      break;
  }
  mActiveFaults.erase(aStep.mAction);
}

/// Ends all faults that are still active.
void
FleetSimulation::EndFaults()
{
  auto& store = mFleet.mStore;
  for (const auto& [address, record] : mRecords) {
    if (mFleet.Cores().contains(address) && !mFleet.IsRunning(address)) {
      mFleet.Resume(address.mPort - Fleet::At(0).mPort);
      mRunningSince[address] = mFleet.Now();
    }
  }
  mCutLinks.clear();
  mFleet.mLoss = 0;
  mFleet.mDuplication = 0;
  mFleet.mJitter = {};
  store.mDown = false;
  store.mDelay = {};
  store.mWatchesStalled = false;
  store.mLoseAnswers = 0;
  mActiveFaults.clear();
}

} // namespace snipepost::matrix
