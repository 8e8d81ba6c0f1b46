#include "tools/bench/FlowKeyMoves.h"

#include <algorithm>
#include <array>
#include <limits>

#include <snipepost/Base/Random.h>

namespace snipepost::bench {

namespace {

constexpr uint64_t kSeed = 8101;

// Keeps the standard error of a share below 0.2 %.
constexpr size_t kSampledKeys = 100'000;

// Keeps the standard deviation of one backend's count at 0.7 % of the mean.
constexpr size_t kKeysPerBackend = 20'000;

using CandidatePair = std::array<Address, 2>;

CandidatePair
PickPair(const Table& aTable, std::span<const Backend> aBackends, FlowKey aKey)
{
  std::array<uint16_t, 2> picked{};
  const size_t count = aTable.Pick(aKey, picked);
  CandidatePair pair{};
  for (size_t i = 0; i < count; ++i) {
    pair[i] = aBackends[picked[i]].mAgent;
  }
  return pair;
}

bool
Contains(std::span<const Backend> aBackends, const Address& aAgent)
{
  return std::ranges::binary_search(aBackends, aAgent, {}, &Backend::mAgent);
}

} // namespace

FlowKeyMoves
CompareTables(TableKind aKind,
              std::span<const Backend> aBefore,
              std::span<const Backend> aAfter)
{
  const auto before = BuildTable(aKind, aBefore);
  const auto after = BuildTable(aKind, aAfter);
  Random random(kSeed);
  FlowKeyMoves moves;
  for (size_t i = 0; i < kSampledKeys; ++i) {
    const FlowKey key(random.Below(std::numeric_limits<uint64_t>::max()));
    const Address from = PickPair(*before, aBefore, key)[0];
    const CandidatePair to = PickPair(*after, aAfter, key);
    if (from == to[0]) {
      continue;
    }
    moves.mMoved += 1;
    moves.mLeftPair += from != to[1] ? 1 : 0;
    moves.mNeedless +=
      Contains(aAfter, from) && Contains(aBefore, to[0]) ? 1 : 0;
  }
  moves.mMoved /= kSampledKeys;
  moves.mNeedless /= kSampledKeys;
  moves.mLeftPair /= kSampledKeys;
  return moves;
}

double
PeakLoad(TableKind aKind, std::span<const Backend> aBackends)
{
  const auto table = BuildTable(aKind, aBackends);
  Random random(kSeed);
  std::vector<size_t> counts(aBackends.size());
  for (size_t i = 0; i < kKeysPerBackend * aBackends.size(); ++i) {
    std::array<uint16_t, 1> picked{};
    table->Pick(FlowKey(random.Below(std::numeric_limits<uint64_t>::max())),
                picked);
    ++counts[picked[0]];
  }
  return static_cast<double>(std::ranges::max(counts)) / kKeysPerBackend;
}

} // namespace snipepost::bench
