#include <boost/test/unit_test.hpp>

#include <optional>

#include <snipepost/Http2/Client.h>
#include <snipepost/ObjectApi/ObjectClient.h>

#include "tests/Http2/Loop.h"
#include "tools/platform/ObjectApiServer.h"

using namespace snipepost;
using namespace snipepost::tools;

BOOST_TEST_DONT_PRINT_LOG_VALUE(snipepost::ObjectOutcome)

namespace {

struct Fixture
{
  asio::io_context mContext;
  ObjectApiServer mServer{ mContext,
                           { .mListen = kLoopbackAnyPort, .mJournal = "" } };
  ObjectClient mClient{ mContext, mServer.LocalAddress() };
  http2::Client mControl{ mContext, mServer.LocalAddress() };

  template<typename ResultType, typename Start>
  ResultType Run(Start aStart)
  {
    std::optional<ResultType> result;
    aStart([&](ResultType aResult) { result = std::move(aResult); });
    BOOST_REQUIRE(RunUntil(mContext, [&] { return result.has_value(); }));
    return *result;
  }

  WriteResult Put(const std::string& aKey,
                  const std::string& aValue,
                  WriteCondition aCondition = WriteCondition::Always())
  {
    return Run<WriteResult>(
      [&](auto aDone) { mClient.Put(aKey, aValue, aCondition, aDone); });
  }

  ObjectOutcome OutcomeOfGet(const std::string& aKey)
  {
    return Run<GetResult>([&](auto aDone) { mClient.Get(aKey, aDone); })
      .mOutcome;
  }

  void Fault(std::string aBody)
  {
    http2::Request request{ .mMethod = "POST", .mPath = "/fault" };
    request.mBody = std::move(aBody);
    std::optional<int> status;
    mControl.Collect(
      request, 1024, [&](http2::Result, const http2::Response& aResponse) {
        status = aResponse.mStatus;
      });
    BOOST_REQUIRE(RunUntil(mContext, [&] { return status.has_value(); }));
    BOOST_TEST(*status == 200);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ObjectApiServerTest, Fixture)

// Guards against two racing writes that both succeed.
BOOST_AUTO_TEST_CASE(P10_RacingWriters_OneGetsAConflict)
{
  const auto first = Put("k", "1", WriteCondition::IfAbsent());
  BOOST_TEST(first.mOutcome == ObjectOutcome::Done);
  const auto second = Put("k", "2", WriteCondition::IfAbsent());
  BOOST_TEST(second.mOutcome == ObjectOutcome::Conflict);
  BOOST_TEST(second.mCurrent->mValue == "1");
  const auto third = Put("k", "3", WriteCondition::IfVersion(first.mVersion));
  BOOST_TEST(third.mOutcome == ObjectOutcome::Done);
  const auto late = Put("k", "4", WriteCondition::IfVersion(first.mVersion));
  BOOST_TEST(late.mOutcome == ObjectOutcome::Conflict);
}

BOOST_AUTO_TEST_CASE(WatchReportsAChangeBeforeItsWaitIsOver)
{
  const auto watch = Run<WatchResult>([this](auto aDone) {
    mClient.Watch("p/", 0, std::chrono::seconds(60), aDone);
    mClient.Put("q", "other", WriteCondition::Always(), [](WriteResult) {});
    mClient.Put("p/1", "v", WriteCondition::Always(), [](WriteResult) {});
  });
  BOOST_TEST(watch.mOutcome == ObjectOutcome::Done);
  BOOST_TEST(watch.mEvents.size() == 1U);
  BOOST_TEST(*watch.mEvents.at(0).mValue == "v");
}

// Guards against a lost response that undoes its write, and a lost write that
// takes effect.
BOOST_AUTO_TEST_CASE(P10_WriteOrResponseLost_OnlyALostWriteHasNoEffect)
{
  Fault(R"({"loseAnswers":1})");
  BOOST_TEST(Put("a", "1").mOutcome == ObjectOutcome::Unknown);
  BOOST_TEST(OutcomeOfGet("a") == ObjectOutcome::Done);
  Fault(R"({"loseWrites":1})");
  BOOST_TEST(Put("b", "1").mOutcome == ObjectOutcome::Unknown);
  BOOST_TEST(OutcomeOfGet("b") == ObjectOutcome::Absent);
  BOOST_TEST(Put("b", "1").mOutcome == ObjectOutcome::Done);
}

BOOST_AUTO_TEST_CASE(P10_StoreDown_RefusesUntilTheFaultEnds)
{
  Fault(R"({"outage":true})");
  BOOST_TEST(Put("a", "1").mOutcome == ObjectOutcome::Refused);
  Fault(R"({"outage":false})");
  BOOST_TEST(OutcomeOfGet("a") == ObjectOutcome::Absent);
}

// Guards against a rollback that a watch does not report.
BOOST_AUTO_TEST_CASE(P10_StoreRolledBack_WatchShowsAnEarlierRevision)
{
  Put("a", "1");
  const uint64_t since = Put("a", "2").mVersion.Value();
  Fault(R"({"rollBack":1})");
  const auto watch = Run<WatchResult>([&](auto aDone) {
    mClient.Watch("", since, std::chrono::seconds(60), aDone);
  });
  BOOST_TEST(watch.mRevision == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
