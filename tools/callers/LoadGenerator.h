#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <snipepost/Base/Random.h>

#include "tools/callers/Journal.h"
#include "tools/callers/Options.h"
#include "tools/callers/Statistics.h"

namespace snipepost::tools {

class Caller;

/// One request from its intended start to its result, over all attempts.
struct Request
{
  uint64_t mId = 0;
  RequestClass mClass{};
  Instant mIntendedStart{};
  Instant mDeadline{};
  /// Seed and size of a bulk download.
  uint64_t mBulkSeed = 0;
  uint64_t mBulkBytes = 0;
  std::string mMethod;
  std::string mPath;
  std::string mBody;
  /// Idempotency key of the next attempt; empty until a scope was fetched.
  std::string mKey;
  int mAttempts = 0;
  /// An attempt ended with an unknown outcome.
  bool mMayHaveRun = false;
  bool mLastRejected = false;
  bool mDone = false;
};

using RequestPtr = std::shared_ptr<Request>;

/// Open-loop load generator: starts requests at times that depend on the seed
/// only, and collects their results. Arrivals of each class form a Poisson
/// process. Latency is measured from the intended start, so that a stalled
/// server can't hide its delay by slowing down the load (coordinated omission).
class LoadGenerator
{
public:
  explicit LoadGenerator(const Options& aOptions);
  ~LoadGenerator();

  /// Returns when the last request has a result.
  void Execute();

  const Options& RunOptions() const { return mOptions; }
  asio::io_context& Context() { return mContext; }
  Random& RandomSource() { return mRandom; }
  Statistics& Counters() { return mStatistics; }
  KeyLedger& Ledger() { return mLedger; }

  /// A unique suffix for an idempotency key.
  std::string UniqueKeySuffix();

  /// Consumes one retry of the budget; false when the budget is exhausted.
  bool TryConsumeRetry();

  /// Records the result of a request; later results are ignored.
  void Finish(const RequestPtr& aRequest, Result aResult);

private:
  struct ByDeadline
  {
    bool operator()(const RequestPtr& aLeft, const RequestPtr& aRight) const
    {
      return std::pair(aLeft->mDeadline, aLeft->mId) <
             std::pair(aRight->mDeadline, aRight->mId);
    }
  };

  void ScheduleArrival(RequestClass aClass, Instant aIntendedStart);
  RequestPtr MakeRequest(RequestClass aClass, Instant aIntendedStart);
  void StartRequest(RequestClass aClass, Instant aIntendedStart);
  void Tick();

  Options mOptions;
  asio::io_context mContext{ 1 };
  Random mRandom;
  Instant mStart;
  Instant mEnd;
  Statistics mStatistics;
  KeyLedger mLedger;
  std::vector<std::unique_ptr<Caller>> mCallers;
  std::vector<Caller*> mBulkCallers;
  std::vector<Caller*> mOtherCallers;
  std::array<std::unique_ptr<asio::steady_timer>, kClassCount> mArrivalTimers;
  asio::steady_timer mTickTimer;
  std::set<RequestPtr, ByDeadline> mPending;
  uint64_t mRunId = 0;
  uint64_t mLastRequestId = 0;
  uint64_t mLastKeyNumber = 0;
  double mRetryTokens;
};

} // namespace snipepost::tools
