#include <boost/test/unit_test.hpp>

#include "src/FlowDaemon/NodeMetrics.h"

using namespace snipepost;

BOOST_AUTO_TEST_SUITE(NodeMetricsTest)

// Guards against a counter that includes the offers or refusals of overflow, or
// flows that follow the weights.
BOOST_AUTO_TEST_CASE(OverflowCountsFlowsThatAnotherServiceAccepted)
{
  NodeMetrics metrics;
  flow::Decision decision;
  decision.mVerdict = flow::Verdict::Placed;
  metrics.OnDecision(decision);
  decision.mService = "library";
  metrics.OnDecision(decision);
  decision.mVerdict = flow::Verdict::Refused;
  metrics.OnDecision(decision);
  BOOST_TEST(metrics.Text().find("\nsnipepost_overflow_flows_total 1\n") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
