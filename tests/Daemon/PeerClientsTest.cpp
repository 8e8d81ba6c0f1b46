#include <src/Daemon/PeerClients.h>

#include "tests/Routing/Support.h"

using namespace snipepost;
using namespace snipepost::test;

BOOST_AUTO_TEST_SUITE(PeerClientsTest)

BOOST_AUTO_TEST_CASE(ValidTagIsAccepted)
{
  const std::string tag = SignRequest(Keys(), "POST", "/v1/relay", "body");
  BOOST_TEST(VerifyRequest(Keys(), tag, "POST", "/v1/relay", "body"));
}

// Guards against control requests from outside the deployment.
BOOST_AUTO_TEST_CASE(MissingOrForeignTagIsRejected)
{
  const std::string tag = SignRequest(ForeignKeys(), "POST", "/p", "body");
  for (const std::string& text :
       { std::string(), std::string("0-"), std::string("2-1"), tag }) {
    BOOST_TEST(!VerifyRequest(Keys(), text, "POST", "/p", "body"), text);
  }
}

// Guards against a tag that is valid for another request. The separators
// between the parts give another tag to the same bytes when they are split
// differently.
BOOST_AUTO_TEST_CASE(TagIsBoundToMethodPathAndBody)
{
  const std::string tag = SignRequest(Keys(), "POST", "/path", "body");
  BOOST_TEST(!VerifyRequest(Keys(), tag, "GET", "/path", "body"));
  BOOST_TEST(!VerifyRequest(Keys(), tag, "POST", "/pat", "body"));
  BOOST_TEST(!VerifyRequest(Keys(), tag, "POST", "/pathb", "ody"));
  BOOST_TEST(!VerifyRequest(Keys(), tag, "POST", "/path", "bodY"));
}

// Guards against a forged tag, and against reads outside the header's value.
BOOST_AUTO_TEST_CASE(MutatedAndRandomTagsAreRejected)
{
  const std::string tag = SignRequest(Keys(), "POST", "/path", "body");
  CheckProperty(41, [&] {
    const Bytes mutated = Mutate({ tag.begin(), tag.end() });
    std::string text(mutated.begin(), mutated.end());
    // Uppercase hexadecimal digits give the same tag.
    RC_PRE(text.find_first_of("ABCDEF") == std::string::npos);
    RC_ASSERT(!VerifyRequest(Keys(), text, "POST", "/path", "body"));
    const auto random = *rc::gen::arbitrary<std::string>();
    RC_ASSERT(!VerifyRequest(Keys(), random, "POST", "/path", "body"));
  });
}

// Guards against a key rotation in which instances reject each other's
// requests.
BOOST_AUTO_TEST_CASE(P10_KeyRotation_BothKeysVerify)
{
  const SecretKey first{ 1 };
  const SecretKey second{ 2 };
  KeyRing before(first, 0);
  before.Install(second, 1);
  KeyRing after(second, 1);
  after.Install(first, 0);
  const auto verifies = [](const KeyRing& aSigner, const KeyRing& aVerifier) {
    const std::string tag = SignRequest(aSigner, "POST", "/p", "");
    return VerifyRequest(aVerifier, tag, "POST", "/p", "");
  };
  BOOST_TEST(verifies(before, after));
  BOOST_TEST(verifies(after, before));
  BOOST_TEST(!verifies(before, KeyRing(second, 1)));
}

BOOST_AUTO_TEST_SUITE_END()
