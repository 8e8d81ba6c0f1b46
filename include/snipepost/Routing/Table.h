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
  /// Maglev hashing (Eisenbud et al., NSDI 2016, section 3.4). Each backend
  /// fills slots of the table in proportion to its weight.
  Maglev,
  /// Weighted rendezvous hashing (Thaler and Ravishankar, 1998, with the
  /// logarithmic weights of Schindelhauer and Schomaker, 2005).
  Rendezvous,
};

/// The algorithm in use. With 3,500 backends, routing a first packet takes 67
/// ns with Maglev hashing and 11.4 us with rendezvous hashing, which scans
/// every backend ("bench routing"). With Maglev hashing, each change of the
/// backends moves 0.2 % of the keys unnecessarily; packets of their flows still
/// reach their agent, which is a candidate of the previous table.
constexpr TableKind kDefaultTable = TableKind::Maglev;

/// Maps a flow key to an ordered list of distinct backends of one service.
/// Immutable. Equal lists of backends give equal tables on all instances.
class Table
{
public:
  virtual ~Table() = default;

  /// Writes distinct indexes into the list of backends that the table was built
  /// from, in order of preference. Returns their number: the smaller of
  /// aOut.size(), which is at most 4, and the number of backends.
  virtual size_t Pick(FlowKey aKey, std::span<uint16_t> aOut) const = 0;

  /// Bytes that the table occupies.
  virtual size_t MemoryBytes() const = 0;
};

/// Number of slots of a Maglev table for aBackendCount backends, a prime: 4,093
/// for up to 40 backends, 65,521 for up to 655, and 393,209 for more. There are
/// few sizes, because a change of size moves nearly all flow keys of the
/// service; packets of a first flight then reach their agent, which is a
/// candidate of the previous table. The size depends on the count only, so that
/// all instances build the same table.
size_t
MaglevSize(size_t aBackendCount);

/// Builds a table. aBackends holds at most 65,535 entries and is normalized
/// (see NormalizeBackends). A backend whose weight is below about 1/4,000 of
/// its service's total may get no slot in a Maglev table and is then never the
/// first candidate.
std::shared_ptr<const Table>
BuildTable(TableKind aKind, std::span<const Backend> aBackends);

/// Sorts by address, removes backends with weight 0, and keeps only the highest
/// incarnation of each address.
std::vector<Backend>
NormalizeBackends(std::vector<Backend> aBackends);

} // namespace snipepost
