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

constexpr size_t kLimit = 4UL * 1024 * 1024;

/// A server whose handler each test sets, and a client of it.
struct Fixture
{
  asio::io_context mContext;
  Handler mHandler;
  int mRequests = 0;
  Server mServer{ mContext,
                  kLoopbackAnyPort,
                  [this](ServerRequest aRequest, ResponderPointer aResponder) {
                    ++mRequests;
                    mHandler(std::move(aRequest), std::move(aResponder));
                  } };
  Client mClient{ mContext, mServer.LocalAddress() };
  std::optional<Result> mResult;
  Response mResponse;

  RequestId Start(Request aRequest)
  {
    mResult.reset();
    return mClient.Collect(
      std::move(aRequest), kLimit, [this](Result aResult, Response aResponse) {
        mResult = aResult;
        mResponse = std::move(aResponse);
      });
  }

  Result Finish()
  {
    BOOST_REQUIRE(RunUntil(mContext, [this] { return mResult.has_value(); }));
    return *mResult;
  }

  Result Run(Request aRequest)
  {
    Start(std::move(aRequest));
    return Finish();
  }
};

Request
Post(std::string aBody)
{
  return { .mMethod = "POST", .mPath = "/x", .mBody = std::move(aBody) };
}

void
Echo(ServerRequest aRequest, const ResponderPointer& aResponder)
{
  aResponder->Respond(
    200, { { "method", aRequest.mMethod } }, std::move(aRequest.mBody));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ClientServerTest, Fixture)

BOOST_AUTO_TEST_CASE(BodyLargerThanTheWindowsIsTransferredCompletely)
{
  mHandler = Echo;
  std::string body(1024UL * 1024, 'x');
  body[777777] = 'y';
  BOOST_TEST(Run(Post(body)) == Result::Answered);
  BOOST_TEST(mResponse.mStatus == 200);
  BOOST_TEST(FindHeader(mResponse.mHeaders, "method") == "POST");
  BOOST_TEST((mResponse.mBody == body));
}

// Guards against a sender that exceeds the stream window, and against a
// transfer that stalls after the window was exhausted.
BOOST_AUTO_TEST_CASE(StreamedResponseWaitsForItsConsumer)
{
  constexpr size_t kChunk = 16UL * 1024;
  constexpr size_t kChunks = 256;
  size_t written = 0;
  std::function<void()> write;
  mHandler = [&](const ServerRequest&, const ResponderPointer& aResponder) {
    aResponder->Start(200, {});
    write = [&written, aResponder] {
      while (written < kChunks) {
        ++written;
        if (!aResponder->Write(std::string(kChunk, 'a'))) {
          return;
        }
      }
      aResponder->End();
    };
    aResponder->OnWritable([&write] { write(); });
    write();
  };
  size_t received = 0;
  size_t unconsumed = 0;
  ResponseCallbacks callbacks;
  callbacks.mOnData = [&](Chunk aData) {
    received += aData.size();
    unconsumed += aData.size();
  };
  callbacks.mOnEnd = [&](Result aResult) { mResult = aResult; };
  const RequestId id = mClient.Send({}, std::move(callbacks));
  const size_t window = ClientOptions{}.mStreamWindow;
  BOOST_REQUIRE(RunUntil(mContext, [&] { return received >= window; }));
  RunReady(mContext);
  BOOST_TEST(received == window);
  BOOST_TEST(written < kChunks);

  // Other streams of the connection are not blocked meanwhile.
  const Handler streamingHandler = std::exchange(mHandler, Echo);
  std::optional<Result> other;
  mClient.Collect(Post("b"), kLimit, [&](Result aResult, const Response&) {
    other = aResult;
  });
  BOOST_REQUIRE(RunUntil(mContext, [&] { return other.has_value(); }));
  BOOST_TEST(*other == Result::Answered);

  BOOST_REQUIRE(RunUntil(mContext, [&] {
    mClient.Consume(id, std::exchange(unconsumed, 0));
    return mResult.has_value();
  }));
  BOOST_TEST(*mResult == Result::Answered);
  BOOST_TEST(received == kChunk * kChunks);
}

// Guards against later parts of a body being sent before its beginning while
// the connection is being established.
BOOST_AUTO_TEST_CASE(StreamedRequestBodyArrivesInOrder)
{
  mHandler = Echo;
  Request request = Post("1");
  request.mStreamed = true;
  const RequestId id = Start(request);
  mClient.Write(id, "2");
  BOOST_REQUIRE(RunUntil(mContext, [this] { return mClient.Connected(); }));
  RunReady(mContext);
  mClient.Write(id, "3");
  mClient.EndBody(id);
  BOOST_TEST(Finish() == Result::Answered);
  BOOST_TEST(mResponse.mBody == "123");
}

