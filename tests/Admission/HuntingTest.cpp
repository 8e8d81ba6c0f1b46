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

/// Forwards a packet between the candidates as the daemon does, beginning at
/// aStart.
Outcome
ForwardUntilDecided(const std::vector<Agent>& aAgents,
                    PacketKind aKind,
                    uint8_t aStart = 0)
{
  Outcome outcome{ .mAt = aStart };
  const auto count = static_cast<uint8_t>(aAgents.size());
  ReceivedPacket packet{ .mCandidates = count,
                         .mFromCurrentTable = std::min<uint8_t>(count, 2) };
  for (; outcome.mSteps < 10; ++outcome.mSteps, ++packet.mHops) {
    const Agent& agent = aAgents[outcome.mAt];
    packet.mOwnIndex = outcome.mAt;
    packet.mKind = agent.mOwnsFlow ? PacketKind::Owned : aKind;
    outcome.mLast = Hunt(packet, agent.mState);
    if (outcome.mLast.mAction != Action::ForwardToCandidate) {
      break;
    }
    outcome.mAt = outcome.mLast.mCandidate;
  }
  return outcome;
}

const Agent kFree{ { .mCanAccept = true, .mHasCapacity = true } };
const Agent kBusy{ { .mCanAccept = true, .mHasCapacity = false } };
const Agent kNotAccepting{ { .mCanAccept = false, .mHasCapacity = true } };

void
Expect(const Outcome& aOutcome, Action aAction, int aAt)
{
  BOOST_TEST((aOutcome.mLast.mAction == aAction));
  BOOST_TEST(int{ aOutcome.mAt } == aAt);
}

} // namespace

BOOST_AUTO_TEST_SUITE(HuntingTest)

BOOST_AUTO_TEST_CASE(InitialPacketGoesToTheFirstFreeCandidate)
{
  const auto initial = PacketKind::Initial;
  Expect(ForwardUntilDecided({ kFree, kFree }, initial), Action::Accept, 0);
  Expect(ForwardUntilDecided({ kBusy, kBusy }, initial), Action::Accept, 1);
  Expect(
    ForwardUntilDecided({ kNotAccepting, kBusy }, initial), Action::Accept, 1);
  Expect(
    ForwardUntilDecided({ kBusy, kNotAccepting }, initial), Action::Accept, 0);
  Expect(ForwardUntilDecided({ kNotAccepting, kNotAccepting }, initial),
         Action::Refuse,
         0);
  Expect(ForwardUntilDecided({ kBusy }, initial), Action::Accept, 0);
  Expect(ForwardUntilDecided({ kNotAccepting }, initial), Action::Refuse, 0);
}

// Guards against new flows at an agent of the previous table.
BOOST_AUTO_TEST_CASE(InitialPacketStaysWithinTheCurrentTable)
{
  const std::vector<Agent> agents{ kNotAccepting, kNotAccepting, kFree, kFree };
  Expect(ForwardUntilDecided(agents, PacketKind::Initial), Action::Refuse, 0);
}

// Guards against packets of an established flow that are lost while entry
// instances and agents use different tables.
BOOST_AUTO_TEST_CASE(P1_UnevenTables_UnknownFlowIsFoundAtAnyCandidate)
{
  for (uint8_t owner = 0; owner < 4; ++owner) {
    for (uint8_t start = 0; start < 4; ++start) {
      std::vector<Agent> agents(4, kFree);
      agents[owner] = { kNotAccepting.mState, true };
      Expect(ForwardUntilDecided(agents, PacketKind::Unknown, start),
             Action::Accept,
             owner);
    }
  }
}

// Guards against packets that are forwarded between agents forever.
BOOST_AUTO_TEST_CASE(HopsAreBounded)
{
  const std::vector<Agent> agents(4, kFree);
  const auto dropped = ForwardUntilDecided(agents, PacketKind::Unknown);
  BOOST_TEST((dropped.mLast.mAction == Action::Drop));
  BOOST_TEST(dropped.mSteps < int{ kMaxHops });
  BOOST_TEST(
    ForwardUntilDecided({ kNotAccepting, kNotAccepting }, PacketKind::Initial)
      .mSteps == 2);
  const ReceivedPacket atHopLimit{
    .mOwnIndex = 1, .mCandidates = 2, .mFromCurrentTable = 2, .mHops = kMaxHops
  };
  BOOST_TEST(
    (Hunt(atHopLimit, kNotAccepting.mState).mAction == Action::Refuse));
}

BOOST_AUTO_TEST_SUITE_END()
