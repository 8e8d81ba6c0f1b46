#include <boost/test/unit_test.hpp>

#include "tests/Flow/OwnerLookupCheck.h"

namespace snipepost::flow {

BOOST_AUTO_TEST_SUITE(OwnerLookupTest)

// Guards against the reset of a flow that is open at a running server, whatever
// the state of the instance that looks up its owner. OwnerLookupRemovalTest
// adds the removal of records.
BOOST_AUTO_TEST_CASE(OpenFlowIsNeverReset)
{
  CheckSchedules(/*aWithout=*/{ Disturbance::RemoveRecord });
}

// The same without the kinds that are listed, so that the remaining ones, which
// decide which servers an entry instance asks, occur more often. Guards against
// an exclusion that is compared with newer records than the lookup was made
// with (seeds 1751 and 2461).
BOOST_AUTO_TEST_CASE(OpenFlowIsNotResetWhenRecordsChange)
{
  using enum Disturbance;
  CheckSchedules(/*aWithout=*/{ RemoveRecord,
                                MoveRoute,
                                ChangeWeights,
                                RemoveRoute,
                                RestartAgent,
                                RestartServer,
                                RestartMachine,
                                Evacuate,
                                EndEvacuation,
                                RemoveServer,
                                DelayState });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace snipepost::flow
