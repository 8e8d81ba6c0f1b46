#include <algorithm>

#include <boost/test/unit_test.hpp>

#include <snipepost/View/SnapshotBuilder.h>

using namespace snipepost;

namespace {

constexpr ServiceId kService(1);
constexpr Address kServiceAddress{ 0x7f000101, 4433 };

Address
AgentAddress(uint16_t aNumber)
{
  return { 0x7f000002, static_cast<uint16_t>(9000 + aNumber) };
}

/// One service with six agents, two in each of three failure domains.
struct Fixture
{
  Fixture()
  {
    mConfig.mGeneration = Generation(5);
    Service service;
    service.mId = kService;
    service.mAddress = kServiceAddress;
    mConfig.mServices[kService] = service;
    for (uint8_t i = 1; i <= 3; ++i) {
      FailureDomain domain;
      domain.mId = DomainId(i);
      mConfig.mDomains[domain.mId] = domain;
    }
    for (uint16_t i = 0; i < 6; ++i) {
      InstanceRecord record;
      record.mRole = InstanceRole::Agent;
      record.mAddress = AgentAddress(i);
      record.mDomain = DomainId(static_cast<uint8_t>(1 + i % 3));
      record.mService = kService;
      record.mState = InstanceState::Ready;
      record.mVersion.mIncarnation = Incarnation(0x10000 + i);
      mBoard.mMembers[record.mAddress].mRecord = record;
    }
  }

  InstanceRecord& Record(uint16_t aNumber)
  {
    return mBoard.mMembers[AgentAddress(aNumber)].mRecord;
  }

  /// Port offsets of the agents that accept new flows.
  std::vector<int> EligibleAgents() const
  {
    const auto snapshot = BuildSnapshot(mConfig, mBoard, nullptr);
    std::vector<int> numbers;
    for (const auto& backend :
         snapshot->Find(kServiceAddress)->mCurrent->mBackends) {
      numbers.push_back(backend.mAgent.mPort - 9000);
    }
    std::ranges::sort(numbers);
    return numbers;
  }

  void ExpectEligible(const std::vector<int>& aNumbers) const
  {
    BOOST_TEST(EligibleAgents() == aNumbers, boost::test_tools::per_element());
  }

  EffectiveConfig mConfig;
  Blackboard mBoard;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SnapshotBuilderTest, Fixture)

BOOST_AUTO_TEST_CASE(AllReadyAgentsAcceptNewFlows)
{
  ExpectEligible({ 0, 1, 2, 3, 4, 5 });
  const auto snapshot = BuildSnapshot(mConfig, mBoard, nullptr);
  BOOST_TEST((snapshot->DocumentGeneration() == Generation(5)));
  const auto& backends = snapshot->Find(kServiceAddress)->mCurrent->mBackends;
  for (const Backend& backend : backends) {
    BOOST_TEST(backend.mWeight == 1);
    BOOST_TEST(backend.mIncarnation == backend.mAgent.mPort - 9000);
  }
}

BOOST_AUTO_TEST_CASE(OnlyReadyAgentsAcceptNewFlows)
{
  Record(0).mState = InstanceState::Starting;
  Record(1).mState = InstanceState::Draining;
  Record(2).mState = InstanceState::Left;
  Record(3).mRole = InstanceRole::Entry;
  ExpectEligible({ 4, 5 });
}

BOOST_AUTO_TEST_CASE(P8_Draining_TheBackendServerLeavesTheTable)
{
  mConfig.mRules[{ kService, AgentAddress(2) }] = BackendRuleState::Draining;
  ExpectEligible({ 0, 1, 3, 4, 5 });
}

BOOST_AUTO_TEST_CASE(P3_ManualAdmission_OnlyAdmittedBackendServersAreEligible)
{
  mConfig.mServices[kService].mAdmission = AdmissionMode::Manual;
  ExpectEligible({});
  mConfig.mRules[{ kService, AgentAddress(2) }] = BackendRuleState::Admitted;
  ExpectEligible({ 2 });
}

BOOST_AUTO_TEST_CASE(P4_DomainOut_ItsAgentsLeaveAndTheDomainIsMarked)
{
  mConfig.mDomains[DomainId(2)].mState = DomainState::Out;
  ExpectEligible({ 0, 2, 3, 5 });
  const auto snapshot = BuildSnapshot(mConfig, mBoard, nullptr);
  BOOST_TEST(snapshot->IsOut(DomainId(2)));
  BOOST_TEST(!snapshot->IsOut(DomainId(1)));
}

BOOST_AUTO_TEST_CASE(AgentInUnconfiguredDomain_AcceptsNoFlows)
{
  Record(4).mDomain = DomainId(9);
  ExpectEligible({ 0, 1, 2, 3, 5 });
}

// Guards against new flows to an agent that can't be reached.
BOOST_AUTO_TEST_CASE(P1_AgentsUnreachable_UpToHalfAreLeftOut)
{
  mBoard.mSuspects = { AgentAddress(0), AgentAddress(1), AgentAddress(2) };
  ExpectEligible({ 3, 4, 5 });
}

// Guards against an instance that removes all agents of a service because its
// own network link is faulty.
BOOST_AUTO_TEST_CASE(P1_OwnLinkDown_SuspicionOfMoreThanHalfIsIgnored)
{
  for (uint16_t i = 0; i < 4; ++i) {
    mBoard.mSuspects.insert(AgentAddress(i));
  }
  ExpectEligible({ 0, 1, 2, 3, 4, 5 });
}

// Guards against a panic threshold that sends new flows to a failure domain
// that an operator took out.
BOOST_AUTO_TEST_CASE(P4_DomainOutAndSuspicion_TheDomainStaysOut)
{
  mConfig.mDomains[DomainId(1)].mState = DomainState::Out;
  for (uint16_t i = 0; i < 6; ++i) {
    mBoard.mSuspects.insert(AgentAddress(i));
  }
  ExpectEligible({ 1, 2, 4, 5 });
}

BOOST_AUTO_TEST_SUITE_END()
