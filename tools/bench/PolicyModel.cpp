#include "tools/bench/PolicyModelState.h"

#include <array>

using namespace std::chrono_literals;

namespace snipepost::bench {

namespace {

/// Time for requests to finish after the last arrival.
constexpr Duration kCompletionTime = 6s;
constexpr Duration kReportInterval = 1s;
constexpr Duration kSampleInterval = 10ms;
/// Delays until the entry instances and the agents apply a change.
constexpr std::array<Duration, kEntries> kEntryUpdateDelay{ 50ms,
                                                            400ms,
                                                            1500ms };
constexpr Duration kAgentUpdateDelay = 200ms;
constexpr Duration kRestartTime = 500ms;
constexpr size_t kLeavingDomain = 1;
const KeyRing kKeys(SecretKey{ 7 });

} // namespace

PolicyModel::PolicyModel(const ModelOptions& aOptions)
  : mOptions(aOptions)
  , mWorkload(MakeWorkload(aOptions.mLoad,
                           kMeasureStart - kWarmUp,
                           kWarmUp + aOptions.mLength,
                           aOptions.mSeed))
  , mFabricRandom(aOptions.mSeed + 1000)
{
  ResetResult();
  for (size_t i = 0; i < kEntries; ++i) {
    mEntries.emplace_back(aOptions.mPolicy, aOptions.mSeed * 10 + i);
    mEntries.back().Update(mEligible, mDomainsOut);
  }
  for (size_t i = 0; i < kServers; ++i) {
    AgentOptions options = aOptions.mAgent;
    options.mAddress = AgentAddress(i);
    mAgents.push_back({ AgentCore(options, ConfigOf(i), kKeys, Instant()) });
    AgentCore& core = mAgents.back().mCore;
    core.OnLease({ kMeasureStart + 24h }, Instant());
    core.OnBackendState(
      { .mReachable = true, .mBoot = mAgents.back().mServer.BootId() },
      Instant());
  }
}

AgentConfig
PolicyModel::ConfigOf(size_t aServer) const
{
  AgentConfig config = mOptions.mConfig;
  config.mBulkService = aServer >= kInteractiveServers;
  return config;
}

void
PolicyModel::ResetResult()
{
  mResult = {};
  mResult.mRequestsPerServer.resize(kInteractiveServers);
  mResult.mBuckets.resize((mOptions.mLength + kCompletionTime) / kBucketTime);
}

void
PolicyModel::ScheduleAt(Instant aTime, Action aAction)
{
  mQueue.push({ aTime, mOrder++, std::move(aAction) });
}

void
PolicyModel::ScheduleWorkload()
{
  for (size_t i = 0; i < mWorkload.size(); ++i) {
    mFlows.push_back({ .mPlan = &mWorkload[i] });
    ScheduleAt(mWorkload[i].mStartTime, [this, i] { Open(i); });
    Duration last{};
    for (const PlannedRequest& request : mWorkload[i].mRequests) {
      last = std::max(last, request.mOffset + DeadlineOf(request.mClass));
    }
    ScheduleAt(mWorkload[i].mStartTime + last, [this, i] {
      mFlows[i].mEnded = true;
      mResult.mNotRun += std::exchange(mFlows[i].mWaiting, {}).size();
      Close(i);
    });
    for (size_t r = 0; r < mWorkload[i].mRequests.size(); ++r) {
      const Instant plannedTime =
        mWorkload[i].mStartTime + mWorkload[i].mRequests[r].mOffset;
      if (plannedTime < kMeasureStart + mOptions.mLength) {
        ScheduleAt(plannedTime, [this, i, r] { IssueRequest(i, r); });
      }
    }
  }
  ScheduleAt(mNow, [this] { TickAndSample(); });
  ScheduleAt(mNow, [this] { ReportLoads(); });
  ScheduleAt(kMeasureStart, [this] { ResetResult(); });
  ScheduleScenario();
}

void
PolicyModel::ScheduleScenario()
{
  if (mOptions.mScenario == ModelScenario::DomainLeaves) {
    ScheduleAt(kMeasureStart + 5s, [this] { ChangeDomain(true); });
    ScheduleAt(kMeasureStart + 10s, [this] { ChangeDomain(false); });
  }
  if (mOptions.mScenario == ModelScenario::RollingRestart) {
    ScheduleAt(kMeasureStart + 4s, [this] {
      mEligible[0] = false;
      UpdateEntries();
      AgentConfig config = ConfigOf(0);
      config.mDraining = true;
      Configure(0, config);
    });
    for (const size_t server : { 1, 2, 3 }) {
      ScheduleRestart(server,
                      kMeasureStart + 1s + 3s * static_cast<int>(server));
    }
  }
}

void
PolicyModel::ScheduleRestart(size_t aServer, Instant aTime)
{
  ScheduleAt(aTime, [this, aServer] {
    ServerModel& server = mAgents[aServer].mServer;
    server.mUp = false;
    for (const auto& [id, run] : std::exchange(server.mRunning, {})) {
      Deliver(
        aServer,
        BackendResult{ .mRequest = id, .mOutcome = BackendOutcome::Broken });
    }
    Deliver(aServer, BackendState{ .mReachable = false });
  });
  ScheduleAt(aTime + kRestartTime, [this, aServer] {
    ServerModel& server = mAgents[aServer].mServer;
    server.mUp = true;
    ++server.mIncarnation;
    server.mColdSince = mNow;
    Deliver(aServer,
            BackendState{ .mReachable = true, .mBoot = server.BootId() });
  });
}

void
PolicyModel::ChangeDomain(bool aOut)
{
  mDomainsOut[kLeavingDomain] = aOut;
  UpdateEntries();
  for (size_t i = 0; i < kServers; ++i) {
    if (DomainOf(i) == kLeavingDomain) {
      AgentConfig config = ConfigOf(i);
      config.mDomainOut = aOut;
      Configure(i, config);
    }
  }
}

void
PolicyModel::UpdateEntries()
{
  for (size_t i = 0; i < kEntries; ++i) {
    ScheduleAfter(kEntryUpdateDelay[i],
                  [this, i, eligible = mEligible, out = mDomainsOut] {
                    mEntries[i].Update(eligible, out);
                  });
  }
}

void
PolicyModel::Configure(size_t aServer, const AgentConfig& aConfig)
{
  const bool returns =
    mOptions.mScenario == ModelScenario::DomainLeaves && !aConfig.mDomainOut;
  ScheduleAfter(kAgentUpdateDelay, [this, aServer, aConfig, returns] {
    if (returns) {
      mAgents[aServer].mServer.mColdSince = mNow;
    }
    Deliver(aServer, ConfigChanged{ aConfig });
  });
}

void
PolicyModel::TickAndSample()
{
  for (size_t i = 0; i < kServers; ++i) {
    Deliver(i, Tick{});
    const AgentLoad load = mAgents[i].mCore.Load(mNow);
    if (i < kInteractiveServers) {
      mResult.mOccupancy.push_back(
        static_cast<double>(load.mInFlight + load.mQueued) / kSlots);
    }
  }
  ScheduleAfter(kSampleInterval, [this] { TickAndSample(); });
}

void
PolicyModel::ReportLoads()
{
  std::vector<double> loads;
  for (size_t i = 0; i < kServers; ++i) {
    const AgentLoad load = mAgents[i].mCore.Load(mNow);
    loads.push_back(static_cast<double>(load.mInFlight + load.mQueued) /
                    load.mLimit);
    const ServerModel& server = mAgents[i].mServer;
    if (!server.mUp) {
      continue;
    }
    // A report contains the warmth of one report interval ago.
    Deliver(i,
            BackendState{ .mReachable = true,
                          .mBoot = server.BootId(),
                          .mWarmth = server.Warmth(mNow - kReportInterval) });
  }
  for (size_t i = 0; i < kEntries; ++i) {
    const Duration stagger = kReportInterval * static_cast<int>(i) / kEntries;
    ScheduleAfter(stagger, [this, i, loads, at = mNow] {
      mEntries[i].UpdateLoads(loads, at);
    });
  }
  ScheduleAfter(kReportInterval, [this] { ReportLoads(); });
}

ModelResult
PolicyModel::Run()
{
  ScheduleWorkload();
  const Instant end = kMeasureStart + mOptions.mLength + kCompletionTime;
  while (!mQueue.empty() && mQueue.top().mTime < end) {
    const Scheduled next = mQueue.top();
    mQueue.pop();
    mNow = next.mTime;
    next.mAction();
  }
  return std::move(mResult);
}

ModelResult
RunPolicyModel(const ModelOptions& aOptions)
{
  return PolicyModel(aOptions).Run();
}

} // namespace snipepost::bench
