#include <boost/test/unit_test.hpp>

#include <snipepost/Admission/DrainState.h>

using namespace snipepost;
using namespace std::chrono_literals;

namespace {

constexpr Instant kStart{ 100s };
using Phase = DrainState::Phase;

} // namespace

BOOST_AUTO_TEST_SUITE(DrainStateTest)

// Guards against a final GOAWAY that is sent without the shutdown notice when
// the process was paused.
BOOST_AUTO_TEST_CASE(P8_Paused_NoPhaseIsSkipped)
{
  DrainState drain{ DrainOptions{} };
  BOOST_TEST(!drain.Advance(kStart));
  drain.Start(kStart, true);
  for (const Phase phase :
       { Phase::Announced, Phase::Closing, Phase::Emptying }) {
    BOOST_TEST(drain.Advance(kStart + 60s));
    BOOST_TEST((drain.Current() == phase));
  }
  BOOST_TEST(!drain.Advance(kStart + 60s));
}

BOOST_AUTO_TEST_CASE(EachPhaseBeginsAtItsTime)
{
  DrainState drain{ DrainOptions{} };
  drain.Start(kStart, true);
  BOOST_TEST(drain.Advance(kStart));
  drain.Start(kStart + 500ms, true);
  BOOST_TEST(!drain.Advance(kStart + 999ms));
  BOOST_TEST(drain.Advance(kStart + 1s));
  BOOST_TEST((drain.NextStep() == kStart + 4s));
  drain.Stop();
  BOOST_TEST((drain.Current() == Phase::Serving));
  BOOST_TEST(!drain.NextStep().has_value());
}

// Guards against a restarted agent that starts the drain of its backend server
// again and accepts requests until the final GOAWAY.
BOOST_AUTO_TEST_CASE(P8_AgentRestart_EmptyingBeginsAtOnce)
{
  DrainState drain{ DrainOptions{} };
  drain.Start(kStart, false);
  while (drain.Advance(kStart)) {
  }
  BOOST_TEST((drain.Current() == Phase::Emptying));
}

BOOST_AUTO_TEST_SUITE_END()
