#include <boost/test/unit_test.hpp>

#include <snipepost/Http1/Server.h>

#include "src/FlowCtl/FleetStatus.h"

using namespace snipepost;
using namespace snipepost::flowctl;

namespace {

constexpr uint16_t kPort = 38901;

std::string
StatusOf(const std::string& aName, int aConfig, const std::string& aPeers)
{
  return R"({"name":")" + aName + R"(","role":"entry","domain":"a","config":)" +
         std::to_string(aConfig) +
         R"(,"backends":2,"watching":true,"storeReachable":true,)"
         R"("evacuated":["b"],"entries":[)" +
         aPeers + R"(],"agents":["127.77.2.3"]})";
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetStatusTest)

// Instances known to a queried one are queried as well. An instance that has an
// older configuration or does not respond makes the fleet unhealthy.
BOOST_AUTO_TEST_CASE(QueriesAllKnownInstances)
{
  asio::io_context context;
  std::optional<http1::Server> first;
  std::optional<http1::Server> second;
  first.emplace(context,
                Address{ 0x7f4d0201, kPort },
                http1::RequestHandler([](const http1::Request&) {
                  return http1::Response{
                    200, StatusOf("n1", 7, "\"127.77.2.1\",\"127.77.2.2\"")
                  };
                }));
  second.emplace(context,
                 Address{ 0x7f4d0202, kPort },
                 http1::RequestHandler([](const http1::Request&) {
                   return http1::Response{ 200, StatusOf("n2", 5, "") };
                 }));
  FleetStatus fleet(context, std::chrono::seconds(1));
  fleet.Query({ 0x7f4d0201, kPort });
  context.run_for(std::chrono::seconds(2));
  BOOST_TEST(fleet.Instances().size() == 3U);
  bool allHealthy = true;
  const std::string text = StatusText(fleet.Instances(), allHealthy);
  BOOST_TEST(!allHealthy);
  BOOST_TEST(text.find("configuration older than version 7") !=
             std::string::npos);
  BOOST_TEST(text.find("127.77.2.3:38901       no valid status received") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
