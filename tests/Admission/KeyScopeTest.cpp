#include <boost/test/unit_test.hpp>

#include <snipepost/Admission/KeyScope.h>
#include <snipepost/Base/Random.h>

using namespace snipepost;

namespace {

const KeyRing kKeys(SecretKey{ 1, 2, 3 });
const KeyScope kScope{ { 0x7f000001, 4433 }, Incarnation(77), 1234 };

} // namespace

BOOST_AUTO_TEST_SUITE(KeyScopeTest)

BOOST_AUTO_TEST_CASE(ParsedTokenEqualsWrittenScope)
{
  const std::string token = WriteKeyScope(kScope, kKeys);
  BOOST_TEST(token.size() == kKeyScopeLength);
  BOOST_TEST(token.size() < 96);
  BOOST_TEST((ParseKeyScope(token, kKeys).mScope == kScope));
  BOOST_TEST((ParseIdempotencyKey(token + ".a-1", kKeys).mScope == kScope));
}

// Guards against callers that forge the agent, incarnation or issue time.
BOOST_AUTO_TEST_CASE(ChangedDigits_AreUnverified)
{
  const std::string token = WriteKeyScope(kScope, kKeys);
  for (size_t i = 0; i < token.size(); ++i) {
    std::string forged = token;
    forged[i] = forged[i] == '0' ? '1' : '0';
    const auto parsed = ParseKeyScope(forged, kKeys);
    BOOST_TEST(!parsed.mScope, "digit " << i);
    BOOST_TEST((parsed.mError == KeyScopeError::Unverified));
  }
}

BOOST_AUTO_TEST_CASE(RejectsMalformedKeys)
{
  const std::string token = WriteKeyScope(kScope, kKeys);
  for (const std::string& text : { std::string(),
                                   std::string("."),
                                   token,
                                   token + ".",
                                   token + ".a b",
                                   token + ".\x7f",
                                   "0" + token + ".a",
                                   token.substr(1) + ".a",
                                   std::string(kKeyScopeLength, 'G') + ".a" }) {
    const auto parsed = ParseIdempotencyKey(text, kKeys);
    BOOST_TEST(!parsed.mScope, text);
    BOOST_TEST((parsed.mError == KeyScopeError::Malformed), text);
  }
}

// Guards against forged scopes, and against reads outside the header value.
BOOST_AUTO_TEST_CASE(MutatedAndRandomKeysAreRejected)
{
  constexpr uint64_t kSeed = 61;
  BOOST_TEST_MESSAGE("seed " << kSeed);
  Random random(kSeed);
  const std::string key = WriteKeyScope(kScope, kKeys) + ".order-1";
  for (int round = 0; round < 20000; ++round) {
    std::string text(random.Below(80), '\0');
    for (char& c : text) {
      c = static_cast<char>(random.Below(256));
    }
    BOOST_REQUIRE(!ParseIdempotencyKey(text, kKeys).mScope);
    std::string mutated = key;
    const uint64_t position = random.Below(kKeyScopeLength);
    mutated[position] = static_cast<char>(random.Below(256));
    mutated.resize(random.Below(mutated.size() + 1));
    if (!key.starts_with(mutated)) {
      BOOST_REQUIRE(!ParseIdempotencyKey(mutated, kKeys).mScope);
    }
    ParseKeyScope(mutated, kKeys);
  }
}

// Guards against old keys that are handled as unused after their secret was
// replaced: the error must differ from that of malformed text.
BOOST_AUTO_TEST_CASE(OtherSecretIsUnverified)
{
  const KeyRing other(SecretKey{ 9 });
  const std::string token = WriteKeyScope(kScope, other);
  BOOST_TEST((ParseKeyScope(token, kKeys).mError == KeyScopeError::Unverified));
}

BOOST_AUTO_TEST_SUITE_END()
