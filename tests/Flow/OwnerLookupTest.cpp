#include <boost/test/unit_test.hpp>

#include "tests/Flow/OwnerLookupCheck.h"

namespace snipepost::flow {

BOOST_AUTO_TEST_SUITE(OwnerLookupTest)

// Guards against the reset of a flow that is open at a running server, whatever
// the state of the instance that looks up its owner. OwnerLookupRemovalTest
// adds the removal of records.
BOOST_AUTO_TEST_CASE(OpenFlowIsNeverReset)
{
  CheckSchedules({ Disturbance::RemoveRecord });
}

// The same with the few kinds that decide which servers an entry instance
// asks. Seeds 1751 and 2461 failed when an exclusion was compared with records
// that are newer than the lookup.
BOOST_AUTO_TEST_CASE(OpenFlowIsNotResetWhenRecordsChange)
{
  using enum Disturbance;
  CheckSchedules({ RemoveRecord,
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
