#include "tools/callers/Run.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "tools/callers/Caller.h"

namespace snipepost::tools {

namespace {

// Retries are at most 10% of requests; a small start lets a short run retry.
constexpr double kRetryShare = 0.1;
constexpr double kRetryBurst = 10;
// A caller waits this long after its deadline, because a response that was
// sent in time is still on its way.
constexpr Duration kGrace = std::chrono::seconds(1);
constexpr Duration kSweepInterval = std::chrono::milliseconds(50);
constexpr size_t kSubmissionBytes = 300;

std::chrono::steady_clock::time_point
ToSteady(Instant aInstant)
{
  return std::chrono::steady_clock::time_point(
    std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      aInstant.time_since_epoch()));
}

// Distinguishes the keys of this run from those of earlier ones with the same
// seed, which backend servers may remember.
uint64_t
MakeRunId()
{
  std::random_device device;
  return (uint64_t{ device() } << 32) | device();
}

} // namespace

Run::Run(const Options& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mStart(Now())
  , mEnd(mStart + aOptions.mLength)
  , mStatistics(mStart)
  , mSweep(mContext)
  , mRunId(MakeRunId())
  , mRetryTokens(kRetryBurst)
{
  auto add = [this](const Address& aService) {
    return mCallers.emplace_back(std::make_unique<Caller>(*this, aService))
      .get();
  };
  for (const Address& service : mOptions.mServices) {
    for (size_t i = 0; i < mOptions.mCallers; ++i) {
      mOtherCallers.push_back(add(service));
    }
  }
  if (mOptions.mBulkServices == mOptions.mServices) {
    mBulkCallers = mOtherCallers;
    return;
  }
  if (mOptions.mRates[IndexOf(RequestClass::Bulk)] <= 0) {
    return;
  }
  for (const Address& service : mOptions.mBulkServices) {
    for (size_t i = 0; i < mOptions.mCallers; ++i) {
      mBulkCallers.push_back(add(service));
    }
  }
}

Run::~Run() = default;

void
Run::Execute()
{
  for (auto& caller : mCallers) {
    caller->Start();
  }
  for (RequestClass cls : kAllClasses) {
    if (mOptions.mRates[IndexOf(cls)] > 0) {
      mArrivals[IndexOf(cls)] = std::make_unique<asio::steady_timer>(mContext);
      ScheduleArrival(cls, mStart);
    }
  }
  SweepDeadlines();
  mContext.run();
}

std::string
Run::UniquePart()
{
  return std::to_string(mRunId) + "-" + std::to_string(++mLastKey);
}

bool
Run::TakeRetry()
{
  if (mRetryTokens < 1) {
    return false;
  }
  mRetryTokens -= 1;
  return true;
}

void
Run::ScheduleArrival(RequestClass aClass, Instant aIntended)
{
  // Gaps of a Poisson process are exponentially distributed.
  const double gap =
    -std::log(1 - mRandom.Fraction()) / mOptions.mRates[IndexOf(aClass)];
  const Instant next = aIntended + std::chrono::duration_cast<Duration>(
                                     std::chrono::duration<double>(gap));
  if (next >= mEnd) {
    return;
  }
  asio::steady_timer& timer = *mArrivals[IndexOf(aClass)];
  timer.expires_at(ToSteady(next));
  timer.async_wait([this, aClass, next](const asio::error_code& aError) {
    if (!aError) {
      StartRequest(aClass, next);
      ScheduleArrival(aClass, next);
    }
  });
}

RequestPtr
Run::MakeRequest(RequestClass aClass, Instant aIntended)
{
  auto request = std::make_shared<Request>();
  request->mId = ++mLastRequest;
  request->mClass = aClass;
  request->mIntended = aIntended;
  request->mDeadline = aIntended + mOptions.mDeadlines[IndexOf(aClass)];
  request->mMethod = "GET";
  const std::string number = std::to_string(request->mId);
  switch (aClass) {
    case RequestClass::Submission:
      request->mMethod = "POST";
      request->mPath = "/submit";
      request->mBody = std::string(kSubmissionBytes, 'x');
      break;
    case RequestClass::Query:
      request->mPath = "/query/" + number;
      break;
    case RequestClass::Bulk:
      request->mBulkSeed = request->mId;
      request->mBulkBytes = mOptions.mBulkBytes;
      request->mPath =
        "/bulk/" + std::to_string(request->mBulkBytes) + "/" + number;
      break;
    case RequestClass::Session:
      request->mPath = "/session/" + std::to_string(mOptions.mSessionSeconds);
      break;
  }
  return request;
}

void
Run::StartRequest(RequestClass aClass, Instant aIntended)
{
  RequestPtr request = MakeRequest(aClass, aIntended);
  mStatistics.OnAttempt(aClass, aIntended);
  mRetryTokens = std::min(kRetryBurst, mRetryTokens + kRetryShare);
  mOpen.insert(request);
  auto& callers = aClass == RequestClass::Bulk ? mBulkCallers : mOtherCallers;
  callers[mRandom.Below(callers.size())]->Add(request);
}

void
Run::Finish(const RequestPtr& aRequest, Result aResult)
{
  if (aRequest->mDone) {
    return;
  }
  aRequest->mDone = true;
  mOpen.erase(aRequest);
  if (aResult == Result::Ok && aRequest->mClass == RequestClass::Submission) {
    mLedger.ToldOk(aRequest->mId);
  }
  mStatistics.OnResult(aRequest->mClass, aResult, aRequest->mIntended, Now());
}

void
Run::SweepDeadlines()
{
  const Instant now = Now();
  while (!mOpen.empty() && (*mOpen.begin())->mDeadline + kGrace <= now) {
    // A rejected request that found no connection for its retry did not run.
    const RequestPtr request = *mOpen.begin();
    Finish(request,
           request->mLastRejected && !request->mMayHaveRun ? Result::ToldNotRun
                                                           : Result::TimedOut);
  }
  for (auto& caller : mCallers) {
    caller->OnTick(now);
  }
  if (now >= mEnd && mOpen.empty()) {
    for (auto& caller : mCallers) {
      caller->Stop();
    }
    return;
  }
  mSweep.expires_at(ToSteady(now + kSweepInterval));
  mSweep.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      SweepDeadlines();
    }
  });
}

} // namespace snipepost::tools
