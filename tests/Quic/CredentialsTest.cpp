#include <boost/test/unit_test.hpp>

#include <snipepost/Quic/Credentials.h>

using namespace snipepost;

BOOST_AUTO_TEST_SUITE(CredentialsTest)

BOOST_AUTO_TEST_CASE(MakesSelfSigned)
{
  BOOST_TEST(Credentials::MakeSelfSigned("localhost").has_value());
}

// Guards against a server that starts without a certificate.
BOOST_AUTO_TEST_CASE(RefusesMissingFiles)
{
  BOOST_TEST(!Credentials::LoadPem("/nonexistent/c.pem", "/nonexistent/k.pem"));
}

BOOST_AUTO_TEST_SUITE_END()
