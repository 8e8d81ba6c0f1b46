#include <boost/test/unit_test.hpp>

#include <snipepost/Cluster/GossipCore.h>

#include "tests/Cluster/Samples.h"

using namespace snipepost;
using namespace snipepost::cluster;
using namespace std::chrono_literals;

namespace {

/// Simulated nodes that exchange digests without loss; a fetch copies the part
/// immediately.
class Fleet
{
public:
  Fleet(size_t aNodes, std::vector<NodeIp> aSeeds)
  {
    for (size_t i = 0; i < aNodes; ++i) {
      const NodeIp ip(static_cast<uint32_t>(i + 1));
      mNodes.push_back({ std::make_unique<GossipCore>(
                           ip, NodeRole::Entry, aSeeds, mNow, i + 1),
                         std::make_unique<Replica>(&DecodeSampleConfig),
                         true });
    }
  }

  void Run(Duration aTime)
  {
    const Instant end = mNow + aTime;
    for (; mNow < end; mNow += 50ms) {
      for (size_t i = 0; i < mNodes.size(); ++i) {
        Step(i);
      }
    }
  }

  size_t Watchers() const
  {
    size_t count = 0;
    for (const Node& node : mNodes) {
      count += node.mAlive && node.mWatching;
    }
    return count;
  }

  struct Node
  {
    std::unique_ptr<GossipCore> mGossip;
    std::unique_ptr<Replica> mReplica;
    bool mAlive = true;
    bool mWatching = false;
    bool mReachesStore = true;
  };

  std::vector<Node> mNodes;
  Instant mNow{ 1s };

private:
  void Step(size_t aIndex)
  {
    Node& node = mNodes[aIndex];
    if (!node.mAlive) {
      return;
    }
    node.mWatching = node.mGossip->ShouldWatch(mNow) && node.mReachesStore;
    node.mGossip->SetWatchHealthy(node.mWatching);
    for (const NodeIp& to : node.mGossip->RoundTargets(*node.mReplica, mNow)) {
      Deliver(aIndex, to.Value() - 1, 0);
    }
  }

  void Deliver(size_t aFrom, size_t aTo, int aDepth)
  {
    Node& to = mNodes[aTo];
    if (!to.mAlive || aDepth > 2) {
      return;
    }
    const Digest digest =
      mNodes[aFrom].mGossip->MakeDigest(*mNodes[aFrom].mReplica, mNow, false);
    const auto actions = to.mGossip->OnDigest(
      NodeIp(static_cast<uint32_t>(aFrom + 1)), digest, *to.mReplica, mNow);
    for (const Part part : actions.mFetch) {
      const auto snapshot =
        Replica::DecodeSnapshot(mNodes[aFrom].mReplica->EncodeSnapshot(part));
      to.mReplica->ApplySnapshot(part, *snapshot);
    }
    if (actions.mReply) {
      Deliver(aTo, aFrom, aDepth + 1);
    }
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(GossipCoreTest)

// Each watcher makes a call for each change, so only a few nodes watch.
BOOST_AUTO_TEST_CASE(FewNodesWatch)
{
  Fleet fleet(24, { NodeIp(1), NodeIp(2), NodeIp(3) });
  fleet.Run(15s);
  BOOST_TEST(fleet.Watchers() == 3U);
}

// A change must be in force within 3 s, also when all watchers fail at the same
// time.
BOOST_AUTO_TEST_CASE(DeadWatchersAreReplacedInTime)
{
  Fleet fleet(24, { NodeIp(1), NodeIp(2), NodeIp(3) });
  fleet.Run(15s);
  for (Fleet::Node& node : fleet.mNodes) {
    node.mAlive = node.mAlive && !node.mWatching;
  }
  BOOST_TEST(fleet.Watchers() == 0U);
  fleet.Run(2900ms);
  BOOST_TEST(fleet.Watchers() >= 1U);
}

// A node that the store rejects must not count as a watcher.
BOOST_AUTO_TEST_CASE(NodesWithoutStoreDoNotCountAsWatchers)
{
  Fleet fleet(12, { NodeIp(1) });
  for (size_t i = 0; i < 8; ++i) {
    fleet.mNodes[i].mReachesStore = false;
  }
  fleet.Run(15s);
  BOOST_TEST(fleet.Watchers() >= 3U);
}

BOOST_AUTO_TEST_CASE(ChangeReachesAllNodes)
{
  Fleet fleet(60, { NodeIp(1), NodeIp(2), NodeIp(3) });
  fleet.Run(10s);
  fleet.mNodes[40].mReplica->ApplySnapshot(
    Part::Routes, { Revision(5), { Present("main", 5, "7") } });
  fleet.Run(3s);
  for (const Fleet::Node& node : fleet.mNodes) {
    BOOST_TEST(node.mReplica->Routes()->mVersion.Value() == 7U);
  }
}

BOOST_AUTO_TEST_CASE(EqualContentIsNotFetched)
{
  Replica own(&DecodeSampleConfig);
  Replica other(&DecodeSampleConfig);
  own.ApplySnapshot(Part::Backends, { Revision(5), { RecordChange(1, 2) } });
  other.ApplySnapshot(Part::Backends, { Revision(9), { RecordChange(1, 2) } });
  GossipCore gossip(NodeIp(1), NodeRole::Entry, {}, Instant(1s), 1);
  GossipCore peer(NodeIp(2), NodeRole::Agent, {}, Instant(1s), 2);
  const auto actions = gossip.OnDigest(
    NodeIp(2), peer.MakeDigest(other, Instant(1s), false), own, Instant(1s));
  BOOST_TEST(actions.mFetch.empty());
}

BOOST_AUTO_TEST_SUITE_END()
