#include <boost/test/unit_test.hpp>

#include <vector>

#include "tools/common/BulkBytes.h"

using namespace snipepost::tools;

BOOST_AUTO_TEST_SUITE(BulkBytesTest)

// Guards against a generator whose bytes depend on the size of the chunks,
// which would report correct downloads as wrong.
BOOST_AUTO_TEST_CASE(PiecesEqualTheWhole)
{
  std::vector<uint8_t> whole(1000);
  FillBulkBytes(9, 0, whole);
  for (size_t step : { 1, 7, 8, 13, 64 }) {
    std::vector<uint8_t> pieces(whole.size());
    for (size_t at = 0; at < whole.size(); at += step) {
      const size_t count = std::min(step, whole.size() - at);
      FillBulkBytes(9, at, std::span(pieces).subspan(at, count));
    }
    BOOST_TEST((pieces == whole), "step " << step);
  }
}

// Guards against a change of the byte sequence that callers and backend share.
BOOST_AUTO_TEST_CASE(BytesMatchXxh64)
{
  std::vector<uint8_t> bytes(24);
  FillBulkBytes(5, 0, bytes);
  for (uint64_t i = 0; i < bytes.size(); ++i) {
    const uint64_t block = i / 8;
    const uint64_t hash = XXH64(&block, sizeof block, 5);
    BOOST_TEST(bytes[i] == static_cast<uint8_t>(hash >> (8 * (i % 8))));
  }
}

BOOST_AUTO_TEST_SUITE_END()
