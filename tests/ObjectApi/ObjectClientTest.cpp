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

/// A server that records the last request and answers as the test says.
struct Fixture
{
  asio::io_context mContext;
  ServerRequest mRequest;
  int mRequests = 0;
  std::function<void(const ResponderPointer&)> mAnswer;
  http2::Server mServer{ mContext,
                         kAnyPort,
                         [this](ServerRequest aRequest,
                                const ResponderPointer& aResponder) {
                           mRequest = std::move(aRequest);
                           ++mRequests;
                           mAnswer(aResponder);
                         } };
  ObjectClient mClient{ mContext, mServer.LocalAddress(), Options() };

  static ObjectClientOptions Options()
  {
    return { .mTimeout = std::chrono::milliseconds(100),
             .mWatchMargin = std::chrono::milliseconds(50) };
  }

  void AnswerWith(int aStatus, std::string aBody)
  {
    mAnswer = [aStatus, aBody](const ResponderPointer& aResponder) {
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
  AnswerWith(200, R"({"key":"a/b c","version":7,"value":"x"})");
  const GetResult result = Get();
  BOOST_TEST(result.mOutcome == ObjectOutcome::Done);
  BOOST_TEST(mRequest.mPath == "/v1/objects/a/b%20c");
  BOOST_TEST(result.mObject->mVersion.Value() == 7U);
  BOOST_TEST(result.mObject->mValue == "x");
  AnswerWith(404, "");
  BOOST_TEST(Get().mOutcome == ObjectOutcome::Absent);
}

BOOST_AUTO_TEST_CASE(ConditionsAndLeaseTravelAsHeaders)
{
  AnswerWith(200, R"({"version":8})");
  BOOST_TEST(Put(WriteCondition::IfAbsent()).mVersion.Value() == 8U);
  BOOST_TEST(mRequest.mMethod == "PUT");
  BOOST_TEST(mRequest.mBody == "v");
  BOOST_TEST(http2::FindHeader(mRequest.mHeaders, "if-none-match") == "*");
  BOOST_TEST(http2::FindHeader(mRequest.mHeaders, "lease-seconds") == "2");
  Put(WriteCondition::IfVersion(ObjectVersion(8)));
  BOOST_TEST(http2::FindHeader(mRequest.mHeaders, "if-match") == "8");
}

BOOST_AUTO_TEST_CASE(ConflictShowsWhatIsStored)
{
  AnswerWith(412, R"({"current":{"key":"k","version":9,"value":"other"}})");
  const WriteResult result = Put(WriteCondition::IfAbsent());
  BOOST_TEST(result.mOutcome == ObjectOutcome::Conflict);
  BOOST_TEST(result.mCurrent->mValue == "other");
}

// Guards against a write that is taken for undone, or done, when it is not
// known, and against a second attempt that the caller did not ask for.
BOOST_AUTO_TEST_CASE(P10_StoreFaults_AreToldApart)
{
  const auto outcome = [this] {
    return Put(WriteCondition::Always()).mOutcome;
  };
  AnswerWith(429, "");
  BOOST_TEST(outcome() == ObjectOutcome::Refused);
  AnswerWith(503, "");
  BOOST_TEST(outcome() == ObjectOutcome::Refused);
  AnswerWith(500, "");
  BOOST_TEST(outcome() == ObjectOutcome::Unknown);
  AnswerWith(200, "{");
  BOOST_TEST(outcome() == ObjectOutcome::Unknown);
  mAnswer = [](const ResponderPointer& aResponder) {
    aResponder->Reset(http2::ResetCode::RefusedStream);
  };
  BOOST_TEST(outcome() == ObjectOutcome::Refused);
  mAnswer = [](const ResponderPointer& aResponder) {
    aResponder->Reset(http2::ResetCode::Cancel);
  };
  BOOST_TEST(outcome() == ObjectOutcome::Unknown);
  ResponderPointer kept;
  mAnswer = [&](const ResponderPointer& aResponder) { kept = aResponder; };
  BOOST_TEST(outcome() == ObjectOutcome::Unknown);
  BOOST_TEST(mRequests == 7);
}

BOOST_AUTO_TEST_CASE(ListAndWatchReadObjectsAndEvents)
{
  AnswerWith(
    200, R"({"revision":5,"objects":[{"key":"p/1","version":5,"value":"x"}]})");
  const auto list =
    Run<ListResult>([this](auto aDone) { mClient.List("p/", aDone); });
  BOOST_TEST(mRequest.mPath == "/v1/objects?prefix=p/");
  BOOST_TEST(list.mRevision == 5U);
  BOOST_TEST(list.mObjects.at(0).mKey == "p/1");
  AnswerWith(200, R"({"revision":7,"events":[
    {"key":"p/1","version":6,"value":"y"},{"key":"p/1","version":7}]})");
  const auto watch = Run<WatchResult>([this](auto aDone) {
    mClient.Watch("p/", 5, std::chrono::seconds(1), aDone);
  });
  BOOST_TEST(mRequest.mPath == "/v1/watch?prefix=p/&since=5&wait=1");
  BOOST_TEST(watch.mRevision == 7U);
  BOOST_TEST(*watch.mEvents.at(0).mValue == "y");
  BOOST_TEST(!watch.mEvents.at(1).mValue);
}

// Guards against a watch that hangs for ever on a platform that stalls.
BOOST_AUTO_TEST_CASE(P10_StoreStalled_WatchEnds)
{
  ResponderPointer kept;
  mAnswer = [&](const ResponderPointer& aResponder) { kept = aResponder; };
  const auto watch = Run<WatchResult>([this](auto aDone) {
    mClient.Watch("p/", 5, std::chrono::seconds(0), aDone);
  });
  BOOST_TEST(watch.mOutcome == ObjectOutcome::Unknown);
}

BOOST_AUTO_TEST_SUITE_END()
