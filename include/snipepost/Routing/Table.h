#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include <snipepost/Base/Types.h>
#include <snipepost/Routing/Backend.h>

namespace snipepost {

/// Consistent-hashing algorithms that a Table can use.
enum class TableKind : uint8_t
{
  /// Maglev hashing (Eisenbud et al., NSDI 2016, section 3.4), with turns in
  /// proportion to the weights.
  Maglev,
  /// Weighted rendezvous hashing (Thaler and Ravishankar, 1998, with the
  /// logarithmic weights of Schindelhauer and Schomaker, 2005).
  Rendezvous,
};

/// Maps a flow key to an ordered list of distinct backends of one service.
/// Immutable. Equal backends give equal tables on every instance.
class Table
{
public:
  virtual ~Table() = default;

  /// Writes positions in the list of backends that the table was built from,
  /// distinct and in order of preference, and returns how many: the smaller of
  /// aOut.size() and the number of backends with a weight above 0.
  virtual size_t Pick(FlowKey aKey, std::span<uint16_t> aOut) const = 0;

  /// Bytes that the table occupies.
  virtual size_t MemoryBytes() const = 0;
};

/// Slots of a Maglev table for aBackends backends, a prime. Sizes come from a
/// short ladder, because every change of size moves most flow keys.
size_t
MaglevSize(size_t aBackends);

/// Builds a table. aBackends holds at most 65,535 entries, sorted by address
/// and without repeated addresses (see NormalizeBackends).
std::shared_ptr<const Table>
BuildTable(TableKind aKind, std::span<const Backend> aBackends);

/// Sorts by address and removes repeated addresses (the greatest incarnation
/// is kept) and backends with weight 0.
std::vector<Backend>
NormalizeBackends(std::vector<Backend> aBackends);

} // namespace snipepost
