#include <array>

#include <boost/test/unit_test.hpp>

#include <snipepost/Http1/Client.h>
#include <snipepost/Http1/Server.h>
#include <snipepost/Net/DatagramSocket.h>

#include "tests/Http1/SlowServer.h"

using namespace snipepost;
using namespace std::chrono_literals;
using http1::Result;

namespace {

constexpr Address kLoopback{ 0x7f000001, 0 };

struct ClientFixture
{
  Result Call(http1::Client& aClient,
              http1::Request aRequest,
              Duration aTimeout,
              http1::Response* aResponse = nullptr)
  {
    return Call(aClient,
                std::move(aRequest),
                { aTimeout, aTimeout, aTimeout },
                aResponse);
  }

  Result Call(http1::Client& aClient,
              http1::Request aRequest,
              const http1::CallTimeouts& aTimeouts,
              http1::Response* aResponse = nullptr)
  {
    std::optional<Result> outcome;
    aClient.Call(std::move(aRequest),
                 aTimeouts,
                 [&](Result aResult, const http1::Response& aReceived) {
                   outcome = aResult;
                   if (aResponse) {
                     *aResponse = aReceived;
                   }
                 });
    const auto end = std::chrono::steady_clock::now() + 5s;
    while (!outcome && std::chrono::steady_clock::now() < end) {
      mContext.run_one_for(100ms);
    }
    BOOST_REQUIRE(outcome.has_value());
    return *outcome;
  }

  asio::io_context mContext;
};

/// Accepts connections and sends a fixed text on each, or nothing when it is
/// empty.
class RawServer
{
public:
  RawServer(asio::io_context& aContext, std::string aText)
    : mAcceptor(aContext, ToTcp(kLoopback))
    , mText(std::move(aText))
  {
    Accept();
  }

  Address Local() const
  {
    return { 0x7f000001, mAcceptor.local_endpoint().port() };
  }
  size_t Connections() const { return mSockets.size(); }

private:
  void Accept()
  {
    mAcceptor.async_accept(
      [this](const asio::error_code& aError, asio::ip::tcp::socket aSocket) {
        if (aError) {
          return;
        }
        mSockets.push_back(
          std::make_unique<asio::ip::tcp::socket>(std::move(aSocket)));
        if (!mText.empty()) {
          asio::error_code ignored; // The client may have disconnected.
          asio::write(*mSockets.back(), asio::buffer(mText), ignored);
          mSockets.back()->close(ignored);
        }
        Accept();
      });
  }

