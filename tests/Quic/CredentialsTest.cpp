#include <boost/test/unit_test.hpp>

#include <snipepost/Quic/Credentials.h>

using namespace snipepost;

BOOST_AUTO_TEST_SUITE(CredentialsTest)

BOOST_AUTO_TEST_CASE(MakesSelfSigned)
{
  BOOST_TEST(Credentials::MakeSelfSigned("localhost").has_value());
}

// Guards against a server that starts without a certificate when the files are
// missing.
BOOST_AUTO_TEST_CASE(RejectsMissingFiles)
{
  const std::string reason = leaf::try_handle_all(
    []() -> Result<std::string> {
      BOOST_LEAF_CHECK(
        Credentials::LoadPem("/nonexistent/c.pem", "/nonexistent/k.pem"));
      return std::string("loaded");
    },
    [](const CertificateError& aError) { return aError.Text(); },
    [] { return std::string("unknown error"); });
  BOOST_TEST(reason.starts_with("/nonexistent/c.pem: "));
}

BOOST_AUTO_TEST_SUITE_END()
