#include <boost/test/unit_test.hpp>

#include <snipepost/Base/Address.h>

using namespace snipepost;

BOOST_AUTO_TEST_SUITE(AddressTest)

BOOST_AUTO_TEST_CASE(RoundTripKeepsAddress)
{
  const auto address = ParseAddress("127.0.0.1:4433");
  BOOST_REQUIRE(address);
  BOOST_TEST(address->mIp == 0x7f000001U);
  BOOST_TEST(address->mPort == 4433);
  BOOST_TEST(ToString(*address) == "127.0.0.1:4433");
}

// Guards against accepting settings that contain no valid address.
BOOST_AUTO_TEST_CASE(RejectsInvalidAddresses)
{
  for (const char* text : { "",
                            "127.0.0.1",
                            "127.0.0.1:",
                            "127.0.0.1:0",
                            "127.0.0.1:65536",
                            "127.0.0.256:1",
                            "127.0.1:1",
                            "127.0.0.1:1x",
                            " 127.0.0.1:1",
                            "127.0.0.-1:1" }) {
    BOOST_TEST(!ParseAddress(text), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()
