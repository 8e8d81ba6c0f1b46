#include <snipepost/Routing/FirstPacketPolicy.h>

#include <algorithm>
#include <set>

#include "tests/Routing/Support.h"

using namespace snipepost;
using namespace snipepost::test;

namespace {

BackendPool
MakePool(size_t aCount)
{
  auto backends = MakeBackends(aCount);
  auto table = BuildTable(TableKind::Maglev, backends);
  return { std::move(backends), std::move(table) };
}

// Number of distinct first candidates of 200 flows.
size_t
DistinctFirstChoices(const FirstPacketPolicy& aPolicy,
                     const BackendPool& aPool,
                     const std::vector<LoadHint>& aHints,
                     Instant aNow)
{
  Random random(61);
  std::set<Address> chosen;
  for (uint64_t i = 0; i < 200; ++i) {
    const FlowKey key(random.Below(UINT64_MAX));
    chosen.insert(aPolicy.Choose({ aPool, aHints, key, aNow }, random)[0]);
  }
  return chosen.size();
}

} // namespace

BOOST_AUTO_TEST_SUITE(FirstPacketPolicyTest)

BOOST_AUTO_TEST_CASE(EveryPolicyChoosesFromThePool)
{
  Random random(62);
  for (size_t count : { 0, 1, 2, 10 }) {
    const BackendPool pool = MakePool(count);
    const std::vector<LoadHint> hints(count);
    for (const auto& policy : AllFirstPacketPolicies()) {
      const auto list =
        policy->Choose({ pool, hints, FlowKey(5), Instant() }, random);
      const size_t wanted = policy->Name() == "table-hunting" ? 2 : 1;
      BOOST_TEST(list.Size() == std::min(wanted, count), policy->Name());
      for (const Address& agent : list.View()) {
        BOOST_TEST(
          std::ranges::count(pool.mBackends, agent, &Backend::mAgent) == 1);
      }
    }
  }
}

// Guards the baselines: policies that use stale hints at full weight send all
// flows to one backend, those that decay them do not.
BOOST_AUTO_TEST_CASE(OnlyPoliciesWithoutDecayFollowOldHints)
{
  const BackendPool pool = MakePool(10);
  std::vector<LoadHint> hints(10, LoadHint{ 1.0, Instant() });
  hints[4].mLoad = 0.0;
  const Instant late = Instant() + std::chrono::hours(1);
  BOOST_TEST(
    DistinctFirstChoices(*MakeLeastLoadedPolicy(), pool, hints, late) == 1U);
  const auto two = MakeTwoChoicesPolicy(std::chrono::seconds(1));
  BOOST_TEST(DistinctFirstChoices(*two, pool, hints, late) == 10U);
  std::vector<LoadHint> fresh(2, LoadHint{ 1.0, late });
  fresh[1].mLoad = 0.0;
  BOOST_TEST(DistinctFirstChoices(*two, MakePool(2), fresh, late) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
