#include <boost/test/unit_test.hpp>

#include <optional>

#include <snipepost/Http2/Server.h>
#include <snipepost/ObjectApi/ObjectClient.h>

#include "tests/Http2/Loop.h"

using namespace snipepost;
using http2::Responder;
using http2::ServerRequest;

BOOST_TEST_DONT_PRINT_LOG_VALUE(snipepost::ObjectOutcome)

namespace {

using ResponderPointer = std::shared_ptr<Responder>;

/// A server that records the last request and runs the test's handler, and a
/// client of it.
struct Fixture
{
  asio::io_context mContext;
  ServerRequest mRequest;
  int mRequests = 0;
  std::function<void(const ResponderPointer&)> mHandler;
  http2::Server mServer{ mContext,
                         kLoopbackAnyPort,
                         [this](ServerRequest aRequest,
                                const ResponderPointer& aResponder) {
                           mRequest = std::move(aRequest);
                           ++mRequests;
                           mHandler(aResponder);
                         } };
  ObjectClient mClient{ mContext, mServer.LocalAddress(), Options() };

  static ObjectClientOptions Options()
  {
    return { .mTimeout = std::chrono::milliseconds(100),
             .mWatchMargin = std::chrono::milliseconds(50) };
  }

  void RespondWith(int aStatus, std::string aBody)
  {
    mHandler = [aStatus, aBody](const ResponderPointer& aResponder) {
      aResponder->Respond(aStatus, {}, aBody);
    };
  }

  template<typename ResultType, typename Start>
  ResultType Run(Start aStart)
  {
    std::optional<ResultType> result;
    aStart([&](ResultType aResult) { result = std::move(aResult); });
    BOOST_REQUIRE(RunUntil(mContext, [&] { return result.has_value(); }));
    return *result;
  }

  GetResult Get()
  {
    return Run<GetResult>([this](auto aDone) { mClient.Get("a/b c", aDone); });
  }

  WriteResult Put(WriteCondition aCondition)
  {
    return Run<WriteResult>([&](auto aDone) {
      mClient.Put("k", "v", aCondition, aDone, std::chrono::milliseconds(1500));
    });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ObjectClientTest, Fixture)

BOOST_AUTO_TEST_CASE(GetReadsTheObject)
{
  RespondWith(200, R"({"key":"a/b c","version":7,"value":"x"})");
  const GetResult result = Get();
  BOOST_TEST(result.mOutcome == ObjectOutcome::Done);
  BOOST_TEST(mRequest.mPath == "/v1/objects/a/b%20c");
  BOOST_TEST(result.mObject->mVersion.Value() == 7U);
  BOOST_TEST(result.mObject->mValue == "x");
  RespondWith(404, "");
  BOOST_TEST(Get().mOutcome == ObjectOutcome::Absent);
}

BOOST_AUTO_TEST_CASE(ConditionsAndLeaseAreSentAsHeaders)
{
  RespondWith(200, R"({"version":8})");
  BOOST_TEST(Put(WriteCondition::IfAbsent()).mVersion.Value() == 8U);
  BOOST_TEST(mRequest.mMethod == "PUT");
  BOOST_TEST(mRequest.mBody == "v");
  BOOST_TEST(http2::FindHeader(mRequest.mHeaders, "if-none-match") == "*");
  BOOST_TEST(http2::FindHeader(mRequest.mHeaders, "lease-seconds") == "2");
  Put(WriteCondition::IfVersion(ObjectVersion(8)));
  BOOST_TEST(http2::FindHeader(mRequest.mHeaders, "if-match") == "8");
}

BOOST_AUTO_TEST_CASE(ConflictReturnsTheStoredObject)
{
  RespondWith(412, R"({"current":{"key":"k","version":9,"value":"other"}})");
  const WriteResult result = Put(WriteCondition::IfAbsent());
  BOOST_TEST(result.mOutcome == ObjectOutcome::Conflict);
  BOOST_TEST(result.mCurrent->mValue == "other");
}

// Guards against reporting a write whose effect is unknown as done or refused,
// and against a retry that the caller did not request.
BOOST_AUTO_TEST_CASE(P10_StoreFaults_AreDistinguished)
{
  const auto outcome = [this] {
    return Put(WriteCondition::Always()).mOutcome;
  };
  RespondWith(429, "");
  BOOST_TEST(outcome() == ObjectOutcome::Refused);
  RespondWith(503, "");
  BOOST_TEST(outcome() == ObjectOutcome::Refused);
  RespondWith(500, "");
  BOOST_TEST(outcome() == ObjectOutcome::Unknown);
  RespondWith(200, "{");
  BOOST_TEST(outcome() == ObjectOutcome::Unknown);
  mHandler = [](const ResponderPointer& aResponder) {
    aResponder->Reset(http2::ResetCode::RefusedStream);
  };
  BOOST_TEST(outcome() == ObjectOutcome::Refused);
  mHandler = [](const ResponderPointer& aResponder) {
    aResponder->Reset(http2::ResetCode::Cancel);
  };
  BOOST_TEST(outcome() == ObjectOutcome::Unknown);
  ResponderPointer responder;
  mHandler = [&](const ResponderPointer& aResponder) {
    responder = aResponder;
  };
  BOOST_TEST(outcome() == ObjectOutcome::Unknown);
  BOOST_TEST(mRequests == 7);
}

BOOST_AUTO_TEST_CASE(ListAndWatchReadObjectsAndEvents)
{
  RespondWith(
    200, R"({"revision":5,"objects":[{"key":"p/1","version":5,"value":"x"}]})");
  const auto list =
    Run<ListResult>([this](auto aDone) { mClient.List("p/", aDone); });
  BOOST_TEST(mRequest.mPath == "/v1/objects?prefix=p/");
  BOOST_TEST(list.mRevision == 5U);
  BOOST_TEST(list.mObjects.at(0).mKey == "p/1");
  RespondWith(200, R"({"revision":7,"events":[
    {"key":"p/1","version":6,"value":"y"},{"key":"p/1","version":7}]})");
  const auto watch = Run<WatchResult>([this](auto aDone) {
    mClient.Watch("p/", 5, std::chrono::seconds(1), aDone);
  });
  BOOST_TEST(mRequest.mPath == "/v1/watch?prefix=p/&since=5&wait=1");
  BOOST_TEST(watch.mRevision == 7U);
  BOOST_TEST(*watch.mEvents.at(0).mValue == "y");
  BOOST_TEST(!watch.mEvents.at(1).mValue);
}

// Guards against a watch that never ends because the platform has stalled.
BOOST_AUTO_TEST_CASE(P10_StoreStalled_WatchEnds)
{
  ResponderPointer responder;
  mHandler = [&](const ResponderPointer& aResponder) {
    responder = aResponder;
  };
  const auto watch = Run<WatchResult>([this](auto aDone) {
    mClient.Watch("p/", 5, std::chrono::seconds(0), aDone);
  });
  BOOST_TEST(watch.mOutcome == ObjectOutcome::Unknown);
}

BOOST_AUTO_TEST_SUITE_END()
