#include <deque>

#include <boost/test/unit_test.hpp>

#include <snipepost/Http1/Server.h>

#include "platform/StoreClient.h"
#include "tests/Http1/SlowServer.h"

using namespace snipepost;
using cluster::Part;
using cluster::ReadOutcome;
using cluster::RecordWrite;
using cluster::WriteOutcome;

namespace {

/// A store that sends prepared responses and records the requests.
struct FakeStore
{
  FakeStore()
    : mServer(mContext,
              Address{ 0x7f000001, 0 },
              [this](const http1::Request& aRequest) {
                mRequests.push_back(aRequest);
                const http1::Response response = mResponses.front();
                mResponses.pop_front();
                return response;
              })
    , mClient(mContext, mServer.Local())
  {
  }

  /// Runs until aDone is set; fails the test after 5 s.
  void RunUntil(const bool& aDone)
  {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!aDone && std::chrono::steady_clock::now() < end) {
      mContext.run_one_for(std::chrono::milliseconds(100));
    }
    BOOST_REQUIRE(aDone);
  }

  cluster::ListResult List(Part aPart)
  {
    cluster::ListResult result;
    bool done = false;
    mClient.List(aPart,
                 cluster::Freshness::Latest,
                 std::chrono::milliseconds(900),
                 [&](cluster::ListResult aResult) {
                   result = std::move(aResult);
                   done = true;
                 });
    RunUntil(done);
    return result;
  }

  cluster::WriteResult Write(const RecordWrite& aWrite)
  {
    cluster::WriteResult result;
    bool done = false;
    mClient.Write("n", aWrite, [&](cluster::WriteResult aResult) {
      result = std::move(aResult);
      done = true;
    });
    RunUntil(done);
    return result;
  }

  cluster::WatchResult Watch()
  {
    cluster::WatchResult result;
    bool done = false;
    mClient.Watch(Part::Backends,
                  cluster::Revision(5),
                  std::chrono::seconds(1),
                  [&](cluster::WatchResult aResult) {
                    result = std::move(aResult);
                    done = true;
                  });
    RunUntil(done);
    return result;
  }

  asio::io_context mContext;
  std::deque<http1::Response> mResponses;
  std::vector<http1::Request> mRequests;
  http1::Server mServer;
  platform::StoreClient mClient;
};

http1::Response
InEpoch(std::string aEpoch, http1::Response aResponse)
{
  aResponse.mHeaders.push_back({ "Store-Era", std::move(aEpoch) });
  return aResponse;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreClientTest, FakeStore)

// Objects beyond the first page must not be lost, and the watch must continue
// from the first page's revision.
BOOST_AUTO_TEST_CASE(ListFollowsPages)
{
  mResponses = {
    { 200,
      R"({"items":[{"meta":{"name":"a","rev":1},"spec":{}}],"more":true,)"
      R"("current_rev":5})" },
    { 200,
      R"({"items":[{"meta":{"name":"b","rev":6},"spec":{}}],"more":false,)"
      R"("current_rev":7})" },
  };
  const auto result = List(Part::Backends);
  BOOST_TEST((result.mOutcome == ReadOutcome::Done));
  BOOST_TEST(result.mSnapshot.mObjects.size() == 2U);
  BOOST_TEST(result.mSnapshot.mRevision.Value() == 5U);
  BOOST_TEST(mRequests[1].mPath.ends_with("?after=a"));
}

// A name that another program chose must not make the request for the next page
// malformed.
BOOST_AUTO_TEST_CASE(NamesInQueriesAreEncoded)
{
  mResponses = {
    { 200,
      R"({"items":[{"meta":{"name":"1.2.3.4:5 \r\n&","rev":1},"spec":{}}],)"
      R"("more":true,"current_rev":5})" },
    { 200, R"({"items":[],"more":false,"current_rev":7})" },
  };
  BOOST_TEST((List(Part::Backends).mOutcome == ReadOutcome::Done));
  BOOST_TEST(mRequests[1].mPath.ends_with("?after=1.2.3.4:5%20%0D%0A%26"));
}

BOOST_AUTO_TEST_CASE(ListOutcomes)
{
  mResponses = { { 503, "" }, { 429, "" }, { 200, "garbage" } };
  BOOST_TEST((List(Part::Routes).mOutcome == ReadOutcome::Refused));
  BOOST_TEST((List(Part::Routes).mOutcome == ReadOutcome::Refused));
  BOOST_TEST((List(Part::Routes).mOutcome == ReadOutcome::Lost));
}

