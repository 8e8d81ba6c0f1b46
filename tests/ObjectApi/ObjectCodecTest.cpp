#include <boost/test/unit_test.hpp>

#include <array>
#include <string>
#include <string_view>

#include <snipepost/Base/Random.h>

#include <src/ObjectApi/ObjectCodec.h>

using namespace snipepost;

namespace {

constexpr uint64_t kSeed = 71;

constexpr std::array<std::string_view, 5> kBodies{
  R"({"key":"entries/127.0.0.1:1","version":4,"value":"{\"role\":1}"})",
  R"({"revision":8,"objects":[{"key":"a","version":4,"value":"b"}]})",
  R"({"version":18446744073709551615})",
  R"({"current":7})",
  R"({"revision":9,"events":[{"key":"a","version":4,"value":null}]})"
};

constexpr std::array<int, 7> kStatuses{ 200, 404, 412, 429, 503, 0, 999 };

/// One of the bodies with some bytes replaced, sometimes truncated.
std::string
MutatedBody(Random& aRandom)
{
  std::string text(kBodies[aRandom.Below(kBodies.size())]);
  for (uint64_t i = aRandom.Below(4); i > 0; --i) {
    text[aRandom.Below(text.size())] = static_cast<char>(aRandom.Below(256));
  }
  if (aRandom.Chance(0.3)) {
    text.resize(aRandom.Below(text.size() + 1));
  }
  return text;
}

template<typename Decode>
void
CheckMutatedBodies(Decode aDecode)
{
  BOOST_TEST_MESSAGE("seed " << kSeed);
  Random random(kSeed);
  for (int round = 0; round < 10000; ++round) {
    http2::Response response;
    response.mStatus = kStatuses[random.Below(kStatuses.size())];
    response.mBody = MutatedBody(random);
    response.mTruncated = random.Chance(0.1);
    const auto result = aDecode(http2::Result::Answered, response);
    // An empty or truncated body must not count as success.
    if (response.mBody.empty() || response.mTruncated) {
      BOOST_REQUIRE((result.mOutcome != ObjectOutcome::Done));
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(ObjectCodecTest)

// These check that malformed responses cause neither a crash nor a read outside
// the text, and that none of them counts as success.

BOOST_AUTO_TEST_CASE(P10_MalformedResponses_Get)
{
  CheckMutatedBodies(DecodeGetResult);
}

BOOST_AUTO_TEST_CASE(P10_MalformedResponses_List)
{
  CheckMutatedBodies(DecodeListResult);
}

BOOST_AUTO_TEST_CASE(P10_MalformedResponses_Write)
{
  CheckMutatedBodies(DecodeWriteResult);
}

BOOST_AUTO_TEST_CASE(P10_MalformedResponses_Watch)
{
  CheckMutatedBodies(DecodeWatchResult);
}

BOOST_AUTO_TEST_SUITE_END()
