#include <boost/test/unit_test.hpp>

#include "tests/Quic/FakeNetwork.h"

using namespace snipepost;
using namespace snipepost::test;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(MalformedTest)

// Guards against a failed assertion in ngtcp2 on an empty UDP payload.
BOOST_AUTO_TEST_CASE(EmptyDatagram_Ignored)
{
  FakeNetwork network(19);
  TestCaller& caller = network.AddCaller();
  BOOST_TEST(!network.mServer->HasConnectionFor({}));
  BOOST_TEST(!network.mServer->Accept({}, caller.mAddress, network.mNow));
  network.mServer->Refuse({}, caller.mAddress);
  caller.mConnection->OnDatagram({}, network.mNow);
}

// Guards against invalid datagrams that crash the process, or that end a
// connection although they don't come from its peer.
BOOST_AUTO_TEST_CASE(RandomAndMutatedDatagrams_NeverCrash)
{
  constexpr uint64_t kSeed = 20;
  BOOST_TEST_MESSAGE("seed " << kSeed);
  FakeNetwork network(kSeed);
  network.mRecord = true;
  TestCaller& caller = network.AddCaller();
  BOOST_REQUIRE(
    network.RunUntil([&] { return caller.mConnected; }, seconds(5)));
  caller.Get("/bytes/20000");
  network.Run(seconds(1));
  network.mRecord = false;
  const auto recorded = network.mRecorded;
  const Address attacker{ 0x7f000009, 7 };
  Random& random = network.mRandom;
  for (int i = 0; i < 20000; ++i) {
    std::vector<uint8_t> bytes(random.Below(1300));
    if (random.Chance(0.7)) {
      bytes = recorded[random.Below(recorded.size())];
      bytes.resize(1 + random.Below(bytes.size() + 20));
    }
    const uint64_t changes = random.Below(6);
    for (uint64_t n = 0; n < changes && !bytes.empty(); ++n) {
      bytes[random.Below(std::min<size_t>(bytes.size(), 64))] =
        static_cast<uint8_t>(random.Below(256));
    }
    network.mServer->Refuse(bytes, attacker);
    network.Inject(bytes, random.Chance(0.5) ? attacker : caller.mAddress);
    if (i % 100 == 0) {
      network.Run(std::chrono::milliseconds(5));
    }
  }
  network.Run(seconds(20));
  const auto stream = caller.Get("/bytes/1000");
  BOOST_REQUIRE(stream);
  BOOST_TEST(network.RunUntil([&] { return caller.mOutcomes[*stream].mEnded; },
                              seconds(10)));
}

// Guards against crashes when datagrams of both directions are corrupted during
// handshakes and requests.
BOOST_AUTO_TEST_CASE(MutationInBothDirections_NeverCrash)
{
  for (uint64_t seed = 30; seed < 60; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      FakeNetwork network(seed);
      network.mFaults = { 0.02, 0.1, 0.1, 0.2 };
      for (int i = 0; i < 5; ++i) {
        network.AddCaller();
      }
      TestCaller& caller = network.AddCaller();
      network.RunUntil([&] { return caller.mConnected; }, seconds(10));
      const auto stream = caller.Get("/bytes/50000");
      network.Run(seconds(10));
      if (stream && caller.mOutcomes[*stream].mEnded) {
        BOOST_TEST((caller.mOutcomes[*stream].mBody == TestBytes(50000)));
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
