#include <snipepost/Routing/ProxyHeader.h>

#include <algorithm>

#include "tests/Routing/Support.h"

using namespace snipepost;
using namespace snipepost::test;

BOOST_AUTO_TEST_SUITE(ProxyHeaderTest)

BOOST_AUTO_TEST_CASE(RoundTripKeepsAddressesAndPayload)
{
  CheckProperty(31, [] {
    const ProxyHeader header{ *AnyAddress(), *AnyAddress() };
    const auto payload = *rc::gen::arbitrary<Bytes>();
    const auto encoded = EncodeProxyHeader(header);
    Bytes bytes(encoded.begin(), encoded.end());
    bytes.insert(bytes.end(), payload.begin(), payload.end());
    const auto decoded = DecodeProxied(bytes);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->mHeader == header);
    RC_ASSERT(std::ranges::equal(decoded->mPayload, payload));
  });
}

// Guards against reads past the end, which sanitizer builds report.
BOOST_AUTO_TEST_CASE(RandomAndTruncatedBytesDoNotDecode)
{
  CheckProperty(32, [] {
    const auto encoded = EncodeProxyHeader({ *AnyAddress(), *AnyAddress() });
    Bytes bytes(encoded.begin(), encoded.end());
    DecodeProxied(Mutate(bytes));
    bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size()));
    RC_ASSERT(!DecodeProxied(bytes));
    RC_ASSERT(!DecodeProxied(*rc::gen::arbitrary<Bytes>()));
  });
}

// Guards against treating TLVs as payload and other address families as IPv4.
BOOST_AUTO_TEST_CASE(SkipsTlvsAndRejectsOtherFamilies)
{
  const ProxyHeader header{ { 1, 2 }, { 3, 4 } };
  const auto encoded = EncodeProxyHeader(header);
  Bytes bytes(encoded.begin(), encoded.end());
  bytes[15] = 16;
  bytes.insert(bytes.end(), { 4, 0, 1, 0, 0xaa });
  const auto decoded = DecodeProxied(bytes);
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((decoded->mHeader == header));
  BOOST_TEST(decoded->mPayload.size() == 1U);
  for (const auto& [at, value] : { std::pair{ 12, 0x20 },
                                   { 12, 0x11 },
                                   { 13, 0x11 },
                                   { 13, 0x22 },
                                   { 15, 11 } }) {
    Bytes other = bytes;
    other[static_cast<size_t>(at)] = static_cast<uint8_t>(value);
    BOOST_TEST(!DecodeProxied(other));
  }
}

BOOST_AUTO_TEST_SUITE_END()
