#include <boost/test/unit_test.hpp>

#include <snipepost/Flow/BackendStatus.h>

using namespace snipepost;
using namespace snipepost::flow;
using namespace std::chrono_literals;
using cluster::BackendState;

namespace {

Heartbeat
MakeHeartbeat(std::string aId, uint64_t aStartTime, uint64_t aSequence)
{
  Heartbeat heartbeat;
  heartbeat.mId = std::move(aId);
  heartbeat.mService = "desk";
  heartbeat.mSlots = 4;
  heartbeat.mStartTime = aStartTime;
  heartbeat.mSequence = aSequence;
  return heartbeat;
}

constexpr Instant kNow{ 10s };

} // namespace

BOOST_AUTO_TEST_SUITE(BackendStatusTest)

BOOST_AUTO_TEST_CASE(FirstHeartbeatAndChanges)
{
  BackendStatus status("desk");
  BOOST_TEST(!status.HasHeartbeat());
  BOOST_TEST((status.OnHeartbeat(MakeHeartbeat("i", 5, 1), kNow) ==
              HeartbeatOutcome::Changed));
  BOOST_TEST((status.OnHeartbeat(MakeHeartbeat("i", 5, 2), kNow) ==
              HeartbeatOutcome::Unchanged));
  auto draining = MakeHeartbeat("i", 5, 3);
  draining.mState = BackendState::Draining;
  BOOST_TEST((status.OnHeartbeat(draining, kNow) == HeartbeatOutcome::Changed));
  BOOST_TEST(status.Draining());
}

// A heartbeat delayed by a network partition must not override a newer one.
BOOST_AUTO_TEST_CASE(LateHeartbeatsAreIgnored)
{
  BackendStatus status("desk");
  auto draining = MakeHeartbeat("i", 5, 7);
  draining.mState = BackendState::Draining;
  status.OnHeartbeat(draining, kNow);
  BOOST_TEST((status.OnHeartbeat(MakeHeartbeat("i", 5, 6), kNow) ==
              HeartbeatOutcome::Outdated));
  BOOST_TEST(status.Draining());
  BOOST_TEST((status.OnHeartbeat(MakeHeartbeat("j", 9, 1), kNow) ==
              HeartbeatOutcome::Restarted));
  BOOST_TEST(!status.Draining());
  BOOST_TEST((status.OnHeartbeat(MakeHeartbeat("i", 5, 8), kNow) ==
              HeartbeatOutcome::Outdated));
}

// A backend server may restart with the same ID, and its sequence then begins
// again.
BOOST_AUTO_TEST_CASE(StartTimeDistinguishesIncarnationsOfOneId)
{
  BackendStatus status("desk");
  status.OnHeartbeat(MakeHeartbeat("i", 5, 70), kNow);
  BOOST_TEST((status.OnHeartbeat(MakeHeartbeat("i", 8, 1), kNow) ==
              HeartbeatOutcome::Restarted));
  BOOST_TEST((status.OnHeartbeat(MakeHeartbeat("i", 5, 71), kNow) ==
              HeartbeatOutcome::Outdated));
  BOOST_TEST(status.StartTime() == 8U);
}

BOOST_AUTO_TEST_CASE(EarlierIdsAreOutdatedWithoutAStartTime)
{
  BackendStatus status("desk");
  status.OnHeartbeat(MakeHeartbeat("i", 0, 7), kNow);
  status.OnHeartbeat(MakeHeartbeat("j", 0, 1), kNow);
  BOOST_TEST((status.OnHeartbeat(MakeHeartbeat("i", 0, 9), kNow) ==
              HeartbeatOutcome::Outdated));
  BOOST_TEST(status.Id() == "j");
}

BOOST_AUTO_TEST_CASE(OtherServicesAndUnknownIdsAreIgnored)
{
  BackendStatus status("desk");
  auto other = MakeHeartbeat("i", 5, 1);
  other.mService = "library";
  BOOST_TEST(
    (status.OnHeartbeat(other, kNow) == HeartbeatOutcome::OtherService));
  status.OnHeartbeat(MakeHeartbeat("i", 5, 1), kNow);
  BOOST_TEST(!status.OnDeregister("k"));
  BOOST_TEST(!status.Deregistered());
  BOOST_TEST(status.OnDeregister("i"));
  BOOST_TEST(status.Draining());
  // A late heartbeat does not undo the deregistration.
  BOOST_TEST((status.OnHeartbeat(MakeHeartbeat("i", 5, 9), kNow) ==
              HeartbeatOutcome::Outdated));
}

// Another program sends a heartbeat without a start time: it must not replace
// the server, whose heartbeats would then be ignored.
BOOST_AUTO_TEST_CASE(HeartbeatWithoutAStartTimeDoesNotReplaceTheServer)
{
  BackendStatus status("desk");
  status.OnHeartbeat(MakeHeartbeat("i", 5, 7), kNow);
  for (const char* id : { "i", "j" }) {
    BOOST_TEST((status.OnHeartbeat(MakeHeartbeat(id, 0, 90), kNow) ==
                HeartbeatOutcome::Outdated));
  }
  BOOST_TEST((status.OnHeartbeat(MakeHeartbeat("i", 5, 8), kNow) ==
              HeartbeatOutcome::Unchanged));
}

