#include "Backend.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <utility>

#include <xxhash.h>

#include "tools/common/Program.h"
#include "tools/common/Query.h"

namespace snipepost::tools {

namespace json = boost::json;

namespace {

constexpr size_t kBulkChunk = 16UL * 1024;
constexpr auto kLineInterval = std::chrono::milliseconds(100);
constexpr uint64_t kLinesPerSecond = 10;

/// The parts of a path between slashes.
std::vector<std::string_view>
Split(std::string_view aPath)
{
  std::vector<std::string_view> parts;
  while (!aPath.empty()) {
    aPath.remove_prefix(1);
    parts.push_back(aPath.substr(0, aPath.find('/')));
    aPath.remove_prefix(parts.back().size());
  }
  return parts;
}

std::string
Digest(std::string_view aBody)
{
  std::array<char, 17> text{};
  std::snprintf(
    text.data(),
    text.size(),
    "%016llx",
    static_cast<unsigned long long>(XXH3_64bits(aBody.data(), aBody.size())));
  return text.data();
}

} // namespace

Backend::JobPointer
Backend::Parse(http2::ServerRequest aRequest,
               const ResponderPointer& aResponder)
{
  auto job = std::make_shared<Job>(mContext);
  job->mId = ++mLastJob;
  job->mResponder = aResponder;
  job->mRequest = std::move(aRequest);
  const auto parts = Split(job->mRequest.mPath);
  const auto number = [&parts](size_t aIndex) {
    return aIndex < parts.size() ? ParseNumber(parts[aIndex]) : std::nullopt;
  };
  const bool isGet = job->mRequest.mMethod == "GET";
  if (job->mRequest.mMethod == "POST" && job->mRequest.mPath == "/submit") {
    job->mKind = Kind::Submission;
    return job;
  }
  if (!isGet || parts.size() < 2 || !number(1)) {
    return nullptr;
  }
  job->mNumber = *number(1);
  if (parts[0] == "query" && parts.size() == 2) {
    job->mKind = Kind::Query;
    return job;
  }
  if (parts[0] == "session" && parts.size() == 2) {
    job->mKind = Kind::Session;
    return job;
  }
  if (parts[0] == "bulk" && parts.size() == 3 && number(2)) {
    job->mKind = Kind::Bulk;
    job->mSeed = *number(2);
    return job;
  }
  return nullptr;
}

void
Backend::StartDeadline(const JobPointer& aJob)
{
  const auto deadline =
    ParseNumber(http2::FindHeader(aJob->mRequest.mHeaders, "deadline-ms"));
  if (!deadline) {
    return;
  }
  constexpr uint64_t kMaxDeadlineMs = 24UL * 3600 * 1000;
  aJob->mDeadlineTimer.expires_after(
    std::chrono::milliseconds(std::min(*deadline, kMaxDeadlineMs)));
  aJob->mDeadlineTimer.async_wait([this, aJob](const asio::error_code& aError) {
    if (!aError && EndJob(aJob->mId, "expired")) {
      aJob->mResponder->Respond(504, {}, "");
      // A response that has already started can only be reset.
      aJob->mResponder->Reset(http2::ResetCode::Cancel);
    }
  });
}

void
Backend::StartQueuedJobs()
{
  while (mRunning < mCapacity.Slots() && !mQueue.empty()) {
    const JobPointer job = mQueue.front();
    mQueue.pop_front();
    ++mRunning;
    Run(job);
  }
}

void
Backend::Run(const JobPointer& aJob)
{
  aJob->mStarted = true;
  WriteJournal("started", aJob.get());
  if (aJob->mKind == Kind::Session) {
    aJob->mResponder->Start(200, { { "content-type", "text/plain" } });
    SendLine(aJob);
    return;
  }
  aJob->mTimer.expires_after(ServiceTime(aJob->mKind));
  aJob->mTimer.async_wait([this, aJob](const asio::error_code& aError) {
    if (!aError) {
      RunWhenNotStalled([this, aJob] { Complete(aJob); });
    }
  });
}

Duration
Backend::ServiceTime(Kind aKind)
{
  Duration mean = mOptions.mQueryTime;
  if (aKind == Kind::Submission) {
    mean = mOptions.mSubmissionTime;
  } else if (aKind == Kind::Bulk) {
    mean = mOptions.mBulkTime;
  }
  double factor = 1.0 / mCapacity.Speed(Now());
  if (mOptions.mServiceTimeDistribution ==
      ServiceTimeDistribution::Exponential) {
    factor *= -std::log(1.0 - mRandom.Fraction());
  }
  return std::chrono::duration_cast<Duration>(mean * factor);
}

void
Backend::Complete(const JobPointer& aJob)
{
  if (!mJobs.contains(aJob->mId)) {
    return;
  }
  if (aJob->mKind == Kind::Bulk) {
    aJob->mBytes.emplace(aJob->mSeed);
    aJob->mResponder->OnWritable([this, id = aJob->mId] {
      if (const auto found = mJobs.find(id); found != mJobs.end()) {
        RunWhenNotStalled([this, job = found->second] { SendBulk(job); });
      }
    });
    aJob->mResponder->Start(
      200, { { "content-length", std::to_string(aJob->mNumber) } });
    SendBulk(aJob);
    return;
  }
  json::object body{ { "run", mBootId + '-' + std::to_string(++mRunCount) } };
  if (aJob->mKind == Kind::Submission) {
    body["digest"] = Digest(aJob->mRequest.mBody);
    body["bytes"] = aJob->mRequest.mBody.size();
  } else {
    body["query"] = aJob->mNumber;
  }
  EndJob(aJob->mId, "finished");
  aJob->mResponder->Respond(
    200, { { "content-type", "application/json" } }, json::serialize(body));
}

void
Backend::SendBulk(const JobPointer& aJob)
{
  if (!mJobs.contains(aJob->mId)) {
    return;
  }
  while (aJob->mProgress < aJob->mNumber) {
    const size_t count =
      std::min<uint64_t>(kBulkChunk, aJob->mNumber - aJob->mProgress);
    aJob->mProgress += count;
    if (!aJob->mResponder->Write(aJob->mBytes->Next(count))) {
      return;
    }
  }
  EndJob(aJob->mId, "finished");
  aJob->mResponder->End();
}

void
Backend::SendLine(const JobPointer& aJob)
{
  if (!mJobs.contains(aJob->mId)) {
    return;
  }
  if (aJob->mProgress >= aJob->mNumber * kLinesPerSecond) {
    EndJob(aJob->mId, "finished");
    aJob->mResponder->End();
    return;
  }
  aJob->mResponder->Write("line " + std::to_string(aJob->mProgress++) + '\n');
  aJob->mTimer.expires_after(kLineInterval);
  aJob->mTimer.async_wait([this, aJob](const asio::error_code& aError) {
    if (!aError) {
      RunWhenNotStalled([this, aJob] { SendLine(aJob); });
    }
  });
}

bool
Backend::EndJob(uint64_t aJobId, std::string_view aEvent)
{
  const auto found = mJobs.find(aJobId);
  if (found == mJobs.end()) {
    return false;
  }
  const JobPointer job = found->second;
  mJobs.erase(found);
  job->mTimer.cancel();
  job->mDeadlineTimer.cancel();
  WriteJournal(aEvent, job.get());
  if (job->mKind != Kind::Session) {
    if (job->mStarted) {
      --mRunning;
    }
    std::erase(mQueue, job);
    asio::post(mContext, [this] { StartQueuedJobs(); });
  }
  return true;
}

void
Backend::RunWhenNotStalled(std::function<void()> aAction)
{
  if (mFaults.mStalled) {
    mStalledActions.push_back(std::move(aAction));
    return;
  }
  aAction();
}

} // namespace snipepost::tools
