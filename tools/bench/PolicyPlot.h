#pragma once

#include <string>

namespace snipepost::bench {

/// Writes an SVG of goodput and p99 latency per 100 ms while a failure domain
/// leaves and returns, for all policies (Corrib, load 0.6, seed 1).
void
WritePolicyPlot(const std::string& aFile);

} // namespace snipepost::bench
