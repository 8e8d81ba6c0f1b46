#include <boost/test/unit_test.hpp>

#include "tests/Flow/OwnerLookupCheck.h"

namespace snipepost::flow {

BOOST_AUTO_TEST_SUITE(OwnerLookupRemovalTest)

// Guards against the reset of a flow that is open at a running server, also
// when the server's record was wrongly removed and its agent writes it again.
BOOST_AUTO_TEST_CASE(OpenFlowOfARemovedRecordIsNotReset)
{
  CheckSchedules({});
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace snipepost::flow
