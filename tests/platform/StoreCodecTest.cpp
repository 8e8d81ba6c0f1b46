#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

#include "platform/StoreCodec.h"

using namespace snipepost;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(StoreCodecTest)

/// Specs that can't be parsed: nested too deeply, with a number that is too
/// large, not UTF-8, and no JSON.
std::vector<std::string>
UnreadableSpecs()
{
  return { std::string(100'000, '[') + std::string(100'000, ']'),
           R"({"slots":1e99999999999999})",
           "{\"state\":\"\xff\xfe\"}",
           R"({"a" 1, "b":"]\"}"})",
           R"({"a":nonsense})" };
}

const std::string kConfig =
  R"({"version":7,"routes":[)"
  R"({"name":"r-1","host":"198.18.0.1","path_prefix":"/8443/","type":"safe",)"
  R"("timeout_ms":1200,"target_latency_ms":150,"priority":2,"backends":[)"
  R"({"service":"one","weight":90},{"service":"two","weight":10}]},)"
  R"({"name":"r-2","host":"198.18.0.2","path_prefix":"/8443/",)"
  R"("type":"download","service":"two"},)"
  R"({"name":"bad","host":"nowhere","path_prefix":"8443","service":"two"},)"
  R"({"name":"odd","host":"198.18.0.3","path_prefix":"/80/","type":"new",)"
  R"("service":"two"}],)"
  R"("services":[{"name":"one","health_path":"/health",)"
  R"("max_connections":2000,"cold_per_s":2.5}],)"
  R"("limits":{"idle_timeout_ms":9000}})";

BOOST_AUTO_TEST_CASE(DecodesConfiguration)
{
  const auto config = platform::DecodeRouteConfig(kConfig);
  BOOST_REQUIRE(config.has_value());
  BOOST_TEST(config->mVersion.Value() == 7U);
  BOOST_TEST(config->mRoutes.size() == 3U);
  const auto& route = config->mRoutes.at(*ParseAddress("198.18.0.1:8443"));
  BOOST_TEST(route.mServices.size() == 2U);
  BOOST_TEST(route.mServices[0].mWeight == 90U);
  BOOST_TEST((route.mKind == cluster::RequestKind::Safe));
  BOOST_TEST((route.mObjective == 150ms));
  BOOST_TEST((config->mIdleTimeout == 9s));
  BOOST_TEST(config->mServices.at("one").mMaxFlows == 2000U);
  BOOST_TEST(config->mServices.at("one").mColdPerSecond == 2.5);
}

// Requests of an unknown kind must not be retried.
BOOST_AUTO_TEST_CASE(UnknownRequestKindIsUnsafe)
{
  const auto config = platform::DecodeRouteConfig(kConfig);
  const auto& route = config->mRoutes.at(*ParseAddress("198.18.0.3:80"));
  BOOST_TEST((route.mKind == cluster::RequestKind::Unsafe));
}

BOOST_AUTO_TEST_CASE(RejectsInvalidConfigurations)
{
  for (const char* text : { "",
                            "{}",
                            "[1]",
                            R"({"version":"x","routes":[]})",
                            R"({"version":1})" }) {
    BOOST_TEST(!platform::DecodeRouteConfig(text).has_value());
  }
}

BOOST_AUTO_TEST_CASE(DecodesListAndSkipsUnreadableObjects)
{
  const auto page = platform::DecodeList(
    R"({"items":[{"meta":{"name":"a","rev":5,"create_revision":3},)"
    R"("spec":{"x":1}},)"
    R"({"meta":{"rev":5}},7,)"
    R"({"meta":{"name":"b","rev":6,"deleting":true},"spec":{}}],)"
    R"("more":true,"current_rev":9})");
  BOOST_REQUIRE(page.has_value());
  BOOST_TEST(page->mMore);
  BOOST_TEST(page->mRevision.Value() == 9U);
  BOOST_REQUIRE(page->mObjects.size() == 1U);
  BOOST_TEST(page->mObjects[0].mName == "a");
  BOOST_TEST(*page->mObjects[0].mText == R"({"x":1})");
  BOOST_TEST(page->mObjects[0].mCreated.Value() == 3U);
}

