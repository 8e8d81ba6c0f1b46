#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include <snipepost/Routing/Table.h>

namespace snipepost::bench {

/// What happens to flow keys when one backend is added or removed, each as a
/// share of all keys sampled, from 0 to 1.
struct FlowKeyMoves
{
  double mMoved = 0;
  /// Keys that move between two backends which are both in both tables.
  double mNeedless = 0;
  /// Keys whose first candidate before the change is neither of the first two
  /// candidates after it.
  double mLeftPair = 0;
};

/// Compares the tables of two lists of backends.
FlowKeyMoves
CompareTables(TableKind aKind,
              std::span<const Backend> aBefore,
              std::span<const Backend> aAfter);

/// Keys of the busiest backend relative to the mean, sampled with 20,000 random
/// keys per backend. Includes the sampling noise.
double
PeakLoad(TableKind aKind, std::span<const Backend> aBackends);

} // namespace snipepost::bench
