#include <src/Daemon/CallerRequests.h>

#include "tests/Routing/Support.h"

using namespace snipepost;
using namespace snipepost::test;
using namespace std::chrono_literals;

BOOST_TEST_DONT_PRINT_LOG_VALUE(snipepost::RequestClass)

namespace {

const Instant kNow{ 1h };
constexpr std::chrono::milliseconds kDefaultTimeout = 5s;

CallerRequest
MakeRequest(const std::string& aMethod, HttpFields aFields = {})
{
  aFields.push_back({ ":method", aMethod });
  aFields.push_back({ ":path", "/stock?id=1" });
  return FromCaller(aFields, "body", kDefaultTimeout, kNow);
}

std::vector<std::string>
HeaderNames(const CallerRequest& aRequest)
{
  std::vector<std::string> names;
  for (const auto& header : aRequest.mHeaders) {
    names.push_back(header.first);
  }
  return names;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CallerRequestsTest)

// Guards against a submission that is queued behind queries, or that is retried
// as if it were idempotent.
BOOST_AUTO_TEST_CASE(P7_OnlyReadingMethodsAreIdempotent)
{
  for (const char* method : { "GET", "HEAD", "OPTIONS" }) {
    BOOST_TEST(MakeRequest(method).mIdempotent, method);
    BOOST_TEST((ClassOf(MakeRequest(method), false) == RequestClass::Query),
               method);
  }
  for (const char* method : { "POST", "PUT", "PATCH", "DELETE", "get", "" }) {
    BOOST_TEST(!MakeRequest(method).mIdempotent, method);
    BOOST_TEST((ClassOf(MakeRequest(method), true) == RequestClass::Submission),
               method);
  }
}

// Guards against an order that is treated as a duplicate of another one, and
// against a duplicate that isn't recognized after a relay or with another
// deadline.
BOOST_AUTO_TEST_CASE(P5_SameKey_DigestDistinguishesRequests)
{
  const uint64_t digest = DigestOf(MakeRequest("POST"));
  BOOST_TEST(DigestOf(MakeRequest("POST", { { "deadline-ms", "9" } })) ==
             digest);
  BOOST_TEST(DigestOf(MakeRequest("PUT")) != digest);
  CallerRequest moved = MakeRequest("POST");
  moved.mPath += 'b';
  BOOST_TEST(DigestOf(moved) != digest);
  moved.mBody = "ody";
  BOOST_TEST(DigestOf(moved) != digest);
  http2::ServerRequest relayed;
  relayed.mHeaders = { { "snipepost-method", "POST" },
                       { "snipepost-path", "/stock?id=1" } };
  relayed.mBody = "body";
  const auto received = FromRelay(relayed, kDefaultTimeout, kNow);
  BOOST_REQUIRE(received.has_value());
  BOOST_TEST(DigestOf(*received) == digest);
}

BOOST_AUTO_TEST_CASE(LowUrgencyOrBulkService_IsBulk)
{
  BOOST_TEST((ClassOf(MakeRequest("GET"), true) == RequestClass::Bulk));
  const auto classOf = [](const char* aPriority) {
    return ClassOf(MakeRequest("GET", { { "priority", aPriority } }), false);
  };
  for (const char* priority : { "u=5", "u=7", "i, u=6" }) {
    BOOST_TEST((classOf(priority) == RequestClass::Bulk), priority);
  }
  for (const char* priority : { "u=4", "u=0", "u=", "u=8", "i", "" }) {
    BOOST_TEST((classOf(priority) == RequestClass::Query), priority);
  }
}

// Guards against sessions that occupy every slot of a backend server while
// queries are queued behind them.
BOOST_AUTO_TEST_CASE(LongDeadline_IsBulk)
{
  const auto classOf = [](const char* aMethod, const char* aDeadline) {
    return ClassOf(MakeRequest(aMethod, { { "deadline-ms", aDeadline } }),
                   false);
  };
  BOOST_TEST((classOf("GET", "20000") == RequestClass::Bulk));
  BOOST_TEST((classOf("GET", "19999") == RequestClass::Query));
  BOOST_TEST((classOf("POST", "20000") == RequestClass::Submission));
}

// Guards against a deadline-ms field that results in a deadline in the past or
// in an unlimited one.
BOOST_AUTO_TEST_CASE(DeadlinesAreClampedToBounds)
{
  const auto deadline = [](const char* aText) {
    return MakeRequest("GET", { { "deadline-ms", aText } }).mDeadline - kNow;
  };
  BOOST_TEST((deadline("250") == 250ms));
  BOOST_TEST((deadline("99999999999") == 2h));
  for (const char* text :
       { "", "0", "-5", "1.5", "5s", " 5", "99999999999999999999999" }) {
    BOOST_TEST((deadline(text) == kDefaultTimeout), text);
  }
}

// Guards against a caller that sets fields which only instances may set, and
// against hop-by-hop fields that reach the backend server.
BOOST_AUTO_TEST_CASE(P2_HopByHopAndInternalFieldsAreDropped)
{
  const auto request = MakeRequest("POST",
                                   { { ":authority", "desk" },
                                     { "host", "desk" },
                                     { "te", "trailers" },
                                     { "connection", "close" },
                                     { "deadline-ms", "9" },
                                     { "snipepost-path", "/other" },
                                     { "snipepost-tag", "0-1" },
                                     { "idempotency-key", "k" },
                                     { "accept", "a" } });
  const std::vector<std::string> expected{ "idempotency-key", "accept" };
  BOOST_TEST(HeaderNames(request) == expected,
             boost::test_tools::per_element());
  BOOST_TEST(request.mMethod == "POST");
  BOOST_TEST(request.mPath == "/stock?id=1");
  BOOST_TEST(request.mBody == "body");
}

BOOST_AUTO_TEST_CASE(RelayedRequest_KeepsTheCallersFields)
{
  http2::ServerRequest relay;
  relay.mMethod = "POST";
  relay.mPath = "/v1/relay";
  relay.mBody = "order";
  relay.mHeaders = { { "snipepost-method", "POST" },
                     { "snipepost-path", "/orders" },
                     { "snipepost-tag", "0-1" },
                     { "deadline-ms", "300" },
                     { "idempotency-key", "k" } };
  const auto request = FromRelay(relay, kDefaultTimeout, kNow);
  BOOST_REQUIRE(request);
  BOOST_TEST(request->mMethod == "POST");
  BOOST_TEST(request->mPath == "/orders");
  BOOST_TEST(request->mBody == "order");
  BOOST_TEST(!request->mIdempotent);
  BOOST_TEST((request->mDeadline == kNow + 300ms));
  BOOST_TEST(HeaderNames(*request) ==
               std::vector<std::string>{ "idempotency-key" },
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(RelayWithoutMethodOrPath_IsRejected)
{
  http2::ServerRequest relay;
  relay.mHeaders = { { "snipepost-method", "POST" } };
  BOOST_TEST(!FromRelay(relay, kDefaultTimeout, kNow));
  relay.mHeaders = { { "snipepost-path", "/orders" } };
  BOOST_TEST(!FromRelay(relay, kDefaultTimeout, kNow));
}

// Guards against crashes on arbitrary fields, and against deadlines out of
// bounds.
BOOST_AUTO_TEST_CASE(AnyRelay_IsRejectedOrHasABoundedDeadline)
{
  CheckProperty(51, [] {
    http2::ServerRequest relay;
    relay.mHeaders = *rc::gen::arbitrary<http2::Headers>();
    for (const char* name :
         { "snipepost-method", "snipepost-path", "deadline-ms", "priority" }) {
      if (*rc::gen::arbitrary<bool>()) {
        relay.mHeaders.emplace_back(name, *rc::gen::arbitrary<std::string>());
      }
    }
    const auto request = FromRelay(relay, kDefaultTimeout, kNow);
    if (request) {
      RC_ASSERT(request->mDeadline > kNow);
      RC_ASSERT(request->mDeadline <= kNow + 2h);
      ClassOf(*request, false);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()
