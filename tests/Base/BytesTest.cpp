#include <boost/test/unit_test.hpp>

#include <array>

#include <snipepost/Base/Bytes.h>

using namespace snipepost;

BOOST_AUTO_TEST_SUITE(BytesTest)

BOOST_AUTO_TEST_CASE(RoundTripKeepsEveryValue)
{
  std::array<uint8_t, 15> buffer{};
  ByteWriter writer(buffer);
  writer.U8(0x12);
  writer.U16(0x3456);
  writer.U32(0x789abcde);
  writer.U64(0x0102030405060708ULL);
  BOOST_TEST(writer.Ok());
  BOOST_TEST(writer.Used() == buffer.size());
  ByteReader reader(buffer);
  BOOST_TEST(reader.U8() == 0x12);
  BOOST_TEST(reader.U16() == 0x3456);
  BOOST_TEST(reader.U32() == 0x789abcdeU);
  BOOST_TEST(reader.U64() == 0x0102030405060708ULL);
  BOOST_TEST(reader.Ok());
  BOOST_TEST(reader.Rest().empty());
}

// Guards against reads and writes past the end of a truncated packet.
BOOST_AUTO_TEST_CASE(AccessPastTheEndFailsWithoutTouchingMemory)
{
  std::array<uint8_t, 3> buffer{ 1, 2, 3 };
  ByteReader reader(buffer);
  BOOST_TEST(reader.U32() == 0U);
  BOOST_TEST(!reader.Ok());
  BOOST_TEST(reader.U8() == 0);
  ByteWriter writer(buffer);
  writer.U32(0xffffffff);
  BOOST_TEST(!writer.Ok());
  BOOST_TEST(buffer[0] == 1);
}

BOOST_AUTO_TEST_SUITE_END()
