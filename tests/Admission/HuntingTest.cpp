#include <boost/test/unit_test.hpp>

#include <vector>

#include <snipepost/Admission/Hunting.h>

using namespace snipepost;

namespace {

using Action = HuntingDecision::Action;

struct Agent
{
  HuntingState mState{};
  bool mOwnsFlow = false;
};

struct Outcome
{
  HuntingDecision mLast{};
  uint8_t mAt = 0;
  int mSteps = 0;
};

/// Sends a packet along the candidates, as the daemon would, from aStart.
Outcome
Walk(const std::vector<Agent>& aAgents, PacketKind aKind, uint8_t aStart = 0)
{
  Outcome outcome{ .mAt = aStart };
  const auto count = static_cast<uint8_t>(aAgents.size());
  FirstPacket packet{ .mCandidates = count,
                      .mPresent = std::min<uint8_t>(count, 2) };
  for (; outcome.mSteps < 10; ++outcome.mSteps, ++packet.mHops) {
    const Agent& agent = aAgents[outcome.mAt];
    packet.mOwnIndex = outcome.mAt;
    packet.mKind = agent.mOwnsFlow ? PacketKind::Owned : aKind;
    outcome.mLast = Hunt(packet, agent.mState);
    if (outcome.mLast.mAction != Action::HandOn) {
      break;
    }
    outcome.mAt = outcome.mLast.mCandidate;
  }
  return outcome;
}

const Agent kFree{ { .mAble = true, .mUnderThreshold = true } };
const Agent kBusy{ { .mAble = true, .mUnderThreshold = false } };
const Agent kUnable{ { .mAble = false, .mUnderThreshold = true } };

void
Expect(const Outcome& aOutcome, Action aAction, int aAt)
{
  BOOST_TEST((aOutcome.mLast.mAction == aAction));
  BOOST_TEST(int{ aOutcome.mAt } == aAt);
}

} // namespace

BOOST_AUTO_TEST_SUITE(HuntingTest)

BOOST_AUTO_TEST_CASE(OpeningPacketGoesToTheFirstThatIsFree)
{
  const auto opening = PacketKind::Opening;
  Expect(Walk({ kFree, kFree }, opening), Action::Accept, 0);
  Expect(Walk({ kBusy, kBusy }, opening), Action::Accept, 1);
  Expect(Walk({ kUnable, kBusy }, opening), Action::Accept, 1);
  Expect(Walk({ kBusy, kUnable }, opening), Action::Accept, 0);
  Expect(Walk({ kUnable, kUnable }, opening), Action::Refuse, 0);
  Expect(Walk({ kBusy }, opening), Action::Accept, 0);
  Expect(Walk({ kUnable }, opening), Action::Refuse, 0);
}

// Guards against flows that open at an agent of the previous table.
BOOST_AUTO_TEST_CASE(OpeningPacketStaysWithinThePresentTable)
{
  const std::vector<Agent> agents{ kUnable, kUnable, kFree, kFree };
  Expect(Walk(agents, PacketKind::Opening), Action::Refuse, 0);
}

// P1: guards against packets of an established flow that are lost while entry
// instances and agents hold different tables.
BOOST_AUTO_TEST_CASE(P1_UnevenTables_UnknownFlowIsFoundAtAnyCandidate)
{
  for (uint8_t owner = 0; owner < 4; ++owner) {
    for (uint8_t start = 0; start < 4; ++start) {
      std::vector<Agent> agents(4, kFree);
      agents[owner] = { kUnable.mState, true };
      Expect(Walk(agents, PacketKind::Unknown, start), Action::Accept, owner);
    }
  }
}

// Guards against packets that circulate among agents for ever.
BOOST_AUTO_TEST_CASE(HopsAreBounded)
{
  const std::vector<Agent> agents(4, kFree);
  const auto dropped = Walk(agents, PacketKind::Unknown);
  BOOST_TEST((dropped.mLast.mAction == Action::Drop));
  BOOST_TEST(dropped.mSteps < int{ kMaxHops });
  BOOST_TEST(Walk({ kUnable, kUnable }, PacketKind::Opening).mSteps == 2);
  const FirstPacket tired{
    .mOwnIndex = 1, .mCandidates = 2, .mPresent = 2, .mHops = kMaxHops
  };
  BOOST_TEST((Hunt(tired, kUnable.mState).mAction == Action::Refuse));
}

BOOST_AUTO_TEST_SUITE_END()
