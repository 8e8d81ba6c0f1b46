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

// Guards against probes that spend most of a node's control budget while all
// targets answer.
BOOST_AUTO_TEST_CASE(AnAnsweringTargetIsProbedOnceASecond)
{
  Fleet fleet(kSeed);
  StartFleet(fleet);
  fleet.Run(10s);
  const uint64_t before = fleet.ProbesTo(kAgent);
  fleet.Run(60s);
  // Three probers, and a tenth of spread.
  BOOST_TEST(fleet.ProbesTo(kAgent) - before <= 200U);
}

// Guards against a longer interval that makes a dead agent known later. With
// 500 ms and a tenth of spread, each prober knew within 4 x 550 ms.
BOOST_AUTO_TEST_CASE(P1_AgentKilled_ThreeLostProbesAreKnownAsSoonAsBefore)
{
  for (int phase = 0; phase < 20; ++phase) {
    Fleet fleet(kSeed + static_cast<uint64_t>(phase));
    StartFleet(fleet);
    fleet.Run(10s + phase * 50ms);
    fleet.Kill(kAgent);
    const auto all = [&] {
      return std::ranges::all_of(fleet.Cores(), [](const auto& aCore) {
        const auto& votes = aCore.second->Board().mVotes;
        const auto own = votes.find({ Fleet::At(kAgent), aCore.first });
        return own != votes.end() && own->second.mDown;
      });
    };
    BOOST_TEST((fleet.RunUntil(10s, all) <= 2200ms));
  }
}

// Guards against replies that are counted as lost because they are late: the
// repetition must come after a round trip of 100 to 180 ms, many times that
// between failure domains.
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
