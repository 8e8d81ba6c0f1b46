#include <boost/test/unit_test.hpp>

#include <snipepost/Base/Backoff.h>

using namespace snipepost;

BOOST_AUTO_TEST_SUITE(BackoffTest)

// Guards against delays that grow without limit, and against synchronized
// retries.
BOOST_AUTO_TEST_CASE(DelaysAreJitteredBelowADoublingBound)
{
  Random random(7);
  Backoff backoff;
  Duration bound = Backoff::kFirst;
  Duration previous{ -1 };
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST((backoff.Bound() == bound));
    const Duration delay = backoff.Next(random);
    BOOST_TEST((delay >= Duration::zero() && delay <= bound));
    BOOST_TEST((delay != previous));
    previous = delay;
    bound = std::min(bound * 2, Duration(Backoff::kLimit));
  }
  BOOST_TEST((backoff.Bound() == Backoff::kLimit));
  backoff.Reset();
  BOOST_TEST((backoff.Bound() == Backoff::kFirst));
}

BOOST_AUTO_TEST_SUITE_END()