BOOST_AUTO_TEST_CASE(P6_StreamRefused_ReportsRefused)
{
  mHandler = [](const ServerRequest&, const ResponderPointer& aResponder) {
    aResponder->Reset(ResetCode::RefusedStream);
  };
  BOOST_TEST(Run({}) == Result::Refused);
}

// A reset after the response began cannot mean that nothing was processed.
BOOST_AUTO_TEST_CASE(P6_StreamRefusedAfterHeaders_ReportsBroken)
{
  ResponderPointer responder;
  mHandler = [&](const ServerRequest&, const ResponderPointer& aResponder) {
    responder = aResponder;
    responder->Start(200, {});
  };
  ResponseCallbacks callbacks;
  callbacks.mOnHeaders = [&](int, const Headers&) {
    responder->Reset(ResetCode::RefusedStream);
  };
  callbacks.mOnEnd = [&](Result aResult) { mResult = aResult; };
  mClient.Send({}, std::move(callbacks));
  BOOST_TEST(Finish() == Result::Broken);
}

BOOST_AUTO_TEST_CASE(P6_HandlerSendsNoResponse_ReportsBroken)
{
  mHandler = [](const ServerRequest&, const ResponderPointer&) {};
  BOOST_TEST(Run({}) == Result::Broken);
}

BOOST_AUTO_TEST_CASE(P6_ConnectionRefused_ReportsNotSent)
{
  asio::ip::tcp::acceptor acceptor(mContext,
                                   { asio::ip::address_v4::loopback(), 0 });
  const Address closed{ kLoopbackAnyPort.mIp,
                        acceptor.local_endpoint().port() };
  acceptor.close();
  Client client(mContext, closed);
  client.Collect(
    {}, kLimit, [this](Result aResult, const Response&) { mResult = aResult; });
  BOOST_TEST(Finish() == Result::NotSent);
}

// Guards against a lost connection being reported as if the request had not
// been processed, and against a client that does not reconnect afterwards.
BOOST_AUTO_TEST_CASE(P6_ConnectionLost_ReportsBrokenAndReconnects)
{
  mHandler = [this](const ServerRequest&, const ResponderPointer& aResponder) {
    aResponder->Start(200, {});
    mClient.Close();
  };
  BOOST_TEST(Run({}) == Result::Broken);
  mHandler = Echo;
  BOOST_TEST(Run(Post("again")) == Result::Answered);
}

BOOST_AUTO_TEST_CASE(P6_NoResponseInTime_ReportsTimedOutAndCancels)
{
  ResponderPointer responder;
  bool cancelled = false;
  mHandler = [&](const ServerRequest&, const ResponderPointer& aResponder) {
    responder = aResponder;
    responder->OnCancel([&] { cancelled = true; });
  };
  Request request;
  request.mTimeout = std::chrono::milliseconds(50);
  BOOST_TEST(Run(request) == Result::TimedOut);
  BOOST_TEST(RunUntil(mContext, [&] { return cancelled; }));
  BOOST_TEST(!responder->Open());
}

BOOST_AUTO_TEST_CASE(CancelReachesTheHandler)
{
  ResponderPointer responder;
  bool cancelled = false;
  mHandler = [&](const ServerRequest&, const ResponderPointer& aResponder) {
    responder = aResponder;
    responder->OnCancel([&] { cancelled = true; });
  };
  const RequestId id = Start({});
  BOOST_REQUIRE(RunUntil(mContext, [&] { return responder != nullptr; }));
  mClient.Cancel(id);
  BOOST_TEST(Finish() == Result::Cancelled);
  BOOST_TEST(RunUntil(mContext, [&] { return cancelled; }));
  responder->Respond(200, {}, "late");
  RunReady(mContext);
}

BOOST_AUTO_TEST_CASE(CancelBeforeConnectingSendsNothing)
{
  mHandler = Echo;
  mClient.Cancel(Start({}));
  BOOST_TEST(Finish() == Result::Cancelled);
  BOOST_TEST(Run({}) == Result::Answered);
  BOOST_TEST(mRequests == 1);
}

