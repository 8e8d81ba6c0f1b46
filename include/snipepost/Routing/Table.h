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

/// The algorithm in use. At 3,500 endpoints "bench routing" measures 67 ns for
/// a first packet with Maglev against 11.4 us with rendezvous hashing, which
/// scans every backend; the 0.2 % of keys that Maglev moves needlessly per
/// change are found through the previous table.
constexpr TableKind kDefaultTable = TableKind::Maglev;

/// Maps a flow key to an ordered list of distinct backends of one service.
/// Immutable. Equal backends give equal tables on every instance.
class Table
{
public:
  virtual ~Table() = default;

  /// Writes positions in the list of backends that the table was built from,
  /// distinct and in order of preference, and returns how many: the smaller of
  /// aOut.size(), which is at most 4, and the number of backends.
  virtual size_t Pick(FlowKey aKey, std::span<uint16_t> aOut) const = 0;

  /// Bytes that the table occupies.
  virtual size_t MemoryBytes() const = 0;
};

/// Slots of a Maglev table for aBackends backends, a prime: 4,093 up to 40
/// backends, 65,521 up to 655, 393,209 above. There are few sizes, because a
/// change of size moves nearly all flow keys of the service; those flows whose
/// first flight is under way are then found through the previous table. The
/// size depends on nothing but the count, so that instances agree.
size_t
MaglevSize(size_t aBackends);

/// Builds a table. aBackends holds at most 65,535 entries and is normalized
/// (see NormalizeBackends). A backend whose weight is below about 1/4,000 of
/// its service's total may get no slot of a Maglev table, hence no first
/// candidacy.
std::shared_ptr<const Table>
BuildTable(TableKind aKind, std::span<const Backend> aBackends);

/// Sorts by address and removes repeated addresses (the greatest incarnation
/// is kept) and backends with weight 0.
std::vector<Backend>
NormalizeBackends(std::vector<Backend> aBackends);

} // namespace snipepost
