#pragma once

#include <snipepost/Admission/Options.h>

namespace snipepost {

/// Token bucket that limits retries to a share of requests, so that retries
/// can't amplify an overload.
class RetryBudget
{
public:
  explicit RetryBudget(const RetryOptions& aOptions)
    : mOptions(aOptions)
  {
  }

  /// Counts a request that is forwarded for the first time.
  void OnRequest();

  /// Spends one retry; false when the budget is used up.
  bool TryRetry();

private:
  RetryOptions mOptions;
  /// One retry is allowed from the start, before any request was counted.
  double mTokens = 1;
};

} // namespace snipepost
