#pragma once

#include <span>
#include <vector>

#include <snipepost/Routing/Table.h>

namespace snipepost {

/// Maglev hashing. One half of the key selects the slot of the first candidate,
/// the other half an independent slot from which the following candidates are
/// searched.
class MaglevTable final : public Table
{
public:
  explicit MaglevTable(std::span<const Backend> aBackends);

  size_t Pick(FlowKey aKey, std::span<uint16_t> aOut) const override;
  size_t MemoryBytes() const override;

private:
  void Fill(std::span<const Backend> aBackends);

  std::vector<uint16_t> mSlots;
  size_t mBackendCount = 0;
};

/// Weighted rendezvous hashing: the candidates are the backends with the
/// highest scores for the key. Each decision scans all backends.
class RendezvousTable final : public Table
{
public:
  explicit RendezvousTable(std::span<const Backend> aBackends);

  size_t Pick(FlowKey aKey, std::span<uint16_t> aOut) const override;
  size_t MemoryBytes() const override;

private:
  double Score(uint64_t aKey, size_t aIndex) const;

  std::vector<uint64_t> mSeeds;
  /// Empty when all weights are equal; scores then need no logarithm.
  std::vector<uint16_t> mWeights;
};

} // namespace snipepost
