#include <set>

#include <boost/test/unit_test.hpp>

#include <src/Daemon/ReturnPaths.h>

using namespace snipepost;
using namespace std::chrono_literals;

namespace {

constexpr ConnectionHandle kFlow(1);
constexpr Address kFirst{ 0x7f000001, 7001 };
constexpr Address kSecond{ 0x7f000001, 7002 };
constexpr Address kThird{ 0x7f000001, 7003 };
const Instant kStart{ 1h };

} // namespace

BOOST_AUTO_TEST_SUITE(ReturnPathsTest)

BOOST_AUTO_TEST_CASE(NothingHeardAndNoSeeds_NoPath)
{
  ReturnPaths paths;
  BOOST_TEST(!paths.Choose(kFlow, kStart));
}

// Guards against an agent that can't answer its first flow because no entry
// instance has probed it yet.
BOOST_AUTO_TEST_CASE(SeedsTakeTurnsUntilAnEntryWasHeard)
{
  ReturnPaths paths;
  paths.SetSeeds({ kFirst, kSecond });
  BOOST_TEST((paths.Choose(kFlow, kStart) == kFirst));
  BOOST_TEST((paths.Choose(kFlow, kStart) == kSecond));
  BOOST_TEST((paths.Choose(kFlow, kStart) == kFirst));
  paths.Heard(kThird, kStart);
  BOOST_TEST((paths.Choose(kFlow, kStart) == kThird));
}

BOOST_AUTO_TEST_CASE(AnActiveFlowKeepsToTheEntryThatDeliveredItsLatestPacket)
{
  ReturnPaths paths;
  paths.Heard(kFirst, kStart);
  paths.Heard(kFlow, kSecond, kStart);
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST((paths.Choose(kFlow, kStart + 50ms) == kSecond));
  }
}

// Guards against repetitions of a lost packet that all go to the entry
// instance that died: a silent flow uses every live one in turn.
BOOST_AUTO_TEST_CASE(P1_EntryDies_ASilentFlowTriesEveryLiveEntry)
{
  ReturnPaths paths;
  paths.Heard(kFirst, kStart);
  paths.Heard(kThird, kStart);
  paths.Heard(kFlow, kSecond, kStart);
  std::set<Address> chosen;
  for (int i = 0; i < 3; ++i) {
    chosen.insert(*paths.Choose(kFlow, kStart + 200ms));
  }
  BOOST_TEST(chosen.size() == 3U);
}

// Guards against packets that keep going to an entry instance that died.
BOOST_AUTO_TEST_CASE(P1_EntryDies_ItIsDroppedAfterItsSilence)
{
  ReturnPaths paths;
  paths.Heard(kFirst, kStart);
  paths.Heard(kSecond, kStart);
  BOOST_TEST(paths.LiveCount(kStart + 1200ms) == 2U);
  paths.Heard(kSecond, kStart + 1s);
  const Instant later = kStart + 1201ms;
  BOOST_TEST(paths.LiveCount(later) == 1U);
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST((paths.Choose(kFlow, later) == kSecond));
  }
}

// Guards against an agent that gives up a flow while all entry instances are
// silent: the last known one is still tried.
BOOST_AUTO_TEST_CASE(P1_AllEntriesSilent_TheFlowsLastEntryIsUsed)
{
  ReturnPaths paths;
  paths.Heard(kFlow, kFirst, kStart);
  BOOST_TEST((paths.Choose(kFlow, kStart + 1min) == kFirst));
  paths.Forget(kFlow);
  BOOST_TEST(!paths.Choose(kFlow, kStart + 1min));
}

BOOST_AUTO_TEST_SUITE_END()