  asio::ip::tcp::acceptor mAcceptor;
  std::string mText;
  std::vector<std::unique_ptr<asio::ip::tcp::socket>> mSockets;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Http1ClientServerTest, ClientFixture)

BOOST_AUTO_TEST_CASE(CallsShareAConnection)
{
  http1::Server server(mContext, kLoopback, [](const http1::Request& aRequest) {
    return http1::Response{ aRequest.mBody.empty() ? 404U : 200U,
                            aRequest.mMethod + ' ' + aRequest.mPath + ' ' +
                              aRequest.mBody };
  });
  http1::Client client(mContext, server.Local());
  http1::Response response;
  BOOST_TEST(
    (Call(client, { "PUT", "/a?b=1", "{}" }, 1s, &response) == Result::Ok));
  BOOST_TEST(response.mStatus == 200U);
  BOOST_TEST(response.mBody == "PUT /a?b=1 {}");
  BOOST_TEST((Call(client, { "GET", "/b", "" }, 1s, &response) == Result::Ok));
  BOOST_TEST(response.mStatus == 404U);
}

// A connection without a response must not delay the following calls.
BOOST_AUTO_TEST_CASE(UnresponsiveConnectionIsReplaced)
{
  RawServer server(mContext, "");
  http1::Client client(mContext, server.Local());
  BOOST_TEST((Call(client, {}, 50ms) == Result::TimedOut));
  BOOST_TEST((Call(client, {}, 50ms) == Result::TimedOut));
  BOOST_TEST(server.Connections() == 2U);
}

// Guards against large responses that never arrive on a slow link, because the
// call times out while their bytes keep arriving.
BOOST_AUTO_TEST_CASE(ResponseThatKeepsArrivingIsReceived)
{
  const std::string body(4000, 'x');
  SlowServer server(mContext, kLoopback, body, 400, 40ms);
  http1::Client client(mContext, server.Local());
  http1::Response response;
  const http1::CallTimeouts timeouts{ 200ms, 200ms, 10s };
  BOOST_TEST((Call(client, {}, timeouts, &response) == Result::Ok));
  BOOST_TEST(response.mBody == body);
}

// A connection that falls silent in the middle of a response must not occupy
// the client until the limit of long transfers.
BOOST_AUTO_TEST_CASE(ResponseThatStopsArrivingTimesOut)
{
  SlowServer server(mContext, kLoopback, std::string(4000, 'x'), 400, 10ms, 3);
  http1::Client client(mContext, server.Local());
  const auto start = std::chrono::steady_clock::now();
  const http1::CallTimeouts timeouts{ 100ms, 100ms, 4s };
  BOOST_TEST((Call(client, {}, timeouts) == Result::TimedOut));
  BOOST_TEST((std::chrono::steady_clock::now() - start < 2s));
}

// A server that sends a byte now and then must not occupy the client for ever.
BOOST_AUTO_TEST_CASE(ResponseThatTakesTooLongInAllTimesOut)
{
  SlowServer server(mContext, kLoopback, std::string(4000, 'x'), 1, 10ms);
  http1::Client client(mContext, server.Local());
  const http1::CallTimeouts timeouts{ 100ms, 100ms, 300ms };
  BOOST_TEST((Call(client, {}, timeouts) == Result::TimedOut));
}

BOOST_AUTO_TEST_CASE(MalformedAndTruncatedResponsesAreBroken)
{
  for (const char* text :
       { "nonsense\r\n\r\n",
         "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf" }) {
    RawServer server(mContext, text);
    http1::Client client(mContext, server.Local());
    BOOST_TEST((Call(client, {}, 1s) == Result::Broken));
  }
}

BOOST_AUTO_TEST_CASE(RefusedConnectionIsNotConnected)
{
  Address closed;
  {
    RawServer server(mContext, "");
    closed = server.Local();
  }
  http1::Client client(mContext, closed);
  BOOST_TEST((Call(client, {}, 1s) == Result::NotConnected));
}

// Guards against a call with a long timeout, such as a watch, that waits all
// this time for a connection to a server that does not respond.
BOOST_AUTO_TEST_CASE(UnansweredConnectionAttemptEndsBeforeTheCallTimeout)
{
  // A full accept queue drops further connection attempts.
  asio::ip::tcp::acceptor acceptor(mContext);
  acceptor.open(asio::ip::tcp::v4());
  acceptor.bind(ToTcp(kLoopback));
  acceptor.listen(0);
  const Address server{ kLoopback.mIp, acceptor.local_endpoint().port() };
  asio::ip::tcp::socket queued(mContext);
  queued.connect(ToTcp(server));
  http1::Client client(mContext, server);
  const auto start = std::chrono::steady_clock::now();
  BOOST_TEST((Call(client, {}, 20s) == Result::NotConnected));
  BOOST_TEST((std::chrono::steady_clock::now() - start < 2s));
}

BOOST_AUTO_TEST_CASE(DestructionDropsCallsWithoutCallingHandlers)
{
  RawServer server(mContext, "");
  bool called = false;
  {
    http1::Client client(mContext, server.Local());
    client.Call(
      {}, 20ms, [&](Result, const http1::Response&) { called = true; });
    mContext.run_for(5ms);
  }
  mContext.restart();
  mContext.run_for(50ms);
  BOOST_TEST(!called);
}

// The server must close connections that do not send HTTP and keep serving
// others.
BOOST_AUTO_TEST_CASE(ServerClosesMalformedRequests)
{
  http1::Server server(mContext, kLoopback, [](const http1::Request&) {
    return http1::Response{ 200, "fine" };
  });
  asio::ip::tcp::socket raw(mContext);
  raw.connect(ToTcp(server.Local()));
  asio::write(raw, asio::buffer(std::string("\x01\x02 garbage\r\n\r\n")));
  bool closed = false;
  std::array<char, 64> bytes{};
  raw.async_read_some(asio::buffer(bytes),
                      [&](const asio::error_code& aError, size_t) {
                        closed = static_cast<bool>(aError);
                      });
  mContext.run_for(100ms);
  mContext.restart();
  BOOST_TEST(closed);
  http1::Client client(mContext, server.Local());
  BOOST_TEST((Call(client, {}, 1s) == Result::Ok));
}

// The names of header fields have no case, and a field of one response must not
// be taken for one of the next.
BOOST_AUTO_TEST_CASE(ResponseHasTheHeadersThatTheServerSent)
{
  std::vector<http1::HeaderField> headers = { { "Store-Era", "7" },
                                              { "Other", "a b" } };
  http1::Server server(mContext, kLoopback, [&](const http1::Request&) {
    http1::Response response{ 200, "{}" };
    response.mHeaders = std::exchange(headers, {});
    return response;
  });
  http1::Client client(mContext, server.Local());
  http1::Response response;
  BOOST_TEST((Call(client, {}, 1s, &response) == Result::Ok));
  BOOST_TEST(response.Header("store-era") == "7");
  BOOST_TEST(response.Header("OTHER") == "a b");
  BOOST_TEST(response.Header("missing").empty());
  BOOST_TEST((Call(client, {}, 1s, &response) == Result::Ok));
  BOOST_TEST(response.Header("Store-Era").empty());
}

BOOST_AUTO_TEST_SUITE_END()
