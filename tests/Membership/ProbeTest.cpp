#include <boost/test/unit_test.hpp>

#include <algorithm>

#include <tests/Membership/FakeFleet.h>

using namespace snipepost;
using namespace std::chrono_literals;
using fake::Fleet;

namespace {

constexpr uint64_t kSeed = 20261205;
constexpr size_t kAgent = 1000;
constexpr size_t kEntries = 3;

void
StartFleet(Fleet& aFleet)
{
  for (size_t i = 0; i < kEntries; ++i) {
    aFleet.Start(i, InstanceRole::Entry);
  }
  aFleet.Start(kAgent, InstanceRole::Agent);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ProbeTest)

// Guards against probes that use up most of an instance's control budget while
// all targets reply.
BOOST_AUTO_TEST_CASE(RespondingTarget_IsProbedOncePerSecond)
{
  Fleet fleet(kSeed);
  StartFleet(fleet);
  fleet.Run(10s);
  const uint64_t before = fleet.ProbesTo(kAgent);
  fleet.Run(60s);
  // Three probers, plus 10% jitter.
  BOOST_TEST(fleet.ProbesTo(kAgent) - before <= 200U);
}

// Guards against a probe interval that delays the detection of a dead agent.
// Each prober must detect it within 4 x 550 ms, the time that it would take
// with a constant interval of 500 ms and 10% jitter.
BOOST_AUTO_TEST_CASE(P1_AgentKilled_DetectionIsAsFastAsWithAConstantInterval)
{
  for (int phase = 0; phase < 20; ++phase) {
    Fleet fleet(kSeed + static_cast<uint64_t>(phase));
    StartFleet(fleet);
    fleet.Run(10s + phase * 50ms);
    fleet.Kill(kAgent);
    const auto allVotedDown = [&] {
      return std::ranges::all_of(fleet.Cores(), [](const auto& aCore) {
        const auto& votes = aCore.second->Board().mVotes;
        const auto own = votes.find({ Fleet::At(kAgent), aCore.first });
        return own != votes.end() && own->second.mDown;
      });
    };
    BOOST_TEST((fleet.RunUntil(10s, allVotedDown) <= 2200ms));
  }
}

// Guards against delayed replies that count as lost: a round trip of 100 to
// 180 ms, many times that between failure domains, must not cause a probe to be
// repeated.
BOOST_AUTO_TEST_CASE(P1_RepliesDelayed_NoProbeCountsAsLost)
{
  Fleet fleet(kSeed);
  fleet.mDelay = 50ms;
  fleet.mJitter = 40ms;
  StartFleet(fleet);
  fleet.Run(60s);
  for (const auto& [address, core] : fleet.Cores()) {
    BOOST_TEST(core->Board().mCounters.mProbesLost == 0U);
    BOOST_TEST(core->Board().mSuspects.empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()
