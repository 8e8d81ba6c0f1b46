#include <boost/test/unit_test.hpp>

#include <snipepost/Admission/BackendTracker.h>

using namespace snipepost;

namespace {

using UpdateResult = BackendTracker::UpdateResult;

BackendState
Report(const char* aBoot, std::optional<BackendHealth> aHealth = std::nullopt)
{
  return { .mReachable = true, .mBoot = aBoot, .mHealth = aHealth };
}

} // namespace

BOOST_AUTO_TEST_SUITE(BackendTrackerTest)

BOOST_AUTO_TEST_CASE(P3_Restart_NewConnectionAndBootIdAreDetected)
{
  BackendTracker tracker;
  BOOST_TEST(!tracker.IsReady());
  BOOST_TEST((tracker.Update(Report("a")) == UpdateResult::ConnectionChanged));
  BOOST_TEST((tracker.Update(Report("a")) == UpdateResult::Unchanged));
  BOOST_TEST((tracker.Update(Report("")) == UpdateResult::Unchanged));
  BOOST_TEST((tracker.Update(Report("b")) == UpdateResult::Restarted));
  BOOST_TEST((tracker.Update(Report("a")) == UpdateResult::StaleReport));
  BOOST_TEST((tracker.Update(Report("b")) == UpdateResult::Unchanged));
  BOOST_TEST((tracker.Update({}) == UpdateResult::ConnectionChanged));
  BOOST_TEST(!tracker.IsReady());
}

// Guards against one wrong boot ID after which every report of the current
// incarnation counts as stale, including the report that it is draining.
BOOST_AUTO_TEST_CASE(P8_LateReport_CurrentIncarnationIsRecognizedAgain)
{
  BackendTracker tracker;
  tracker.Update(Report("real"));
  tracker.Update(Report("wrong"));
  const auto draining = Report("real", BackendHealth::Draining);
  BOOST_TEST((tracker.Update(draining) == UpdateResult::StaleReport));
  BOOST_TEST(tracker.IsDraining());
  const auto ok = Report("real", BackendHealth::Ok);
  BOOST_TEST((tracker.Update(ok) == UpdateResult::Restarted));
  BOOST_TEST(!tracker.IsDraining());
}

// Guards against a load report, which has no health state, that ends a drain.
BOOST_AUTO_TEST_CASE(P8_ReportWithoutHealth_KeepsTheDrain)
{
  BackendTracker tracker;
  tracker.Update(Report("a", BackendHealth::Draining));
  tracker.Update(Report("b"));
  BOOST_TEST(tracker.IsDraining());
}

BOOST_AUTO_TEST_SUITE_END()
