#pragma once

#include <algorithm>

#include "tools/bench/PolicyFigures.h"

namespace snipepost::bench {

/// Target for goodput under overload relative to its peak (docs/design.md,
/// section 9).
constexpr double kMinShareOfPeak = 0.9;

inline Figures
RunSteady(double aLoad, uint64_t aSeed)
{
  return FiguresOf({ .mSite = kRekawica,
                     .mLoad = aLoad,
                     .mSeed = aSeed,
                     .mLength = std::chrono::seconds(5) });
}

/// A figure at 3 times capacity relative to its highest value at loads of 0.9
/// to 1.2 times capacity.
inline double
ShareOfPeak(Figure aFigure, uint64_t aSeed)
{
  const auto at = [&](double aLoad) {
    return RunSteady(aLoad, aSeed)[static_cast<size_t>(aFigure)];
  };
  return at(3.0) / std::max({ at(0.9), at(1.0), at(1.2) });
}

} // namespace snipepost::bench