// Guards against a watcher on a slow link that never gets a large
// configuration: its first bytes arrive in time, all of them later than the
// timeout.
BOOST_AUTO_TEST_CASE(LargeListOnASlowLinkIsReceived)
{
  const std::string filler(20000, 'x');
  SlowServer slow(mContext,
                  Address{ 0x7f000001, 0 },
                  R"({"items":[{"meta":{"name":"main","rev":4},"spec":{"f":")" +
                    filler + R"("}}],"current_rev":4})",
                  1000,
                  std::chrono::milliseconds(60));
  platform::StoreClient client(mContext, slow.Local());
  cluster::ListResult result;
  bool done = false;
  client.List(Part::Routes,
              cluster::Freshness::Latest,
              std::chrono::milliseconds(900),
              [&](cluster::ListResult aResult) {
                result = std::move(aResult);
                done = true;
              });
  RunUntil(done);
  BOOST_TEST((result.mOutcome == ReadOutcome::Done));
  BOOST_TEST(result.mSnapshot.mObjects.size() == 1U);
}

BOOST_AUTO_TEST_CASE(WatchReportsThatHistoryIsGone)
{
  mResponses = { { 410, "{}" }, { 200, R"({"events":[],"current_rev":9})" } };
  BOOST_TEST((Watch().mOutcome == ReadOutcome::HistoryGone));
  BOOST_TEST(Watch().mRevision.Value() == 9U);
  BOOST_TEST(mRequests[0].mPath.find("watch=5&wait_ms=1000") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(WriteOutcomes)
{
  RecordWrite remove;
  remove.mAction = RecordWrite::Action::Remove;
  remove.mExpected = cluster::Revision(4);
  mResponses = {
    { 200, R"({"meta":{"name":"n","rev":4},"spec":{"x":1}})" },
    { 409, R"({"meta":{"name":"n","rev":9},"spec":{"x":2}})" },
    { 200, R"({"meta":{"name":"n","rev":4},"spec":{"x":1}})" },
    { 404, "{}" },
    { 503, "" },
    { 500, "" },
  };
  const auto created = Write({ {}, {}, "{}" });
  BOOST_TEST((created.mOutcome == WriteOutcome::Done));
  BOOST_TEST(created.mStored->mRevision.Value() == 4U);
  const auto conflict = Write({ {}, {}, "{}" });
  BOOST_TEST((conflict.mOutcome == WriteOutcome::Conflict));
  BOOST_TEST(conflict.mStored->mRevision.Value() == 9U);
  const auto removed = Write(remove);
  BOOST_TEST((removed.mOutcome == WriteOutcome::Done));
  BOOST_TEST(!removed.mStored.has_value());
  BOOST_TEST(mRequests[2].mPath.ends_with("/n?rev=4"));
  const auto absent = Write(remove);
  BOOST_TEST((absent.mOutcome == WriteOutcome::Conflict));
  BOOST_TEST(!absent.mStored.has_value());
  BOOST_TEST((Write({ {}, {}, "{}" }).mOutcome == WriteOutcome::Refused));
  BOOST_TEST((Write({ {}, {}, "{}" }).mOutcome == WriteOutcome::Unknown));
}

// The store was restored between two pages: together they are no state that it
// ever had.
BOOST_AUTO_TEST_CASE(ListAcrossARestoreIsLost)
{
  mResponses = {
    InEpoch("1",
            { 200,
              R"({"items":[{"meta":{"name":"a","rev":1},"spec":{}}],)"
              R"("more":true,"current_rev":5})" }),
    InEpoch("2", { 200, R"({"items":[],"more":false,"current_rev":4})" }),
  };
  BOOST_TEST((List(Part::Backends).mOutcome == ReadOutcome::Lost));
}

BOOST_AUTO_TEST_CASE(ResponsesHaveTheEpochOfTheStore)
{
  const http1::Response list = {
    200, R"({"items":[],"more":false,"current_rev":5})"
  };
  mResponses = {
    InEpoch("3", list),
    InEpoch("4", { 410, "{}" }),
    InEpoch("5", { 409, R"({"meta":{"name":"n","rev":9},"spec":{}})" }),
    list,
    InEpoch("x", list),
  };
  BOOST_TEST((List(Part::Routes).mSnapshot.mEpoch == cluster::Epoch(3)));
  BOOST_TEST((Watch().mEpoch == cluster::Epoch(4)));
  BOOST_TEST((Write({ {}, {}, "{}" }).mEpoch == cluster::Epoch(5)));
  BOOST_TEST((List(Part::Routes).mSnapshot.mEpoch == cluster::Epoch()));
  BOOST_TEST((List(Part::Routes).mSnapshot.mEpoch == cluster::Epoch()));
}

BOOST_AUTO_TEST_SUITE_END()
