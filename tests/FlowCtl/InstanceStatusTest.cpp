#include <boost/test/unit_test.hpp>

#include "src/FlowCtl/InstanceStatus.h"

using namespace snipepost::flowctl;

namespace {

/// A status with aFields added to those of the previous version.
std::string
StatusWith(const std::string& aFields)
{
  return R"({"name":"n","role":"agent","domain":"a","config":1,"backends":2,)"
         R"("entries":[7,"127.77.2.1"],"agents":["127.77.2.3"])" +
         aFields + '}';
}

} // namespace

BOOST_AUTO_TEST_SUITE(InstanceStatusTest)

BOOST_AUTO_TEST_CASE(MalformedStatusIsRejected)
{
  for (const char* body :
       { "", "[]", "{}", R"({"name":1})", R"({"name":"n","role":"entry"})" }) {
    BOOST_TEST(!DecodeStatus(body));
  }
  BOOST_TEST(DecodeStatus(StatusWith(""))->mPeers.size() == 2U);
}

// Guards against an instance of another version that is taken for one without
// a valid status, or for one without load.
BOOST_AUTO_TEST_CASE(MissingOrMalformedCapacityIsUnknown)
{
  for (const char* fields : { "",
                              R"(,"service":"s")",
                              R"(,"service":"s","capacity":7)",
                              R"(,"service":"s","capacity":{"slots":-1})",
                              R"(,"refused":[])" }) {
    const auto status = DecodeStatus(StatusWith(fields));
    BOOST_REQUIRE(status);
    BOOST_TEST(!status->mCapacity);
    BOOST_TEST(!status->mRefused);
  }
}

BOOST_AUTO_TEST_CASE(CapacityAndRefusalsAreDecoded)
{
  const auto status = DecodeStatus(StatusWith(
    R"(,"service":"s","capacity":{"slots":4,"load":5,"waiting":2,)"
    R"("serviceMs":30.5},"refused":{"198.18.0.1:443":{"services":["s","t"],)"
    R"("reasons":{"full":3,"cold":"x"}},"other":7})"));
  BOOST_REQUIRE((status && status->mCapacity && status->mRefused));
  BOOST_TEST(status->mCapacity->mRequests == 5U);
  BOOST_TEST(status->mCapacity->mServiceTime->count() == 30.5);
  BOOST_REQUIRE(status->mRefused->size() == 1U);
  BOOST_TEST(status->mRefused->front().mServices.size() == 2U);
  BOOST_TEST(status->mRefused->front().mFlowsByReason.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
