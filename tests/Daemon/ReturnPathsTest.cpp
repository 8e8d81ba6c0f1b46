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

BOOST_AUTO_TEST_CASE(NoContactAndNoSeeds_NoPath)
{
  ReturnPaths paths;
  BOOST_TEST(!paths.Choose(kFlow, kStart));
}

// Guards against an agent that can't reply to its first flow because no entry
// instance has probed it yet.
BOOST_AUTO_TEST_CASE(SeedsAreUsedRoundRobinUntilFirstContact)
{
  ReturnPaths paths;
  paths.SetSeeds({ kFirst, kSecond });
  BOOST_TEST((paths.Choose(kFlow, kStart) == kFirst));
  BOOST_TEST((paths.Choose(kFlow, kStart) == kSecond));
  BOOST_TEST((paths.Choose(kFlow, kStart) == kFirst));
  paths.RecordContact(kThird, kStart);
  BOOST_TEST((paths.Choose(kFlow, kStart) == kThird));
}

BOOST_AUTO_TEST_CASE(ActiveFlow_UsesTheEntryOfItsLatestPacket)
{
  ReturnPaths paths;
  paths.RecordContact(kFirst, kStart);
  paths.RecordContact(kFlow, kSecond, kStart);
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST((paths.Choose(kFlow, kStart + 50ms) == kSecond));
  }
}

// Guards against retransmissions that all go to the failed entry instance: a
// flow without recent packets uses the live ones round robin.
BOOST_AUTO_TEST_CASE(P1_EntryDies_AnIdleFlowTriesEveryLiveEntry)
{
  ReturnPaths paths;
  paths.RecordContact(kFirst, kStart);
  paths.RecordContact(kThird, kStart);
  paths.RecordContact(kFlow, kSecond, kStart);
  std::set<Address> chosen;
  for (int i = 0; i < 3; ++i) {
    chosen.insert(*paths.Choose(kFlow, kStart + 200ms));
  }
  BOOST_TEST(chosen.size() == 3U);
}

// Guards against packets that are still sent to a failed entry instance.
BOOST_AUTO_TEST_CASE(P1_EntryDies_ItIsNotUsedAfterTheTimeout)
{
  ReturnPaths paths;
  paths.RecordContact(kFirst, kStart);
  paths.RecordContact(kSecond, kStart);
  BOOST_TEST(paths.LiveCount(kStart + 1200ms) == 2U);
  paths.RecordContact(kSecond, kStart + 1s);
  const Instant later = kStart + 1201ms;
  BOOST_TEST(paths.LiveCount(later) == 1U);
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST((paths.Choose(kFlow, later) == kSecond));
  }
}

// Guards against an agent that stops replying while no entry instance has had
// recent contact: the flow's last one is still used.
BOOST_AUTO_TEST_CASE(P1_AllEntriesUnresponsive_TheFlowsLastEntryIsUsed)
{
  ReturnPaths paths;
  paths.RecordContact(kFlow, kFirst, kStart);
  BOOST_TEST((paths.Choose(kFlow, kStart + 1min) == kFirst));
  paths.RemoveFlow(kFlow);
  BOOST_TEST(!paths.Choose(kFlow, kStart + 1min));
}

BOOST_AUTO_TEST_SUITE_END()
