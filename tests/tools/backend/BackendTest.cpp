#include <boost/test/unit_test.hpp>

#include <optional>

#include <boost/json.hpp>

#include <snipepost/Http2/Client.h>

#include "tests/Http2/Loop.h"
#include "tools/backend/Backend.h"

using namespace snipepost;
using namespace snipepost::tools;
using http2::Request;
using http2::Response;
using http2::Result;

BOOST_TEST_DONT_PRINT_LOG_VALUE(snipepost::http2::Result)

namespace {

constexpr size_t kLimit = 4UL * 1024 * 1024;

BackendOptions
Options(Duration aColdTime)
{
  BackendOptions options;
  options.mListen = kLoopbackAnyPort;
  options.mColdTime = aColdTime;
  options.mDownTime = std::chrono::milliseconds(20);
  options.mServiceTimeDistribution = ServiceTimeDistribution::Fixed;
  return options;
}

/// A backend server and a client of it.
struct Setup
{
  asio::io_context mContext;
  Backend mBackend;
  http2::Client mClient;
  Response mResponse;

  explicit Setup(const BackendOptions& aOptions)
    : mBackend(mContext, aOptions)
    , mClient(mContext, mBackend.LocalAddress())
  {
  }

  Result Run(Request aRequest)
  {
    std::optional<Result> result;
    mClient.Collect(
      std::move(aRequest), kLimit, [&](Result aResult, Response aResponse) {
        result = aResult;
        mResponse = std::move(aResponse);
      });
    BOOST_REQUIRE(RunUntil(mContext, [&] { return result.has_value(); }));
    return *result;
  }

  std::string Member(const std::string& aPath, const char* aName)
  {
    BOOST_TEST(Run({ .mMethod = "GET", .mPath = aPath }) == Result::Answered);
    const auto body = boost::json::parse(mResponse.mBody);
    return boost::json::value_to<std::string>(body.at(aName));
  }

  Result Fault(std::string aBody)
  {
    Request request{ .mMethod = "POST", .mPath = "/fault" };
    request.mBody = std::move(aBody);
    return Run(request);
  }

  /// Sends aCount submissions at once; returns the number of 200 responses.
  int Burst(int aCount)
  {
    int ended = 0;
    int succeeded = 0;
    for (int i = 0; i < aCount; ++i) {
      mClient.Collect({ .mMethod = "POST", .mPath = "/submit" },
                      kLimit,
                      [&](Result aResult, const Response& aResponse) {
                        ++ended;
                        succeeded += aResult == Result::Answered &&
                                         aResponse.mStatus == 200
                                       ? 1
                                       : 0;
                      });
    }
    BOOST_REQUIRE(RunUntil(mContext, [&] { return ended == aCount; }));
    return succeeded;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(BackendTest)

BOOST_AUTO_TEST_CASE(P5_BulkBytesCanBeVerified)
{
  Setup setup(Options(Duration::zero()));
  BOOST_TEST(setup.Run({ .mMethod = "GET", .mPath = "/bulk/1000003/7" }) ==
             Result::Answered);
  BulkBytes expected(7);
  std::string pieces = expected.Next(500001);
  pieces += expected.Next(500002);
  BOOST_TEST((setup.mResponse.mBody == pieces));
}

// Guards against an emulator that sustains a load that P3 forbids, and against
// one that keeps its boot ID across a restart.
BOOST_AUTO_TEST_CASE(P3_OverloadWhenCold_CrashesAndGetsANewBootId)
{
  Setup setup(Options(std::chrono::hours(1)));
  const std::string boot = setup.Member("/health", "boot");
  BOOST_TEST(setup.Member("/health", "status") == "starting");
  BOOST_TEST(setup.Burst(2) == 2);
  BOOST_TEST(setup.Burst(8) == 0);
  BOOST_REQUIRE(RunUntil(setup.mContext, [&] {
    return setup.Run({ .mMethod = "GET", .mPath = "/health" }) ==
           Result::Answered;
  }));
  BOOST_TEST(setup.Member("/health", "boot") != boot);
}

BOOST_AUTO_TEST_CASE(WarmServerQueuesThenSheds)
{
  Setup setup(Options(Duration::zero()));
  BOOST_TEST(setup.Burst(12) == 12);
  BOOST_TEST(setup.Burst(14) == 12);
}

// Guards against requests that are processed beyond their deadline.
BOOST_AUTO_TEST_CASE(DeadlineExpires_Responds504)
{
  BackendOptions options = Options(Duration::zero());
  options.mQueryTime = std::chrono::hours(1);
  Setup setup(options);
  Request request{ .mMethod = "GET", .mPath = "/query/1" };
  request.mHeaders = { { "deadline-ms", "10" } };
  BOOST_TEST(setup.Run(request) == Result::Answered);
  BOOST_TEST(setup.mResponse.mStatus == 504);
}

BOOST_AUTO_TEST_CASE(P8_Drain_RefusesNewWork)
{
  BackendOptions options = Options(Duration::zero());
  options.mShedWith = ShedWith::RefusedStream;
  Setup setup(options);
  BOOST_TEST(setup.Fault(R"({"drain":true})") == Result::Answered);
  BOOST_TEST(setup.Run({ .mMethod = "GET", .mPath = "/query/1" }) ==
             Result::Refused);
}

// Guards against a stall that loses requests instead of delaying them, and
// against a false report that persists after it was cleared.
BOOST_AUTO_TEST_CASE(StallAndFalseReportsEnd)
{
  Setup setup(Options(Duration::zero()));
  setup.Fault(R"({"stall":true,"lieHealth":"draining"})");
  std::optional<Result> result;
  setup.mClient.Collect(
    { .mMethod = "GET", .mPath = "/query/1" },
    kLimit,
    [&](Result aResult, const Response&) { result = aResult; });
  setup.Fault(R"({})");
  BOOST_TEST(!result);
  setup.Fault(R"({"stall":false})");
  BOOST_REQUIRE(RunUntil(setup.mContext, [&] { return result.has_value(); }));
  BOOST_TEST(*result == Result::Answered);
  BOOST_TEST(setup.Member("/health", "status") == "draining");
  setup.Fault(R"({"lieHealth":null})");
  BOOST_TEST(setup.Member("/health", "status") == "ok");
}

BOOST_AUTO_TEST_SUITE_END()
