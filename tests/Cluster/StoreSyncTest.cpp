#include <deque>
#include <map>

#include <boost/test/unit_test.hpp>

#include <snipepost/Cluster/StoreSync.h>

#include "tests/Cluster/Samples.h"

using namespace snipepost;
using namespace snipepost::cluster;
using namespace std::chrono_literals;

namespace {

/// Keeps the handlers of calls until a test answers them.
class FakeStore final : public Store
{
public:
  void List(Part aPart,
            Duration aTimeout,
            std::function<void(ListResult)> aDone) override
  {
    mTimeouts.push_back(aTimeout);
    mLists[aPart] = std::move(aDone);
  }
  void Watch(Part aPart,
             Revision aSince,
             Duration,
             std::function<void(WatchResult)> aDone) override
  {
    mWatches[aPart] = std::move(aDone);
    mSince[aPart] = aSince;
  }
  void Write(const std::string&,
             const RecordWrite&,
             std::function<void(WriteResult)>) override
  {
  }

  void AnswerList(Part aPart, ListResult aResult)
  {
    const auto done = std::move(mLists.at(aPart));
    mLists.erase(aPart);
    done(std::move(aResult));
  }
  void AnswerWatch(Part aPart, WatchResult aResult)
  {
    const auto done = std::move(mWatches.at(aPart));
    mWatches.erase(aPart);
    done(std::move(aResult));
  }
  void AnswerAllLists(uint64_t aRevision)
  {
    for (const Part part : kParts) {
      if (mLists.contains(part)) {
        AnswerList(part, { ReadOutcome::Done, { Revision(aRevision), {} } });
      }
    }
  }

  std::map<Part, std::function<void(ListResult)>> mLists;
  std::map<Part, std::function<void(WatchResult)>> mWatches;
  std::map<Part, Revision> mSince;
  std::vector<Duration> mTimeouts;
};

struct Fixture : StoreListener
{
  void OnStoreLost(Part, ReadOutcome) override { ++mLost; }
  void OnStoreRegained(Part) override { ++mRegained; }

  FakeStore mStore;
  Replica mReplica{ &DecodeSampleConfig };
  StoreSync mSync{ mStore, mReplica, *this, 1 };
  Instant mNow{ 1s };
  int mLost = 0;
  int mRegained = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreSyncTest, Fixture)

BOOST_AUTO_TEST_CASE(ListsThenWatches)
{
  mSync.Step(true, mNow);
  BOOST_TEST(mStore.mLists.size() == 3U);
  mStore.AnswerAllLists(7);
  BOOST_TEST(mStore.mWatches.size() == 3U);
  BOOST_TEST(mStore.mSince[Part::Backends].Value() == 7U);
  BOOST_TEST(mSync.Healthy());
  mStore.AnswerWatch(
    Part::Backends, { ReadOutcome::Done, { RecordChange(1, 8) }, Revision(8) });
  BOOST_TEST(mReplica.Backends().size() == 1U);
  BOOST_TEST(mStore.mSince[Part::Backends].Value() == 8U);
}

// Calls are counted and limited: a node that does not watch lists once only.
BOOST_AUTO_TEST_CASE(OtherNodesDoNotWatch)
{
  mSync.Step(false, mNow);
  mStore.AnswerAllLists(7);
  mSync.Step(false, mNow + 10s);
  BOOST_TEST(mStore.mWatches.empty());
  BOOST_TEST(mStore.mLists.empty());
  BOOST_TEST(mSync.Calls() == 3U);
}

BOOST_AUTO_TEST_CASE(LostHistoryLeadsToAList)
{
  mSync.Step(true, mNow);
  mStore.AnswerAllLists(7);
  mStore.AnswerWatch(Part::Routes, { ReadOutcome::HistoryGone, {}, {} });
  BOOST_TEST(mStore.mLists.contains(Part::Routes));
  BOOST_TEST(mLost == 0);
}

// During an outage a node makes one call at a time, with growing pauses, so
// that the fleet's return does not exceed the store's rates.
BOOST_AUTO_TEST_CASE(OutageIsProbedByOneCallAtATime)
{
  mSync.Step(true, mNow);
  for (const Part part : kParts) {
    mStore.AnswerList(part, { ReadOutcome::Refused, {} });
  }
  BOOST_TEST(mLost == 1);
  size_t calls = 0;
  for (int i = 0; i < 100; ++i) {
    mNow += 100ms;
    mSync.Step(true, mNow);
    BOOST_TEST(mStore.mLists.size() <= 1U);
    for (const Part part : kParts) {
      if (mStore.mLists.contains(part)) {
        ++calls;
        mStore.AnswerList(part, { ReadOutcome::Lost, {} });
      }
    }
  }
  BOOST_TEST(calls >= 10U);
  BOOST_TEST(calls <= 60U);
  mNow += 1s;
  mSync.Step(true, mNow);
  mStore.AnswerAllLists(9);
  BOOST_TEST(mRegained == 1);
  mStore.AnswerAllLists(9);
  BOOST_TEST(mSync.Healthy());
}

/// A node whose calls end by their timeout while the store is silent.
struct LonelyNode : Fixture
{
  explicit LonelyNode(uint64_t aSeed)
    : mOwn(mStore, mReplica, *this, aSeed)
  {
  }

  /// Ends the call that is over, and makes the next one. True when one began.
  bool Step(Instant aNow)
  {
    const size_t before = mStore.mTimeouts.size();
    for (const Part part : kParts) {
      if (mStore.mLists.contains(part) && aNow >= mOver[part]) {
        mStore.AnswerList(part, { ReadOutcome::Lost, {} });
      }
    }
    mOwn.Step(false, aNow);
    for (const Part part : kParts) {
      if (mStore.mTimeouts.size() > before && mStore.mLists.contains(part) &&
          aNow >= mOver[part]) {
        mOver[part] = aNow + mStore.mTimeouts.back();
      }
    }
    return mStore.mTimeouts.size() > before;
  }

  StoreSync mOwn;
  std::map<Part, Instant> mOver;
};

// Guards against nodes that all started in an outage and all wait for answers
// that will not come while the store is already back: whichever moment it
// returns at, one of 16 asks within half a second and can tell the others.
BOOST_AUTO_TEST_CASE(ReturnOfASilentStoreIsNoticedByOneNodeSoon)
{
  std::deque<LonelyNode> nodes;
  for (uint64_t seed = 1; seed <= 16; ++seed) {
    nodes.emplace_back(seed);
  }
  Instant lastCall = mNow;
  Duration longest{};
  for (Instant now = mNow; now < mNow + 6s; now += 10ms) {
    for (size_t i = 0; i < nodes.size(); ++i) {
      // Each node's tick comes every 100 ms.
      if ((now - mNow) / 10ms % 10 == static_cast<int64_t>(i % 10) &&
          nodes[i].Step(now)) {
        longest = std::max(longest, now - lastCall);
        lastCall = now;
      }
    }
  }
  BOOST_TEST(longest.count() <= Duration(500ms).count());
}

// A node must not count as a watcher while its watch has failed.
BOOST_AUTO_TEST_CASE(FailedWatchIsNotHealthy)
{
  mSync.Step(true, mNow);
  mStore.AnswerAllLists(7);
  mStore.AnswerWatch(Part::Evacuations, { ReadOutcome::Lost, {}, {} });
  BOOST_TEST(!mSync.Healthy());
  BOOST_TEST(mLost == 1);
}

BOOST_AUTO_TEST_SUITE_END()
