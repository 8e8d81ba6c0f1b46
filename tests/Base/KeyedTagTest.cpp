#include <boost/test/unit_test.hpp>

#include <array>

#include <snipepost/Base/KeyedTag.h>

using namespace snipepost;

namespace {

constexpr const char* kFirst = "000102030405060708090a0b0c0d0e0f";
constexpr const char* kSecond = "ffeeddccbbaa99887766554433221100";

} // namespace

BOOST_AUTO_TEST_SUITE(KeyedTagTest)

// The test vector is from appendix A of the SipHash paper.
BOOST_AUTO_TEST_CASE(MatchesThePublishedTestVector)
{
  const KeyRing ring(*ParseSecretKey(kFirst));
  std::array<uint8_t, 15> input;
  for (size_t i = 0; i < input.size(); ++i) {
    input[i] = static_cast<uint8_t>(i);
  }
  BOOST_TEST(*ring.Tag(0, input) == 0xa129ca6149be45e5ULL);
}

// Guards against a key rotation that invalidates IDs issued before it.
BOOST_AUTO_TEST_CASE(BothKeysVerifyDuringARotation)
{
  const std::array<uint8_t, 3> input{ 1, 2, 3 };
  KeyRing ring(*ParseSecretKey(kFirst));
  const auto before = ring.Tag(0, input);
  ring.Install(*ParseSecretKey(kSecond), 1);
  ring.Activate(1);
  BOOST_TEST(ring.ActiveSlot() == 1);
  BOOST_TEST(TagsEqual(*ring.Tag(0, input), *before));
  BOOST_TEST(!TagsEqual(*ring.Tag(1, input), *before));
}

BOOST_AUTO_TEST_CASE(RejectsInvalidKeysAndEmptySlots)
{
  BOOST_TEST(!ParseSecretKey("00"));
  BOOST_TEST(!ParseSecretKey("zz0102030405060708090a0b0c0d0e0f"));
  const KeyRing ring(*ParseSecretKey(kFirst));
  BOOST_TEST(!ring.Tag(1, {}));
  BOOST_TEST(!ring.Tag(15, {}));
}

BOOST_AUTO_TEST_SUITE_END()
