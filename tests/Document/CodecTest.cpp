#include <boost/test/unit_test.hpp>

#include <algorithm>

#include <snipepost/Document/Codec.h>
#include <snipepost/Document/Order.h>

#include "tests/Document/Sample.h"

using namespace snipepost;

namespace {

bool
Has(const std::vector<DocumentError>& aErrors, const std::string& aPointer)
{
  return std::ranges::count(aErrors, aPointer, &DocumentError::mPointer) > 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CodecTest)

// Guards against a parser that stops at the first error, so that operators
// would have to correct errors one by one.
BOOST_AUTO_TEST_CASE(ReportsAllErrorsInOneRunWithPointers)
{
  const std::string text = R"({
    "deployment": "x", "generation": "7", "submission": 5, "colour": 1,
    "change": {"by": "a", "at": "2026-02-30T00:00:00Z", "from": -1,
               "changes": []},
    "services": [
      {"id": 70000, "name": "a", "name": "b", "address": "127.0.0.1:70000",
       "class": "slow", "slots": 1.5, "a/b~c": 0}],
    "failureDomains": {"id": 1},
    "plannedChanges": [{"at": "now", "action": "drain", "target": {}}]})";
  const auto parsed = ParseDocument(text);
  BOOST_TEST(!parsed.mValue);
  for (const char* pointer : { "/generation",
                               "/submission",
                               "/colour",
                               "/change/at",
                               "/change/from",
                               "/services/0/id",
                               "/services/0/name",
                               "/services/0/address",
                               "/services/0/class",
                               "/services/0/slots",
                               "/services/0/a~1b~0c",
                               "/failureDomains",
                               "/plannedChanges/0/at",
                               "/plannedChanges/0/target/service",
                               "/plannedChanges/0/target/address" }) {
    BOOST_TEST(Has(parsed.mErrors, pointer), pointer);
  }
  BOOST_TEST(parsed.mErrors.size() == 15U);
}

// Guards against unbounded memory or stack use caused by the text.
BOOST_AUTO_TEST_CASE(RejectsTooLongAndTooDeepText)
{
  const std::string big(kMaxDocumentBytes + 1, ' ');
  BOOST_TEST(ParseDocument(big).mErrors.size() == 1U);
  const std::string deep(100000, '[');
  BOOST_TEST(!ParseDocument(deep).mErrors.empty());
  const auto nested = ParseDocument(R"({"x":[[[[[[[[1]]]]]]]],"y":1})");
  BOOST_TEST(Has(nested.mErrors, "/x/0/0/0/0/0/0/0"));
  BOOST_TEST(Has(nested.mErrors, "/y"));
  auto document = sample::Rekawica();
  document.mChange.mBy.assign(kMaxStringBytes + 1, 'a');
  BOOST_TEST(Has(ParseDocument(WriteDocument(document)).mErrors, "/change/by"));
}

// Guards against older instances that reject a document of a later version
// during a rolling upgrade, and against an older snipepostctl that drops the
// fields of a later version.
BOOST_AUTO_TEST_CASE(P10_EntryJoinsWithAnotherVersion_UnknownFields)
{
  const Document document = sample::Rekawica();
  std::string text = WriteDocument(document);
  text.insert(text.find("\"services\""), "\"later\": {\"x\": [1]}, ");
  text.insert(text.find("{\"id\"") + 1, "\"later\": true, ");
  const auto strict = ParseDocument(text);
  BOOST_TEST(!strict.mValue);
  BOOST_TEST(Has(strict.mErrors, "/later"));
  BOOST_TEST(Has(strict.mErrors, "/services/0/later"));
  const auto lenient = ParseDocument(text, UnknownFields::Ignore);
  BOOST_REQUIRE(lenient.mValue);
  BOOST_TEST((*lenient.mValue == document));
}

// Guards against accepting a document that was only partly written.
BOOST_AUTO_TEST_CASE(RejectsEveryTruncation)
{
  const std::string text = WriteDocument(sample::Rekawica());
  BOOST_REQUIRE(ParseDocument(text).mValue);
  // The last two bytes are the closing brace and a line break.
  for (size_t size = 0; size + 2 < text.size(); ++size) {
    const auto parsed = ParseDocument(text.substr(0, size));
    BOOST_REQUIRE(!parsed.mValue);
    BOOST_REQUIRE(!parsed.mErrors.empty());
  }
}

// Guards against times that are silently changed to another day.
BOOST_AUTO_TEST_CASE(RejectsNonUtcAndNonexistentTimes)
{
  BOOST_TEST(ToString(sample::kNow) == "2026-12-04T10:00:00Z");
  for (const char* text : { "2026-12-04T10:00:00+01:00",
                            "2026-12-04 10:00:00Z",
                            "2026-13-04T10:00:00Z",
                            "2026-12-04T24:00:00Z",
                            "2026-12-04T10:00:60Z" }) {
    BOOST_TEST(!ParseTime(text), text);
  }
  BOOST_TEST(ToString(NextWorkdayMorning(sample::kNow)) ==
             "2026-12-07T09:00:00Z");
}

BOOST_AUTO_TEST_CASE(P10_EqualGenerations_SubmissionIdDecides)
{
  Document left = sample::Rekawica();
  Document right = left;
  BOOST_TEST(!IsNewer(left, right));
  right.mSubmission = SubmissionId("s-8");
  BOOST_TEST(IsNewer(right, left));
  left.mGeneration = Generation(8);
  BOOST_TEST(IsNewer(left, right));
}

BOOST_AUTO_TEST_SUITE_END()
