#include <snipepost/Routing/Table.h>

#include <algorithm>
#include <array>
#include <set>

#include <snipepost/Base/Random.h>

#include "tests/Routing/Support.h"

using namespace snipepost;
using namespace snipepost::test;

namespace {

constexpr std::array<TableKind, 2> kKinds{ TableKind::Maglev,
                                           TableKind::Rendezvous };
constexpr size_t kKeys = 20000;

std::vector<Address>
Pick(const Table& aTable,
     const std::vector<Backend>& aBackends,
     FlowKey aKey,
     size_t aCount)
{
  std::vector<uint16_t> picked(aCount);
  picked.resize(aTable.Pick(aKey, picked));
  std::vector<Address> agents;
  for (uint16_t index : picked) {
    agents.push_back(aBackends[index].mAgent);
  }
  return agents;
}

// Share of keys whose first candidate changes although neither the old nor the
// new one is the changed backend.
double
UnnecessarilyMovedShare(TableKind aKind,
                        const std::vector<Backend>& aLeft,
                        const std::vector<Backend>& aRight,
                        const Address& aChanged)
{
  const auto left = BuildTable(aKind, aLeft);
  const auto right = BuildTable(aKind, aRight);
  Random random(52);
  size_t moved = 0;
  for (size_t i = 0; i < kKeys; ++i) {
    const FlowKey key(random.Below(UINT64_MAX));
    const Address before = Pick(*left, aLeft, key, 1)[0];
    const Address after = Pick(*right, aRight, key, 1)[0];
    moved += before != after && before != aChanged && after != aChanged;
  }
  return static_cast<double>(moved) / kKeys;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TableTest)

// Guards against a list with missing or repeated candidates, which would leave
// an agent no other candidate to forward a flow to.
BOOST_AUTO_TEST_CASE(CandidatesAreDistinctAndDeterministic)
{
  CheckProperty(51, [] {
    const TableKind kind = *rc::gen::elementOf(kKinds);
    auto backends = MakeBackends(*rc::gen::inRange<size_t>(0, 60));
    for (Backend& backend : backends) {
      backend.mWeight =
        *rc::gen::elementOf(std::vector<uint16_t>{ 0, 1, 1, 2, 5, 65535 });
    }
    backends = NormalizeBackends(backends);
    const FlowKey key(*rc::gen::arbitrary<uint64_t>());
    const auto table = BuildTable(kind, backends);
    const auto agents = Pick(*table, backends, key, 4);
    RC_ASSERT(agents.size() == std::min<size_t>(4, backends.size()));
    RC_ASSERT(std::set(agents.begin(), agents.end()).size() == agents.size());
    const auto again = BuildTable(kind, backends);
    RC_ASSERT(Pick(*again, backends, key, 4) == agents);
  });
}

// Guards against instances whose tables differ because they received the
// announcements in different orders.
BOOST_AUTO_TEST_CASE(NormalizingIgnoresOrderAndRepetition)
{
  auto backends = MakeBackends(9);
  const auto sorted = NormalizeBackends(backends);
  BOOST_TEST(sorted.size() == 9U);
  std::ranges::reverse(backends);
  Backend older = backends[4];
  backends[4].mIncarnation = 2;
  backends.push_back(older);
  backends.push_back({ { 1, 1 }, DomainId(1), 0, 0 });
  const auto again = NormalizeBackends(backends);
  BOOST_TEST(again.size() == 9U);
  BOOST_TEST(again[4].mIncarnation == 2);
  BOOST_TEST((again[0] == sorted[0]));
}

// Guards against a change of one backend that moves the flow keys of all other
// backends.
BOOST_AUTO_TEST_CASE(AddingOneBackendMovesFewOtherKeys)
{
  for (size_t count : { 7, 39, 300 }) {
    const auto larger = MakeBackends(count + 1);
    auto smaller = larger;
    const Address changed = smaller[count / 2].mAgent;
    smaller.erase(smaller.begin() + static_cast<std::ptrdiff_t>(count / 2));
    BOOST_TEST(UnnecessarilyMovedShare(
                 TableKind::Rendezvous, smaller, larger, changed) == 0.0);
    // Maglev hashing is faster, but moves some keys unnecessarily; the Maglev
    // paper reports a similar share.
    BOOST_TEST(UnnecessarilyMovedShare(
                 TableKind::Maglev, smaller, larger, changed) < 0.05);
  }
}

// Guards against ignoring weights or applying them twice.
BOOST_AUTO_TEST_CASE(SharesFollowWeights)
{
  for (TableKind kind : kKinds) {
    auto backends = MakeBackends(4);
    backends[2].mWeight = 5;
    const auto table = BuildTable(kind, backends);
    Random random(53);
    size_t heavy = 0;
    for (size_t i = 0; i < kKeys; ++i) {
      const FlowKey key(random.Below(UINT64_MAX));
      heavy += Pick(*table, backends, key, 1)[0] == backends[2].mAgent;
    }
    const double share = static_cast<double>(heavy) / kKeys;
    BOOST_TEST(share > 0.605);
    BOOST_TEST(share < 0.645);
  }
}

// Guards the memory limit of an entry instance at the size of a deployment that
// is expected after two years of growth.
BOOST_AUTO_TEST_CASE(MaglevSizesFitTheMemoryBudget)
{
  for (size_t count : { 1, 40, 41, 655, 656, 3500 }) {
    BOOST_TEST(MaglevSize(count) >= 100 * count);
  }
  // Of all distributions of 3,500 backends over 970 services, this one needs
  // the most memory for current and previous tables: as many services as
  // possible have 41 backends, the smallest number that needs the second table
  // size.
  const size_t slots = 63 * MaglevSize(41) + 907 * MaglevSize(1);
  BOOST_TEST(2 * sizeof(uint16_t) * slots < 64U << 20);
}

BOOST_AUTO_TEST_SUITE_END()
