#include <snipepost/Admission/RetryBudget.h>

#include <algorithm>

namespace snipepost {

void
RetryBudget::OnRequest()
{
  mTokens = std::min(mOptions.mBurst, mTokens + mOptions.mRatio);
}

bool
RetryBudget::TryRetry()
{
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

} // namespace snipepost