// P9: requests in progress complete; later ones are reported as not processed
// or use a new connection.
BOOST_AUTO_TEST_CASE(P9_Shutdown_FinishesRequestsInProgress)
{
  ResponderPointer responder;
  mHandler = [&](const ServerRequest&, const ResponderPointer& aResponder) {
    responder = aResponder;
  };
  Start({});
  BOOST_REQUIRE(RunUntil(mContext, [&] { return responder != nullptr; }));
  bool done = false;
  mServer.Shutdown([&] { done = true; });
  BOOST_REQUIRE(RunUntil(mContext, [&] { return !mClient.Connected(); }));
  std::optional<Result> later;
  mClient.Collect(
    {}, kLimit, [&](Result aResult, const Response&) { later = aResult; });
  BOOST_REQUIRE(RunUntil(mContext, [&] { return later.has_value(); }));
  BOOST_TEST(*later == Result::NotSent);
  BOOST_TEST(!done);
  responder->Respond(200, {}, "finished");
  BOOST_TEST(Finish() == Result::Answered);
  BOOST_TEST(mResponse.mBody == "finished");
  BOOST_TEST(RunUntil(mContext, [&] { return done; }));
}

// Guards against a stream above GOAWAY's last ID being reported as possibly
// processed, and against one up to that ID being reported as refused.
BOOST_AUTO_TEST_CASE(P6_GoAway_RefusesOnlyStreamsAboveItsLastId)
{
  using namespace std::string_literals;
  asio::ip::tcp::acceptor acceptor(mContext,
                                   { asio::ip::address_v4::loopback(), 0 });
  Client client(mContext,
                { kLoopbackAnyPort.mIp, acceptor.local_endpoint().port() });
  std::vector<Result> results;
  for (int i = 0; i < 2; ++i) {
    client.Collect({}, kLimit, [&](Result aResult, const Response&) {
      results.push_back(aResult);
    });
  }
  asio::ip::tcp::socket socket(mContext);
  bool accepted = false;
  acceptor.async_accept(socket,
                        [&](const asio::error_code&) { accepted = true; });
  BOOST_REQUIRE(
    RunUntil(mContext, [&] { return accepted && client.Connected(); }));
  // Lets the client send both requests, which it submitted on connecting.
  RunReady(mContext);
  const std::string settings = "\0\0\0\4\0\0\0\0\0"s;
  const std::string goAway =
    "\0\0\x08\7\0\0\0\0\0"s + "\0\0\0\1"s + "\0\0\0\0"s;
  asio::write(socket, asio::buffer(settings + goAway));
  BOOST_REQUIRE(RunUntil(mContext, [&] { return results.size() == 1; }));
  BOOST_TEST(results[0] == Result::Refused);
  socket.close();
  BOOST_REQUIRE(RunUntil(mContext, [&] { return results.size() == 2; }));
  BOOST_TEST(results[1] == Result::Broken);
}

BOOST_AUTO_TEST_CASE(CollectTruncatesABodyAboveItsLimit)
{
  mHandler = [](const ServerRequest&, const ResponderPointer& aResponder) {
    aResponder->Respond(200, {}, std::string(100, 'a'));
  };
  mClient.Collect({}, 10, [this](Result aResult, Response aResponse) {
    mResult = aResult;
    mResponse = std::move(aResponse);
  });
  BOOST_TEST(Finish() == Result::Answered);
  BOOST_TEST(mResponse.mTruncated);
  BOOST_TEST(mResponse.mBody.size() == 10U);
}

// Guards against callbacks into an owner that no longer exists, and against
// faults when a callback destroys the client that calls it.
BOOST_AUTO_TEST_CASE(DestroyingTheClientWithinACallbackIsSafe)
{
  mHandler = Echo;
  auto client = std::make_unique<Client>(mContext, mServer.LocalAddress());
  bool called = false;
  ResponseCallbacks callbacks;
  callbacks.mOnData = [&, marker = std::string(100, 'm')](Chunk) {
    client.reset();
    called = marker.size() == 100;
  };
  callbacks.mOnEnd = [](Result) { BOOST_ERROR("called after destruction"); };
  client->Send(Post("data"), std::move(callbacks));
  BOOST_TEST(RunUntil(mContext, [&] { return called; }));
  RunReady(mContext);
}

// Guards against dropping requests beyond the server's limit of concurrent
// streams.
BOOST_AUTO_TEST_CASE(RequestsAboveTheStreamLimitAreQueued)
{
  mHandler = Echo;
  int answered = 0;
  constexpr int kRequestCount = 500;
  for (int i = 0; i < kRequestCount; ++i) {
    mClient.Collect(Post("x"), kLimit, [&](Result aResult, const Response&) {
      answered += aResult == Result::Answered ? 1 : 0;
    });
  }
  BOOST_TEST(RunUntil(mContext, [&] { return answered == kRequestCount; }));
}

BOOST_AUTO_TEST_SUITE_END()
