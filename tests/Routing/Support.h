#pragma once

#include <cstdint>
#include <iostream>
#include <sstream>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <snipepost/Base/KeyedTag.h>
#include <snipepost/Routing/Backend.h>
#include <snipepost/Routing/RouteId.h>

namespace snipepost::test {

/// Runs a RapidCheck property with a fixed seed, which is printed, and fails
/// the current Boost.Test case with the counterexample.
template<typename Property>
void
CheckProperty(uint64_t aSeed, Property&& aProperty, int aRuns = 500)
{
  rc::detail::TestMetadata metadata;
  metadata.id = boost::unit_test::framework::current_test_case().full_name();
  rc::detail::TestParams params;
  params.seed = aSeed;
  params.maxSuccess = aRuns;
  std::cout << metadata.id << " seed=" << aSeed << '\n';
  const auto result = rc::detail::checkTestable(
    std::forward<Property>(aProperty), metadata, params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  BOOST_TEST(result.template is<rc::detail::SuccessResult>(), text.str());
}

inline const KeyRing&
Keys()
{
  static const KeyRing sKeys(
    *ParseSecretKey("000102030405060708090a0b0c0d0e0f"));
  return sKeys;
}

/// The key ring of another deployment.
inline const KeyRing&
ForeignKeys()
{
  static const KeyRing sKeys(
    *ParseSecretKey("ffeeddccbbaa99887766554433221100"));
  return sKeys;
}

/// Backends at 10.0.0.1:7000 and the following addresses, in failure domains 1,
/// 2 and 3 in turn.
inline std::vector<Backend>
MakeBackends(size_t aCount)
{
  std::vector<Backend> backends;
  for (uint32_t i = 0; i < aCount; ++i) {
    Backend backend;
    backend.mAgent = { 0x0a000001 + i, 7000 };
    backend.mDomain = DomainId(static_cast<uint8_t>(1 + i % 3));
    backends.push_back(backend);
  }
  return backends;
}

inline rc::Gen<Address>
AnyAddress()
{
  return rc::gen::construct<Address>(rc::gen::arbitrary<uint32_t>(),
                                     rc::gen::arbitrary<uint16_t>());
}

using Bytes = std::vector<uint8_t>;

/// A copy of the bytes with one to three bits flipped.
inline Bytes
Mutate(Bytes aBytes)
{
  const auto flips = *rc::gen::inRange<size_t>(1, 4);
  const Bytes original = aBytes;
  for (size_t i = 0; i < flips; ++i) {
    const auto bit = *rc::gen::inRange<size_t>(0, aBytes.size() * 8);
    aBytes[bit / 8] ^= static_cast<uint8_t>(1U << (bit % 8));
  }
  RC_PRE(aBytes != original);
  return aBytes;
}

} // namespace snipepost::test