// The same when it comes first: the server has not restarted, and its earlier
// flows must not be taken for lost.
BOOST_AUTO_TEST_CASE(ServerReplacesAHeartbeatWithoutAStartTime)
{
  BackendStatus status("desk");
  status.OnHeartbeat(MakeHeartbeat("j", 0, 90), kNow);
  BOOST_TEST((status.OnHeartbeat(MakeHeartbeat("i", 5, 8), kNow) !=
              HeartbeatOutcome::Restarted));
  BOOST_TEST(status.Id() == "i");
}

// Guards against a server whose heartbeats are ignored for good, because it
// started after the time of day had stepped back.
BOOST_AUTO_TEST_CASE(ServerThatAloneSendsHeartbeatsTakesOver)
{
  BackendStatus status("desk");
  status.OnHeartbeat(MakeHeartbeat("i", 9000, 70), kNow);
  for (uint64_t sequence = 1; sequence <= 3; ++sequence) {
    BOOST_TEST((status.OnHeartbeat(MakeHeartbeat("j", 5000, sequence),
                                   kNow + sequence * 600ms) ==
                HeartbeatOutcome::Outdated));
  }
  BOOST_TEST((status.OnHeartbeat(MakeHeartbeat("j", 5000, 4), kNow + 2600ms) ==
              HeartbeatOutcome::Restarted));
  BOOST_TEST(status.Id() == "j");
}

// Late heartbeats of an incarnation that has ended must not replace a server
// that runs, whether they arrive at once or one by one.
BOOST_AUTO_TEST_CASE(LateHeartbeatsDoNotTakeOver)
{
  BackendStatus status("desk");
  status.OnHeartbeat(MakeHeartbeat("i", 9000, 1), kNow);
  for (uint64_t sequence = 1; sequence <= 9; ++sequence) {
    BOOST_TEST((status.OnHeartbeat(MakeHeartbeat("j", 5000, sequence),
                                   kNow + 3s) == HeartbeatOutcome::Outdated));
  }
  for (uint64_t sequence = 10; sequence <= 15; ++sequence) {
    const Instant now = kNow + sequence * 1s;
    status.OnHeartbeat(MakeHeartbeat("i", 9000, sequence), now);
    BOOST_TEST((status.OnHeartbeat(MakeHeartbeat("j", 5000, sequence), now) ==
                HeartbeatOutcome::Outdated));
  }
  BOOST_TEST(status.Id() == "i");
}

// A server that was acknowledged to be gone must get no further request.
BOOST_AUTO_TEST_CASE(DeregisteredServerDoesNotTakeOver)
{
  BackendStatus status("desk");
  status.OnHeartbeat(MakeHeartbeat("i", 5, 1), kNow);
  status.OnDeregister("i");
  for (uint64_t sequence = 2; sequence <= 9; ++sequence) {
    BOOST_TEST(
      (status.OnHeartbeat(MakeHeartbeat("i", 5, sequence),
                          kNow + sequence * 1s) == HeartbeatOutcome::Outdated));
  }
  BOOST_TEST(status.Draining());
}

// The deregistration of an earlier incarnation may arrive late, and the server
// may have started again under the same ID.
BOOST_AUTO_TEST_CASE(LateDeregistrationOfAnEarlierIncarnationIsIgnored)
{
  BackendStatus status("desk");
  status.OnHeartbeat(MakeHeartbeat("i", 5, 9), kNow);
  status.OnHeartbeat(MakeHeartbeat("i", 8, 1), kNow);
  BOOST_TEST(!status.OnDeregister("i", 5));
  BOOST_TEST(!status.Draining());
  BOOST_TEST(status.OnDeregister("i", 8));
  BOOST_TEST(status.Draining());
}

// The limit of a cold server applies to every second, not to the average.
BOOST_AUTO_TEST_CASE(ColdBudgetHoldsForEverySecond)
{
  BackendStatus status("desk");
  auto cold = MakeHeartbeat("i", 5, 1);
  cold.mColdRemaining = 2s;
  status.OnHeartbeat(cold, kNow);
  BOOST_TEST(status.Cold(kNow + 1s));
  BOOST_TEST(!status.Cold(kNow + 2s));
  std::vector<Instant> accepted;
  for (Instant now = kNow; now < kNow + 2s; now += 10ms) {
    if (status.ColdBudget(8.0, now) > 0) {
      status.OnFlowAccepted(now);
      accepted.push_back(now);
    }
  }
  BOOST_TEST(accepted.size() >= 8U);
  for (size_t i = 8; i < accepted.size(); ++i) {
    BOOST_TEST((accepted[i] - accepted[i - 8] >= 1s));
  }
}

BOOST_AUTO_TEST_SUITE_END()
