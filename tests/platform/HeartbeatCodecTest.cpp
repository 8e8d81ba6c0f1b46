#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

#include "platform/HeartbeatCodec.h"

using namespace snipepost;

namespace {

platform::BackendCall
DecodeHeartbeat(const std::string& aBody)
{
  return platform::DecodeBackendCall(
    { "POST", "/-/instances/i-7f3a91c2/heartbeat", aBody });
}

const std::string kHeartbeatBody =
  R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"a",)"
  R"("version":"v1","concurrency":4,"state":"ready",)"
  R"("cold_remaining_ms":1500,"sequence":4,"born":1700000000123})";

} // namespace

BOOST_AUTO_TEST_SUITE(HeartbeatCodecTest)

BOOST_AUTO_TEST_CASE(DecodesHeartbeat)
{
  const auto call = DecodeHeartbeat(kHeartbeatBody);
  const auto* heartbeat = std::get_if<flow::Heartbeat>(&call);
  BOOST_REQUIRE(heartbeat);
  BOOST_TEST(heartbeat->mId == "i-7f3a91c2");
  BOOST_TEST(heartbeat->mService == "huvo11a");
  BOOST_TEST((heartbeat->mState == cluster::BackendState::Ready));
  BOOST_TEST(heartbeat->mSlots == 4U);
  BOOST_TEST((heartbeat->mColdRemaining == std::chrono::milliseconds(1500)));
  BOOST_TEST(heartbeat->mSequence == 4U);
  BOOST_TEST(heartbeat->mStartTime == 1700000000123U);
}

BOOST_AUTO_TEST_CASE(DecodesDeregistration)
{
  const auto call =
    platform::DecodeBackendCall({ "POST", "/-/instances/i-1/deregister", "" });
  const auto* deregistration = std::get_if<platform::Deregistration>(&call);
  BOOST_REQUIRE(deregistration);
  BOOST_TEST(deregistration->mId == "i-1");
}

// Other programs write the heartbeats: a malformed one must be rejected and not
// change the agent's state.
BOOST_AUTO_TEST_CASE(RejectsMissingAndMistypedFields)
{
  const char* const bodies[] = {
    "",
    "[]",
    "\xff\xfe",
    R"({"service":"s","state":"ready","concurrency":4})",
    R"({"service":7,"state":"ready","concurrency":4,"sequence":1})",
    R"({"service":"s","state":"asleep","concurrency":4,"sequence":1})",
    R"({"service":"s","state":"ready","concurrency":0,"sequence":1})",
    R"({"service":"s","state":"ready","concurrency":-4,"sequence":1})",
    R"({"service":"s","state":"ready","concurrency":"4","sequence":1})",
  };
  for (const char* body : bodies) {
    BOOST_TEST_CONTEXT(body)
    {
      const auto call = DecodeHeartbeat(body);
      BOOST_TEST(std::holds_alternative<platform::InvalidCall>(call));
    }
  }
}

BOOST_AUTO_TEST_CASE(RejectsOtherCalls)
{
  for (const auto& request :
       { http1::Request{ "GET", "/-/instances/i/heartbeat", kHeartbeatBody },
         http1::Request{ "POST", "/-/instances//heartbeat", kHeartbeatBody },
         http1::Request{ "POST", "/elsewhere", kHeartbeatBody } }) {
    const auto call = platform::DecodeBackendCall(request);
    BOOST_TEST(std::holds_alternative<platform::InvalidCall>(call));
  }
}

BOOST_AUTO_TEST_CASE(AnyBodyIsDecodedOrRejected)
{
  const bool passed = rc::check([](const std::string& aBody) {
    const auto call = DecodeHeartbeat(aBody);
    RC_ASSERT(!std::holds_alternative<platform::Deregistration>(call));
  });
  BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(RecognizesReadinessProbe)
{
  BOOST_TEST(platform::IsReadinessProbe({ "GET", "/-/ready", "" }));
  BOOST_TEST(!platform::IsReadinessProbe({ "POST", "/-/ready", "" }));
  BOOST_TEST(!platform::IsReadinessProbe({ "GET", "/", "" }));
}

BOOST_AUTO_TEST_SUITE_END()
