#include <boost/test/unit_test.hpp>

#include <optional>

#include <snipepost/Http2/Client.h>
#include <snipepost/Http2/Server.h>

#include "Loop.h"

using namespace snipepost;
using namespace snipepost::http2;

BOOST_TEST_DONT_PRINT_LOG_VALUE(snipepost::http2::Result)

namespace {

using ResponderPointer = std::shared_ptr<Responder>;

struct Fixture
{
  asio::io_context mContext;
  int mRequests = 0;
  std::optional<Result> mResult;
  Response mResponse;

  Handler CountingHandler()
  {
    return [this](const ServerRequest&, const ResponderPointer& aResponder) {
      ++mRequests;
      aResponder->Respond(200, {}, "");
    };
  }

  Result Run(Client& aClient, Request aRequest)
  {
    mResult.reset();
    aClient.Collect(
      std::move(aRequest), 1024, [this](Result aResult, Response aResponse) {
        mResult = aResult;
        mResponse = std::move(aResponse);
      });
    BOOST_REQUIRE(RunUntil(mContext, [this] { return mResult.has_value(); }));
    return *mResult;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerLimitsTest, Fixture)

// Guards against memory exhaustion by a single request body.
BOOST_AUTO_TEST_CASE(BodyAboveTheLimitGets413)
{
  Server server(mContext, kLoopbackAnyPort, CountingHandler());
  Client client(mContext, server.LocalAddress());
  Request request{ .mMethod = "POST", .mPath = "/" };
  request.mBody = std::string(ServerOptions{}.mMaxBody + 1, 'x');
  BOOST_TEST(Run(client, request) == Result::Answered);
  BOOST_TEST(mResponse.mStatus == 413);
  request.mBody.pop_back();
  BOOST_TEST(Run(client, request) == Result::Answered);
  BOOST_TEST(mResponse.mStatus == 200);
  BOOST_TEST(mRequests == 1);
}

// Guards against memory exhaustion by header fields.
BOOST_AUTO_TEST_CASE(HeadersAboveTheLimitGet431)
{
  Server server(mContext, kLoopbackAnyPort, CountingHandler());
  Client client(mContext, server.LocalAddress());
  Request request;
  request.mHeaders = { { "a", std::string(12UL * 1024, 'x') },
                       { "b", std::string(12UL * 1024, 'y') } };
  BOOST_TEST(Run(client, request) == Result::Answered);
  BOOST_TEST(mResponse.mStatus == 431);
  BOOST_TEST(mRequests == 0);
}

// Guards against a server that runs out of file descriptors, and against one
// that accepts no connection after it has reached its limit.
BOOST_AUTO_TEST_CASE(ConnectionsAboveTheLimitAreClosed)
{
  ServerOptions options;
  options.mMaxConnections = 1;
  Server server(mContext, kLoopbackAnyPort, CountingHandler(), options);
  Client second(mContext, server.LocalAddress());
  {
    Client first(mContext, server.LocalAddress());
    BOOST_TEST(Run(first, {}) == Result::Answered);
    const Result result = Run(second, {});
    BOOST_TEST((result == Result::Broken || result == Result::NotSent));
  }
  BOOST_REQUIRE(RunUntil(mContext, [&] { return server.Connections() == 0; }));
  BOOST_TEST(Run(second, {}) == Result::Answered);
}

// Guards against connections that stay open without sending anything.
BOOST_AUTO_TEST_CASE(ConnectionWithoutPrefaceIsClosed)
{
  ServerOptions options;
  options.mPrefaceTimeout = std::chrono::milliseconds(20);
  Server server(mContext, kLoopbackAnyPort, CountingHandler(), options);
  asio::ip::tcp::socket socket(mContext);
  const Address address = server.LocalAddress();
  socket.connect({ asio::ip::address_v4(address.mIp), address.mPort });
  BOOST_REQUIRE(RunUntil(mContext, [&] { return server.Connections() == 1; }));
  BOOST_TEST(RunUntil(mContext, [&] { return server.Connections() == 0; }));
}

// Guards against callbacks to a handler whose owner no longer exists.
BOOST_AUTO_TEST_CASE(DestroyedServerCallsNoCallback)
{
  ResponderPointer responder;
  auto server = std::make_unique<Server>(
    mContext,
    kLoopbackAnyPort,
    [&](const ServerRequest&, const ResponderPointer& aResponder) {
      responder = aResponder;
      responder->OnCancel([] { BOOST_ERROR("called after destruction"); });
    });
  Client client(mContext, server->LocalAddress());
  client.Collect(
    {}, 1024, [this](Result aResult, const Response&) { mResult = aResult; });
  BOOST_REQUIRE(RunUntil(mContext, [&] { return responder != nullptr; }));
  server.reset();
  BOOST_REQUIRE(RunUntil(mContext, [this] { return mResult.has_value(); }));
  BOOST_TEST(*mResult == Result::Broken);
  responder->Respond(200, {}, "");
  RunReady(mContext);
}

BOOST_AUTO_TEST_SUITE_END()
