#include "src/Routing/Tables.h"

#include <algorithm>
#include <array>
#include <limits>

#include "src/Routing/Hash.h"

namespace snipepost {

namespace {

// Primes. The smallest one with at least 100 slots per backend is used, the
// ratio that the Maglev paper gives for an imbalance of 1 %. There are few
// sizes, because a change of size moves keys.
constexpr std::array<size_t, 3> kSizes{ 4093, 65521, 393209 };
constexpr size_t kSlotsPerBackend = 100;

constexpr uint64_t kOffsetSeed = 0x6f66667365740001;
constexpr uint64_t kSkipSeed = 0x736b697000000002;
constexpr uint16_t kEmptySlot = std::numeric_limits<uint16_t>::max();

// Limits the slots scanned per decision when one backend holds nearly all of
// them; the remaining candidates are then taken in the order of the backend
// list.
constexpr size_t kMaxScannedSlots = 64;

// Position of one backend in its permutation of the slots, and the credit it
// has accumulated for its next turn.
struct FillState
{
  uint32_t mNext = 0;
  uint32_t mSkip = 0;
  uint32_t mCredit = 0;
};

FillState
InitialFillState(const Address& aAgent, size_t aSize)
{
  FillState state;
  state.mNext = static_cast<uint32_t>(HashAddress(aAgent, kOffsetSeed) % aSize);
  state.mSkip =
    static_cast<uint32_t>(HashAddress(aAgent, kSkipSeed) % (aSize - 1) + 1);
  return state;
}

void
Advance(FillState& aState, size_t aSize)
{
  const size_t next = size_t{ aState.mNext } + aState.mSkip;
  aState.mNext = static_cast<uint32_t>(next < aSize ? next : next - aSize);
}

// Maps a 32-bit hash to a slot without a division (Lemire, 2019).
size_t
SlotOf(uint32_t aHash, size_t aSize)
{
  return (uint64_t{ aHash } * aSize) >> 32;
}

// Appends aIndex to the first aCount entries unless they contain it. Returns
// the new count.
size_t
AddDistinct(std::span<uint16_t> aOut, size_t aCount, uint16_t aIndex)
{
  const auto filled = aOut.first(aCount);
  if (std::ranges::find(filled, aIndex) != filled.end()) {
    return aCount;
  }
  aOut[aCount] = aIndex;
  return aCount + 1;
}

} // namespace

size_t
MaglevSize(size_t aBackendCount)
{
  const auto* fit = std::ranges::find_if(kSizes, [aBackendCount](size_t aSize) {
    return aSize >= aBackendCount * kSlotsPerBackend;
  });
  return fit == kSizes.end() ? kSizes.back() : *fit;
}

MaglevTable::MaglevTable(std::span<const Backend> aBackends)
  : mBackendCount(aBackends.size())
{
  if (!aBackends.empty()) {
    mSlots.assign(MaglevSize(aBackends.size()), kEmptySlot);
    Fill(aBackends);
  }
}

// Algorithm 1 of the Maglev paper. In each round a backend's weight is added to
// its credit; it takes a turn when the credit reaches the greatest weight.
void
MaglevTable::Fill(std::span<const Backend> aBackends)
{
  const size_t size = mSlots.size();
  std::vector<FillState> states;
  states.reserve(aBackends.size());
  for (const Backend& backend : aBackends) {
    states.push_back(InitialFillState(backend.mAgent, size));
  }
  const uint32_t maxWeight =
    std::ranges::max(aBackends, {}, &Backend::mWeight).mWeight;
  for (size_t filled = 0;;) {
    for (size_t i = 0; i < states.size(); ++i) {
      FillState& state = states[i];
      state.mCredit += aBackends[i].mWeight;
      if (state.mCredit < maxWeight) {
        continue;
      }
      state.mCredit -= maxWeight;
      while (mSlots[state.mNext] != kEmptySlot) {
        Advance(state, size);
      }
      mSlots[state.mNext] = static_cast<uint16_t>(i);
      if (++filled == size) {
        return;
      }
    }
  }
}

size_t
MaglevTable::Pick(FlowKey aKey, std::span<uint16_t> aOut) const
{
  const size_t wanted = std::min(aOut.size(), mBackendCount);
  if (wanted == 0) {
    return 0;
  }
  const size_t size = mSlots.size();
  const uint64_t key = aKey.Value();
  aOut[0] = mSlots[SlotOf(static_cast<uint32_t>(key >> 32), size)];
  size_t count = 1;
  size_t slot = SlotOf(static_cast<uint32_t>(key), size);
  for (size_t step = 0; count < wanted && step < kMaxScannedSlots; ++step) {
    count = AddDistinct(aOut, count, mSlots[slot]);
    slot = slot + 1 < size ? slot + 1 : 0;
  }
  for (size_t index = aOut[0]; count < wanted;) {
    index = index + 1 < mBackendCount ? index + 1 : 0;
    count = AddDistinct(aOut, count, static_cast<uint16_t>(index));
  }
  return count;
}

size_t
MaglevTable::MemoryBytes() const
{
  return sizeof *this + mSlots.capacity() * sizeof mSlots[0];
}

} // namespace snipepost
