#include "src/Routing/Tables.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

#include "src/Routing/Hash.h"

namespace snipepost {

namespace {

constexpr uint64_t kBackendSeed = 0x72656e6465000003;

// Maximum number of candidates requested (CandidateList::kCapacity).
constexpr size_t kMaxCandidates = 4;

struct ScoredBackend
{
  double mScore = -std::numeric_limits<double>::infinity();
  uint16_t mIndex = 0;
};

// Inserts an entry into the list, which is sorted by descending score, and
// drops the last one.
void
Insert(std::span<ScoredBackend> aBest, ScoredBackend aEntry)
{
  size_t at = aBest.size() - 1;
  for (; at > 0 && aBest[at - 1].mScore < aEntry.mScore; --at) {
    aBest[at] = aBest[at - 1];
  }
  aBest[at] = aEntry;
}

} // namespace

RendezvousTable::RendezvousTable(std::span<const Backend> aBackends)
{
  mSeeds.reserve(aBackends.size());
  for (const Backend& backend : aBackends) {
    mSeeds.push_back(HashAddress(backend.mAgent, kBackendSeed));
  }
  const bool weighted =
    std::ranges::adjacent_find(aBackends,
                               std::ranges::not_equal_to{},
                               &Backend::mWeight) != aBackends.end();
  if (weighted) {
    mWeights.reserve(aBackends.size());
    for (const Backend& backend : aBackends) {
      mWeights.push_back(backend.mWeight);
    }
  }
}

double
RendezvousTable::Score(uint64_t aKey, size_t aIndex) const
{
  // 53 bits plus one half, so that the fraction is never 0 or 1.
  const double fraction =
    (static_cast<double>(HashWord(aKey, mSeeds[aIndex]) >> 11) + 0.5) *
    0x1.0p-53;
  if (mWeights.empty()) {
    return fraction;
  }
  return -static_cast<double>(mWeights[aIndex]) / std::log(fraction);
}

size_t
RendezvousTable::Pick(FlowKey aKey, std::span<uint16_t> aOut) const
{
  const size_t wanted =
    std::min({ aOut.size(), mSeeds.size(), kMaxCandidates });
  if (wanted == 0) {
    return 0;
  }
  std::array<ScoredBackend, kMaxCandidates> ranked;
  const auto best = std::span(ranked).first(wanted);
  for (size_t i = 0; i < mSeeds.size(); ++i) {
    const double score = Score(aKey.Value(), i);
    if (score > best.back().mScore) {
      Insert(best, { score, static_cast<uint16_t>(i) });
    }
  }
  std::ranges::transform(best, aOut.begin(), &ScoredBackend::mIndex);
  return wanted;
}

size_t
RendezvousTable::MemoryBytes() const
{
  return sizeof *this + mSeeds.capacity() * sizeof mSeeds[0] +
         mWeights.capacity() * sizeof(uint16_t);
}

} // namespace snipepost
