#include <boost/test/unit_test.hpp>

#include <snipepost/Admission/BackendLife.h>

using namespace snipepost;

namespace {

using Change = BackendLife::Change;

BackendState
Report(const char* aBoot, std::optional<BackendHealth> aHealth = std::nullopt)
{
  return { .mReachable = true, .mBoot = aBoot, .mHealth = aHealth };
}

} // namespace

BOOST_AUTO_TEST_SUITE(BackendLifeTest)

BOOST_AUTO_TEST_CASE(P3_Restart_ConnectionAndBootAreSeen)
{
  BackendLife life;
  BOOST_TEST(!life.IsReady());
  BOOST_TEST((life.Update(Report("a")) == Change::Connection));
  BOOST_TEST((life.Update(Report("a")) == Change::None));
  BOOST_TEST((life.Update(Report("")) == Change::None));
  BOOST_TEST((life.Update(Report("b")) == Change::Boot));
  BOOST_TEST((life.Update(Report("a")) == Change::Stale));
  BOOST_TEST((life.Update(Report("b")) == Change::None));
  BOOST_TEST((life.Update({}) == Change::Connection));
  BOOST_TEST(!life.IsReady());
}

// Guards against one wrong boot ID after which every report of the real life
// counts as late, the one about its drain included.
BOOST_AUTO_TEST_CASE(P8_LateReport_TheRealLifeIsBelievedAgain)
{
  BackendLife life;
  life.Update(Report("real"));
  life.Update(Report("wrong"));
  const auto draining = Report("real", BackendHealth::Draining);
  BOOST_TEST((life.Update(draining) == Change::Stale));
  BOOST_TEST(life.IsLeaving());
  const auto ok = Report("real", BackendHealth::Ok);
  BOOST_TEST((life.Update(ok) == Change::Boot));
  BOOST_TEST(!life.IsLeaving());
}

// Guards against a load report, which has no health, that ends a drain.
BOOST_AUTO_TEST_CASE(P8_ReportWithoutHealth_KeepsTheDrain)
{
  BackendLife life;
  life.Update(Report("a", BackendHealth::Draining));
  life.Update(Report("b"));
  BOOST_TEST(life.IsLeaving());
}

BOOST_AUTO_TEST_SUITE_END()
