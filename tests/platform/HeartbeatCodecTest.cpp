#include <utility>
#include <vector>

#include <boost/json.hpp>
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
  BOOST_TEST(deregistration->mStartTime == 0U);
  const auto withStartTime = platform::DecodeBackendCall(
    { "POST", "/-/instances/i-1/deregister", R"({"born":17})" });
  BOOST_TEST(std::get<platform::Deregistration>(withStartTime).mStartTime ==
             17U);
}

// Other programs write the heartbeats: a malformed one must be rejected and not
// change the agent's state.
BOOST_AUTO_TEST_CASE(RejectsMissingAndMistypedFields)
{
  for (const char* body : { "", "[]", "\xff\xfe" }) {
    BOOST_TEST(
      std::holds_alternative<platform::InvalidCall>(DecodeHeartbeat(body)));
  }
  const std::pair<const char*, std::vector<const char*>> badValues[] = {
    { "service", { "7", "null", "[]" } },
    { "address", { "7", "null", R"("10.0.0.1:99999")", R"("nowhere")" } },
    { "zone", { "7", "null" } },
    { "version", { "7", "{}" } },
    { "concurrency", { "0", "-4", R"("4")", "4.5", "1e30" } },
    { "state", { R"("asleep")", "7" } },
    { "cold_remaining_ms", { "-1", R"("0")", "1e300" } },
    { "sequence", { "-1", R"("4")", "null" } },
    { "born", { "-1", R"("1700000000123")", "null", "0.5" } },
  };
  for (const auto& [field, values] : badValues) {
    auto object = boost::json::parse(kHeartbeatBody).as_object();
    BOOST_TEST_CONTEXT(field)
    {
      for (const char* value : values) {
        object[field] = boost::json::parse(value);
        const auto call = DecodeHeartbeat(boost::json::serialize(object));
        BOOST_TEST(std::holds_alternative<platform::InvalidCall>(call));
      }
      // A server reports its start time always or never.
      if (std::string_view(field) != "born") {
        object.erase(field);
        const auto call = DecodeHeartbeat(boost::json::serialize(object));
        BOOST_TEST(std::holds_alternative<platform::InvalidCall>(call));
      }
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
