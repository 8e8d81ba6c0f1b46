#include "RateLimit.h"

#include <algorithm>
#include <chrono>

namespace snipepost::tools {

bool
RateLimit::Take(Instant aNow, size_t aPending)
{
  if (mPerSecond <= 0.0) {
    return true;
  }
  const double rate = std::max(0.0, mPerSecond - static_cast<double>(aPending));
  const std::chrono::duration<double> elapsed = aNow - mLast;
  mLast = aNow;
  mTokens = std::min(rate, mTokens + rate * elapsed.count());
  if (mTokens < 1.0) {
    return false;
  }
  mTokens -= 1.0;
  return true;
}

} // namespace snipepost::tools
