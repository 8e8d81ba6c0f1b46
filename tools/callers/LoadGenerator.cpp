#include "tools/callers/LoadGenerator.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "tools/callers/Caller.h"

namespace snipepost::tools {

namespace {

// The retry budget is 10% of the requests. The initial tokens allow retries in
// short runs, too.
constexpr double kRetryShare = 0.1;
constexpr double kRetryBurst = 10;
// Additional wait after a deadline, because a response that was sent in time
// may still be in transit.
constexpr Duration kResponseGrace = std::chrono::seconds(1);
constexpr Duration kTickInterval = std::chrono::milliseconds(50);
constexpr size_t kSubmissionBytes = 300;

std::chrono::steady_clock::time_point
ToSteady(Instant aInstant)
{
  return std::chrono::steady_clock::time_point(
    std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      aInstant.time_since_epoch()));
}

// Distinguishes the keys of this run from those of earlier runs with the same
// seed, for which responses may still be stored.
uint64_t
MakeRunId()
{
  std::random_device device;
  return (uint64_t{ device() } << 32) | device();
}

} // namespace

LoadGenerator::LoadGenerator(const Options& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mStart(Now())
  , mEnd(mStart + aOptions.mDuration)
  , mStatistics(mStart)
  , mTickTimer(mContext)
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

LoadGenerator::~LoadGenerator() = default;

void
LoadGenerator::Execute()
{
  for (auto& caller : mCallers) {
    caller->Start();
  }
  for (RequestClass cls : kAllClasses) {
    if (mOptions.mRates[IndexOf(cls)] > 0) {
      mArrivalTimers[IndexOf(cls)] =
        std::make_unique<asio::steady_timer>(mContext);
      ScheduleArrival(cls, mStart);
    }
  }
  Tick();
  mContext.run();
}

std::string
LoadGenerator::UniqueKeySuffix()
{
  return std::to_string(mRunId) + "-" + std::to_string(++mLastKeyNumber);
}

bool
LoadGenerator::TryConsumeRetry()
{
  if (mRetryTokens < 1) {
    return false;
  }
  mRetryTokens -= 1;
  return true;
}

void
LoadGenerator::ScheduleArrival(RequestClass aClass, Instant aIntendedStart)
{
  // Gaps of a Poisson process are exponentially distributed.
  const double gap =
    -std::log(1 - mRandom.Fraction()) / mOptions.mRates[IndexOf(aClass)];
  const Instant next = aIntendedStart + std::chrono::duration_cast<Duration>(
                                          std::chrono::duration<double>(gap));
  if (next >= mEnd) {
    return;
  }
  asio::steady_timer& timer = *mArrivalTimers[IndexOf(aClass)];
  timer.expires_at(ToSteady(next));
  timer.async_wait([this, aClass, next](const asio::error_code& aError) {
    if (!aError) {
      StartRequest(aClass, next);
      ScheduleArrival(aClass, next);
    }
  });
}

RequestPtr
LoadGenerator::MakeRequest(RequestClass aClass, Instant aIntendedStart)
{
  auto request = std::make_shared<Request>();
  request->mId = ++mLastRequestId;
  request->mClass = aClass;
  request->mIntendedStart = aIntendedStart;
  request->mDeadline = aIntendedStart + mOptions.mDeadlines[IndexOf(aClass)];
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
LoadGenerator::StartRequest(RequestClass aClass, Instant aIntendedStart)
{
  RequestPtr request = MakeRequest(aClass, aIntendedStart);
  mStatistics.OnRequest(aClass, aIntendedStart);
  mRetryTokens = std::min(kRetryBurst, mRetryTokens + kRetryShare);
  mPending.insert(request);
  auto& callers = aClass == RequestClass::Bulk ? mBulkCallers : mOtherCallers;
  callers[mRandom.Below(callers.size())]->Enqueue(request);
}

void
LoadGenerator::Finish(const RequestPtr& aRequest, Result aResult)
{
  if (aRequest->mDone) {
    return;
  }
  aRequest->mDone = true;
  mPending.erase(aRequest);
  if (aResult == Result::Ok && aRequest->mClass == RequestClass::Submission) {
    mLedger.RecordOk(aRequest->mId);
  }
  mStatistics.OnResult(
    aRequest->mClass, aResult, aRequest->mIntendedStart, Now());
}

void
LoadGenerator::Tick()
{
  const Instant now = Now();
  while (!mPending.empty() &&
         (*mPending.begin())->mDeadline + kResponseGrace <= now) {
    // A rejected request whose retry was never sent did not run.
    const RequestPtr request = *mPending.begin();
    Finish(request,
           request->mLastRejected && !request->mMayHaveRun ? Result::NotRun
                                                           : Result::TimedOut);
  }
  for (auto& caller : mCallers) {
    caller->OnTick(now);
  }
  if (now >= mEnd && mPending.empty()) {
    for (auto& caller : mCallers) {
      caller->Stop();
    }
    return;
  }
  mTickTimer.expires_at(ToSteady(now + kTickInterval));
  mTickTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      Tick();
    }
  });
}

} // namespace snipepost::tools
