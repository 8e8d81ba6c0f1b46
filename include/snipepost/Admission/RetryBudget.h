#pragma once

#include <snipepost/Admission/Options.h>

namespace snipepost {

/// Token bucket that bounds retries to a share of requests, so that retries
/// can't multiply an overload.
class RetryBudget
{
public:
  explicit RetryBudget(const RetryOptions& aOptions)
    : mOptions(aOptions)
  {
  }

  /// Counts a request that is passed on for the first time.
  void OnRequest();

  /// Spends one retry; false when the budget is used up.
  bool TryRetry();

private:
  RetryOptions mOptions;
  /// One retry is allowed from the start: an idle service has no history.
  double mTokens = 1;
};

} // namespace snipepost