// Guards against nodes that stop following the store, because one object that
// another program wrote can't be parsed. Its earlier content must not stay in
// use.
BOOST_AUTO_TEST_CASE(UnreadableObjectsDoNotHideTheOthers)
{
  for (const std::string& spec : UnreadableSpecs()) {
    const auto page = platform::DecodeList(
      R"({"items":[{"meta":{"name":"odd","rev":5},"spec":)" + spec +
      R"(}, {"meta":{"name":"b","rev":6},"spec":{"x":1}}],)"
      R"("more":true,"current_rev":9})");
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page->mMore);
    BOOST_TEST(page->mRevision.Value() == 9U);
    BOOST_REQUIRE(page->mObjects.size() == 2U);
    BOOST_TEST(page->mObjects[0].mName == "odd");
    BOOST_TEST(page->mObjects[0].mText->empty());
    BOOST_TEST(*page->mObjects[1].mText == R"({"x":1})");
    const auto watch = platform::DecodeWatch(
      R"({"events":[{"object":{"meta":{"name":"odd","rev":5},"spec":)" + spec +
      R"(},"deleted":false},{"deleted":true,"object":{"meta":{"name":"b",)"
      R"("rev":6}}}],"current_rev":6})");
    BOOST_REQUIRE(watch.has_value());
    BOOST_REQUIRE(watch->mChanges.size() == 2U);
    BOOST_TEST(watch->mChanges[0].mText->empty());
    BOOST_TEST(!watch->mChanges[1].mText.has_value());
    const auto stored = platform::DecodeStored(
      R"({"meta":{"name":"odd","rev":5},"spec":)" + spec + "}");
    BOOST_REQUIRE(stored.has_value());
    BOOST_TEST(stored->mRevision.Value() == 5U);
  }
}

// Guards against a weight of 2^32 that becomes 0, by which the choice of a
// service would divide, and against times that become negative.
BOOST_AUTO_TEST_CASE(LargeNumbersInAConfigurationAreReduced)
{
  const auto config = platform::DecodeRouteConfig(
    R"({"version":7,"routes":[{"host":"198.18.0.1","path_prefix":"/80/",)"
    R"("timeout_ms":18446744073709551615,)"
    R"("backends":[{"service":"a","weight":4294967296}]}],)"
    R"("services":[{"name":"a","cold_per_s":1e400,)"
    R"("max_connections":18446744073709551615}],)"
    R"("limits":{"idle_timeout_ms":18446744073709551615}})");
  BOOST_REQUIRE(config.has_value());
  const auto& route = config->mRoutes.at(*ParseAddress("198.18.0.1:80"));
  BOOST_TEST(route.mServices.at(0).mWeight > 0U);
  BOOST_TEST((route.mTimeout > 0s));
  BOOST_TEST((config->mIdleTimeout > 0s));
  BOOST_TEST(config->mServices.at("a").mColdPerSecond == 0.0);
}

BOOST_AUTO_TEST_CASE(DecodesWatchEvents)
{
  const auto watch = platform::DecodeWatch(
    R"({"events":[{"deleted":false,"object":{"meta":{"name":"a","rev":5},)"
    R"("spec":{}}},{"deleted":true,"object":{"meta":{"name":"b","rev":6}}}],)"
    R"("current_rev":6})");
  BOOST_REQUIRE(watch.has_value());
  BOOST_REQUIRE(watch->mChanges.size() == 2U);
  BOOST_TEST(watch->mChanges[0].mText.has_value());
  BOOST_TEST(!watch->mChanges[1].mText.has_value());
  BOOST_TEST(watch->mRevision.Value() == 6U);
}

BOOST_AUTO_TEST_CASE(AnyBodyIsDecodedOrRejected)
{
  const bool passed = rc::check([](const std::string& aBody) {
    (void)platform::DecodeList(aBody);
    (void)platform::DecodeWatch(aBody);
    (void)platform::DecodeStored(aBody);
    RC_ASSERT(!platform::DecodeRouteConfig(aBody).has_value());
  });
  BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(WritesCarryTheExpectedRevision)
{
  cluster::RecordWrite write;
  write.mText = R"({"a":1})";
  BOOST_TEST(platform::EncodeObject("n", write) ==
             R"({"meta":{"name":"n"},"spec":{"a":1}})");
  write.mAction = cluster::RecordWrite::Action::Replace;
  write.mExpected = cluster::Revision(8);
  BOOST_TEST(platform::EncodeObject("n", write) ==
             R"({"meta":{"name":"n","rev":8},"spec":{"a":1}})");
}

BOOST_AUTO_TEST_SUITE_END()
