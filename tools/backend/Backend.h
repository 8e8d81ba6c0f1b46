#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <asio.hpp>
#include <boost/json.hpp>

#include <snipepost/Base/Random.h>
#include <snipepost/Http2/Server.h>

#include "Capacity.h"
#include "tools/common/BulkBytes.h"
#include "tools/common/Journal.h"

namespace snipepost::tools {

/// Distribution of service times around their mean.
enum class ServiceTimeDistribution
{
  Exponential,
  Fixed
};

/// Response to a request that is not accepted.
enum class ShedWith
{
  Unavailable,  ///< 503 with retry-after.
  RefusedStream ///< RST_STREAM REFUSED_STREAM.
};

struct BackendOptions
{
  Address mListen;
  /// Address that serves only /fault, even while the server is down; null for
  /// none.
  Address mControl;
  std::string mJournal;
  uint64_t mSeed = 1;
  size_t mSlots = 4;
  size_t mConnections = 2000;
  Duration mColdTime{ 0 };
  /// Downtime after a crash.
  Duration mDownTime = std::chrono::seconds(3);
  /// Time during which overload is tolerated after a running server has become
  /// cold without a restart.
  Duration mColdGrace = std::chrono::seconds(1);
  /// Mean service times of a warm server.
  Duration mSubmissionTime = std::chrono::milliseconds(20);
  Duration mQueryTime = std::chrono::milliseconds(5);
  Duration mBulkTime = std::chrono::milliseconds(10);
  ServiceTimeDistribution mServiceTimeDistribution =
    ServiceTimeDistribution::Exponential;
  /// New requests are shed while this many are in flight; 0 for never.
  size_t mShedFrom = 12;
  ShedWith mShedWith = ShedWith::Unavailable;
  /// Age of the state that /health and /load report.
  Duration mReportLag{ 0 };
};

/// State reported by /health and /load at one time.
struct ReportedState
{
  Instant mTime;
  std::string mBootId;
  std::string mStatus;
  size_t mInFlight = 0;
  double mWarmth = 1.0;
};

/// The faults that `POST /fault` sets and clears.
struct BackendFaults
{
  bool mDraining = false;
  bool mStalled = false;
  /// Overrides of reported values; an empty one reports the actual value.
  std::optional<std::string> mStatus;
  std::optional<size_t> mInFlight;
  std::optional<double> mWarmth;
};

/// Emulates a backend server towards callers and agents.
class Backend
{
public:
  /// Starts listening; throws when that or the journal fails.
  Backend(asio::io_context& aContext, const BackendOptions& aOptions);

  Address LocalAddress() const { return mListen; }

private:
  using ResponderPointer = std::shared_ptr<http2::Responder>;

  enum class Kind
  {
    Submission,
    Query,
    Bulk,
    Session
  };

  /// A request that waits for a slot, runs, or is a session.
  struct Job
  {
    explicit Job(asio::io_context& aContext)
      : mTimer(aContext)
      , mDeadlineTimer(aContext)
    {
    }

    uint64_t mId = 0;
    Kind mKind = Kind::Query;
    http2::ServerRequest mRequest;
    ResponderPointer mResponder;
    /// Number in the path: the query's ID, the bytes of the bulk transfer or
    /// the seconds of the session. mSeed is the seed of a bulk transfer.
    uint64_t mNumber = 0;
    uint64_t mSeed = 0;
    /// Bytes or lines sent so far.
    uint64_t mProgress = 0;
    bool mStarted = false;
    size_t mConcurrency = 0;
    bool mOverload = false;
    std::optional<BulkBytes> mBytes;
    asio::steady_timer mTimer;
    asio::steady_timer mDeadlineTimer;
  };
  using JobPointer = std::shared_ptr<Job>;

  // Backend.cpp: start and crash of the server, admission, reports, journal.
  void Start();
  void Crash();
  void OnRequest(http2::ServerRequest aRequest,
                 const ResponderPointer& aResponder);
  void Admit(const JobPointer& aJob);
  void Shed(const JobPointer& aJob, std::string_view aEvent);
  void RespondWithReport(std::string_view aPath,
                         const ResponderPointer& aResponder);
  void Sample();
  ReportedState CurrentReport() const;
  ReportedState LaggedReport() const;
  size_t InFlight() const { return mRunning + mQueue.size(); }
  void WriteJournal(std::string_view aEvent, const Job* aJob);

  // Work.cpp: processing of accepted requests.
  JobPointer Parse(http2::ServerRequest aRequest,
                   const ResponderPointer& aResponder);
  void StartDeadline(const JobPointer& aJob);
  void StartQueuedJobs();
  void Run(const JobPointer& aJob);
  void Complete(const JobPointer& aJob);
  void SendBulk(const JobPointer& aJob);
  void SendLine(const JobPointer& aJob);
  /// Removes a job and writes aEvent to the journal; false when the job has
  /// already ended.
  bool EndJob(uint64_t aJobId, std::string_view aEvent);
  Duration ServiceTime(Kind aKind);
  /// Runs aAction now, or after the stall while the server is stalled.
  void RunWhenNotStalled(std::function<void()> aAction);

  // Faults.cpp: the control interface.
  void OnFault(const http2::ServerRequest& aRequest,
               const ResponderPointer& aResponder);
  void SetFault(std::string_view aName, const boost::json::value& aValue);
  boost::json::object DescribeFaults() const;

  asio::io_context& mContext;
  BackendOptions mOptions;
  Address mListen;
  Journal mJournal;
  Random mRandom;
  Capacity mCapacity;
  BackendFaults mFaults;
  std::string mBootId;
  Instant mBootTime;
  uint64_t mBootCount = 0;
  uint64_t mLastJob = 0;
  uint64_t mRunCount = 0;
  size_t mRunning = 0;
  std::deque<JobPointer> mQueue;
  /// All jobs that have not ended, including sessions.
  std::map<uint64_t, JobPointer> mJobs;
  std::vector<std::function<void()>> mStalledActions;
  std::deque<ReportedState> mReports;
  asio::steady_timer mSampleTimer;
  asio::steady_timer mRestartTimer;
  std::unique_ptr<http2::Server> mControl;
  /// Null while the server is down.
  std::unique_ptr<http2::Server> mServer;
};

} // namespace snipepost::tools
