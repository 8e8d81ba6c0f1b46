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
  Instant mIntended{};
  Instant mDeadline{};
  /// Seed and size of a bulk download.
  uint64_t mBulkSeed = 0;
  uint64_t mBulkBytes = 0;
  std::string mMethod;
  std::string mPath;
  std::string mBody;
  /// Idempotency key of the next attempt; empty until a scope is known.
  std::string mKey;
  int mAttempts = 0;
  /// An attempt ended without saying whether it ran.
  bool mMayHaveRun = false;
  bool mLastRejected = false;
  bool mDone = false;
};

using RequestPtr = std::shared_ptr<Request>;

/// Starts requests at times that only the seed determines, and collects what
/// becomes of them. Arrivals of each class form a Poisson process; latency
/// counts from the intended start, so a stalled server can't slow the load
/// down and thereby hide its delay (coordinated omission).
class Run
{
public:
  explicit Run(const Options& aOptions);
  ~Run();

  /// Returns when the last request has a result.
  void Execute();

  const Options& Settings() const { return mOptions; }
  asio::io_context& Context() { return mContext; }
  Random& Choices() { return mRandom; }
  Statistics& Counters() { return mStatistics; }
  KeyLedger& Ledger() { return mLedger; }

  /// A caller-unique part for an idempotency key.
  std::string UniquePart();

  /// Takes one retry from the budget; false when it is spent.
  bool TakeRetry();

  /// Reports the result of a request, once.
  void Finish(const RequestPtr& aRequest, Result aResult);

private:
  struct LaterDeadline
  {
    bool operator()(const RequestPtr& aLeft, const RequestPtr& aRight) const
    {
      return std::pair(aLeft->mDeadline, aLeft->mId) <
             std::pair(aRight->mDeadline, aRight->mId);
    }
  };

  void ScheduleArrival(RequestClass aClass, Instant aIntended);
  RequestPtr MakeRequest(RequestClass aClass, Instant aIntended);
  void StartRequest(RequestClass aClass, Instant aIntended);
  void SweepDeadlines();

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
  std::array<std::unique_ptr<asio::steady_timer>, kClasses> mArrivals;
  asio::steady_timer mSweep;
  std::set<RequestPtr, LaterDeadline> mOpen;
  uint64_t mRunId = 0;
  uint64_t mLastRequest = 0;
  uint64_t mLastKey = 0;
  double mRetryTokens;
};

} // namespace snipepost::tools
