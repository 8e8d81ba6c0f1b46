#pragma once

#include <compare>
#include <cstdint>

#include <snipepost/Base/Types.h>

namespace snipepost::cluster {

/// Version that the store assigns to each change, in one sequence for all
/// objects. Comparable within an epoch only: a store that was restored from a
/// copy assigns the revisions after the copy again, to other changes.
using Revision = StrongType<struct RevisionTag, uint64_t>;

/// Number of a history of the store, which a restore from a copy begins anew.
/// Higher after each restore. Zero when unknown: the store does not name it, a
/// read may have been stale, or a peer runs the previous build.
using Epoch = StrongType<struct EpochTag, uint64_t>;

/// A point in the history of the store. A later epoch is newer, whatever the
/// revisions are.
struct Position
{
  Epoch mEpoch;
  Revision mRevision;

  auto operator<=>(const Position&) const = default;
};

} // namespace snipepost::cluster
