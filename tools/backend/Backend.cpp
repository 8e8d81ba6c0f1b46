#include "Backend.h"

#include <unistd.h>

#include <utility>

#include "tools/common/Program.h"

namespace snipepost::tools {

namespace json = boost::json;

namespace {

// Interval at which reports are sampled for --report-lag-ms.
constexpr auto kSampleInterval = std::chrono::milliseconds(10);

// Value of retry-after in the response to a shed request, in seconds.
constexpr const char* kRetryAfter = "1";

} // namespace

Backend::Backend(asio::io_context& aContext, const BackendOptions& aOptions)
  : mContext(aContext)
  , mOptions(aOptions)
  , mListen(aOptions.mListen)
  , mJournal(aOptions.mJournal)
  , mRandom(aOptions.mSeed)
  , mCapacity(aOptions.mSlots, aOptions.mColdTime)
  , mSampleTimer(aContext)
  , mRestartTimer(aContext)
{
  if (!aOptions.mControl.IsNull()) {
    mControl = std::make_unique<http2::Server>(
      mContext,
      aOptions.mControl,
      [this](const http2::ServerRequest& aRequest,
             const ResponderPointer& aResponder) {
        OnFault(aRequest, aResponder);
      });
  }
  Start();
  Sample();
}

void
Backend::Start()
{
  http2::ServerOptions options;
  options.mMaxConnections = mOptions.mConnections;
  mServer = std::make_unique<http2::Server>(
    mContext,
    mListen,
    [this](http2::ServerRequest aRequest, const ResponderPointer& aResponder) {
      OnRequest(std::move(aRequest), aResponder);
    },
    options);
  // A restart reuses the port.
  mListen = mServer->LocalAddress();
  // Time and process ID make the boot ID unique among processes, too.
  mBootId = std::to_string(NowMs()) + '-' + std::to_string(getpid()) + '-' +
            std::to_string(++mBootCount);
  mBootTime = Now();
  mCapacity.ResetToCold(mBootTime, Duration::zero());
  // A restarted process has no reports of the previous one.
  mReports.assign(1, CurrentReport());
  WriteJournal("booted", nullptr);
}

void
Backend::Crash()
{
  WriteJournal("fell-over", nullptr);
  mServer.reset();
  mStalledActions.clear();
  for (const auto& [id, job] : std::map(mJobs)) {
    EndJob(id, "aborted");
  }
  mRestartTimer.expires_after(mOptions.mDownTime);
  mRestartTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      Start();
    }
  });
}

void
Backend::OnRequest(http2::ServerRequest aRequest,
                   const ResponderPointer& aResponder)
{
  if (aRequest.mPath == "/fault") {
    OnFault(aRequest, aResponder);
    return;
  }
  RunWhenNotStalled([this, request = std::move(aRequest), aResponder] {
    if (!mServer || !aResponder->Open()) {
      return;
    }
    if (request.mPath == "/health" || request.mPath == "/load") {
      RespondWithReport(request.mPath, aResponder);
      return;
    }
    const JobPointer job = Parse(request, aResponder);
    if (!job) {
      aResponder->Respond(404, {}, "");
      return;
    }
    Admit(job);
  });
}

void
Backend::Admit(const JobPointer& aJob)
{
  const bool isSession = aJob->mKind == Kind::Session;
  const Instant now = Now();
  aJob->mConcurrency = InFlight() + (isSession ? 0 : 1);
  aJob->mOverload = mCapacity.IsOverloaded(aJob->mConcurrency, now);
  if (mFaults.mDraining) {
    Shed(aJob, "refused-draining");
    return;
  }
  if (aJob->mOverload && !isSession && !mCapacity.IsInGrace(now)) {
    WriteJournal("overloaded", aJob.get());
    Crash();
    return;
  }
  if (!isSession && mOptions.mShedFrom > 0 &&
      InFlight() >= mOptions.mShedFrom) {
    Shed(aJob, "shed");
    return;
  }
  mJobs[aJob->mId] = aJob;
  aJob->mResponder->OnCancel(
    [this, id = aJob->mId] { EndJob(id, "cancelled"); });
  StartDeadline(aJob);
  if (isSession) {
    Run(aJob);
    return;
  }
  mQueue.push_back(aJob);
  StartQueuedJobs();
}

void
Backend::Shed(const JobPointer& aJob, std::string_view aEvent)
{
  WriteJournal(aEvent, aJob.get());
  if (mOptions.mShedWith == ShedWith::RefusedStream) {
    aJob->mResponder->Reset(http2::ResetCode::RefusedStream);
    return;
  }
  aJob->mResponder->Respond(503, { { "retry-after", kRetryAfter } }, "");
}

void
Backend::RespondWithReport(std::string_view aPath,
                           const ResponderPointer& aResponder)
{
  const ReportedState report = LaggedReport();
  json::object body{ { "boot", report.mBootId } };
  if (aPath == "/health") {
    body["status"] = mFaults.mStatus.value_or(report.mStatus);
  } else {
    body["inFlight"] = mFaults.mInFlight.value_or(report.mInFlight);
    body["slots"] = mCapacity.Slots();
    body["warm"] = mFaults.mWarmth.value_or(report.mWarmth);
  }
  aResponder->Respond(
    200, { { "content-type", "application/json" } }, json::serialize(body));
}

ReportedState
Backend::CurrentReport() const
{
  const Instant now = Now();
  const char* status = "ok";
  if (mFaults.mDraining) {
    status = "draining";
  } else if (now < mBootTime + mOptions.mColdTime) {
    status = "starting";
  }
  return { now, mBootId, status, InFlight(), mCapacity.Warmth(now) };
}

ReportedState
Backend::LaggedReport() const
{
  return mOptions.mReportLag == Duration::zero() ? CurrentReport()
                                                 : mReports.front();
}

void
Backend::Sample()
{
  mReports.push_back(CurrentReport());
  const Instant cutoff = mReports.back().mTime - mOptions.mReportLag;
  while (mReports.size() > 1 && mReports[1].mTime <= cutoff) {
    mReports.pop_front();
  }
  mSampleTimer.expires_after(kSampleInterval);
  mSampleTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      Sample();
    }
  });
}

void
Backend::WriteJournal(std::string_view aEvent, const Job* aJob)
{
  const Instant now = Now();
  json::object line{ { "event", aEvent },
                     { "ms", NowMs() },
                     { "server", ToString(mListen) },
                     { "boot", mBootId },
                     { "inFlight", InFlight() },
                     { "warmth", mCapacity.Warmth(now) },
                     { "bearable", mCapacity.SustainableInFlight(now) } };
  if (aJob != nullptr) {
    const http2::Headers& headers = aJob->mRequest.mHeaders;
    line["job"] = aJob->mId;
    line["method"] = aJob->mRequest.mMethod;
    line["path"] = aJob->mRequest.mPath;
    line["idempotency-key"] = http2::FindHeader(headers, "idempotency-key");
    line["request-id"] = http2::FindHeader(headers, "request-id");
    line["concurrency"] = aJob->mConcurrency;
    line["overload"] = aJob->mOverload;
    line["ran"] = aJob->mStarted;
  }
  mJournal.Write(json::serialize(line));
}

} // namespace snipepost::tools
