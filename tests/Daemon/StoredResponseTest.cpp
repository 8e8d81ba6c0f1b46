#include <src/Daemon/StoredResponse.h>

#include "tests/Routing/Support.h"

using namespace snipepost;
using namespace snipepost::test;

namespace {

CompleteResponse
AnyResponse()
{
  CompleteResponse response;
  response.mStatus = *rc::gen::inRange(100, 600);
  response.mHeaders = *rc::gen::arbitrary<http2::Headers>();
  response.mBody = *rc::gen::arbitrary<std::string>();
  return response;
}

std::string
Text(const Bytes& aBytes)
{
  return { aBytes.begin(), aBytes.end() };
}

} // namespace

BOOST_AUTO_TEST_SUITE(StoredResponseTest)

// Guards against a duplicate that gets a different response than the original
// request.
BOOST_AUTO_TEST_CASE(P5_RoundTripKeepsEveryField)
{
  CheckProperty(31, [] {
    const CompleteResponse response = AnyResponse();
    const auto unpacked = UnpackResponse(PackResponse(response));
    RC_ASSERT(unpacked.has_value());
    RC_ASSERT(unpacked->mStatus == response.mStatus);
    RC_ASSERT(unpacked->mHeaders == response.mHeaders);
    RC_ASSERT(unpacked->mBody == response.mBody);
  });
}

// Guards against an incomplete response that is accepted as complete.
BOOST_AUTO_TEST_CASE(P5_TruncatedOrExtendedBytesAreRefused)
{
  CheckProperty(32, [] {
    const std::string packed = PackResponse(AnyResponse());
    const auto length = *rc::gen::inRange<size_t>(0, packed.size());
    RC_ASSERT(!UnpackResponse(packed.substr(0, length)));
    RC_ASSERT(!UnpackResponse(packed + 'x'));
  });
}

// Guards against reads outside the buffer, which the sanitizers detect.
BOOST_AUTO_TEST_CASE(RandomAndMutatedBytes_NoOutOfBoundsRead)
{
  CheckProperty(33, [] {
    UnpackResponse(Text(*rc::gen::arbitrary<Bytes>()));
    const std::string packed = PackResponse(AnyResponse());
    const auto mutated =
      UnpackResponse(Text(Mutate({ packed.begin(), packed.end() })));
    // Not part of the assertion, as RC_ASSERT evaluates both operands of ||.
    if (mutated) {
      RC_ASSERT(PackResponse(*mutated).size() == packed.size());
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()
