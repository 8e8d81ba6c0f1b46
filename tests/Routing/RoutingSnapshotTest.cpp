#include <snipepost/Routing/RoutingSnapshot.h>

#include "tests/Routing/Support.h"

using namespace snipepost;
using namespace snipepost::test;

namespace {

const Address kFirst{ 0x7f000001, 443 };
const Address kSecond{ 0x7f000002, 443 };

std::vector<ServiceView>
Views(size_t aFirstCount, size_t aSecondCount)
{
  return { { ServiceId(1), kFirst, MakeBackends(aFirstCount) },
           { ServiceId(2), kSecond, MakeBackends(aSecondCount) } };
}

auto
Build(std::vector<ServiceView> aViews,
      const std::shared_ptr<const RoutingSnapshot>& aPrevious = nullptr,
      const DomainSet& aDomainsOut = {})
{
  return RoutingSnapshot::Build(
    Generation(1), std::move(aViews), aDomainsOut, aPrevious.get());
}

} // namespace

BOOST_AUTO_TEST_SUITE(RoutingSnapshotTest)

// Guards against rebuilding every table after a change to one service.
BOOST_AUTO_TEST_CASE(UnchangedServicesShareTheirTables)
{
  const auto before = Build(Views(5, 7));
  auto views = Views(6, 7);
  views[1].mEligible[3].mIncarnation = 9;
  const auto after = Build(views, before);
  const auto* changed = after->Find(kFirst);
  BOOST_TEST(changed->mPrevious == before->Find(kFirst)->mCurrent);
  BOOST_TEST(changed->mCurrent != before->Find(kFirst)->mCurrent);
  const auto* restarted = after->Find(kSecond);
  BOOST_TEST(restarted->mCurrent->mTable ==
             before->Find(kSecond)->mCurrent->mTable);
  BOOST_TEST(restarted->mCurrent->mBackends[3].mIncarnation == 9);
  BOOST_TEST(!restarted->mPrevious);
  BOOST_TEST(after->Find(kSecond)->mCurrent ==
             Build(views, after)->Find(kSecond)->mCurrent);
}

// Guards against a later, unrelated snapshot that discards the previous table
// of a service while first flights routed by it are still in progress.
BOOST_AUTO_TEST_CASE(P1_UnrelatedChangeKeepsThePreviousTable)
{
  const auto first = Build(Views(5, 7));
  const auto second = Build(Views(6, 7), first);
  const auto third = Build(Views(6, 8), second);
  BOOST_TEST(third->Find(kFirst)->mPrevious == first->Find(kFirst)->mCurrent);
  BOOST_TEST(third->Find(kSecond)->mPrevious == first->Find(kSecond)->mCurrent);
}

// Guards against candidates of another service after an address was reassigned.
BOOST_AUTO_TEST_CASE(P2_ReassignedAddressHasNoPreviousTable)
{
  const auto before = Build(Views(5, 7));
  auto views = Views(4, 7);
  views[0].mId = ServiceId(3);
  BOOST_TEST(!Build(views, before)->Find(kFirst)->mPrevious);
}

BOOST_AUTO_TEST_CASE(P4_DomainOut_ItsBackendsAreNotInTheTable)
{
  const auto snapshot = Build(Views(6, 6), nullptr, DomainSet().set(2));
  BOOST_TEST(snapshot->IsOut(DomainId(2)));
  BOOST_TEST(!snapshot->IsOut(DomainId(1)));
  const auto& backends = snapshot->Find(kFirst)->mCurrent->mBackends;
  BOOST_TEST(backends.size() == 4U);
  for (const Backend& backend : backends) {
    BOOST_TEST((backend.mDomain != DomainId(2)));
  }
}

// Guards against a memory leak in which each snapshot keeps its predecessor.
BOOST_AUTO_TEST_CASE(MemoryDoesNotGrowWithTheNumberOfSnapshots)
{
  auto snapshot = Build(Views(5, 7));
  std::weak_ptr<const RoutingSnapshot> oldest = snapshot;
  std::weak_ptr<const BackendPool> pool = snapshot->Find(kFirst)->mCurrent;
  const size_t single = snapshot->MemoryBytes();
  for (size_t i = 0; i < 10; ++i) {
    snapshot = Build(Views(6 + i, 7), snapshot);
  }
  BOOST_TEST(oldest.expired());
  BOOST_TEST(pool.expired());
  BOOST_TEST(snapshot->MemoryBytes() < 2 * single);
}

BOOST_AUTO_TEST_SUITE_END()
