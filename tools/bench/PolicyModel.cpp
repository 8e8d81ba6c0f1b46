#include "tools/bench/PolicyModelState.h"

#include <array>

using namespace std::chrono_literals;

namespace snipepost::bench {

namespace {

/// Requests may finish after the last arrival.
constexpr Duration kSettle = 6s;
constexpr Duration kReports = 1s;
constexpr Duration kSample = 10ms;
/// When the entry instances and the agents learn of a change.
constexpr std::array<Duration, kEntries> kEntryLag{ 50ms, 400ms, 1500ms };
constexpr Duration kAgentLag = 200ms;
constexpr Duration kRestartTime = 500ms;
constexpr size_t kLeavingDomain = 1;
const KeyRing kKeys(SecretKey{ 7 });

} // namespace

PolicyModel::PolicyModel(const ModelOptions& aOptions)
  : mOptions(aOptions)
  , mWorkload(MakeWorkload(aOptions.mLoad,
                           kStart - kWarmUp,
                           kWarmUp + aOptions.mLength,
                           aOptions.mSeed))
  , mSpray(aOptions.mSeed + 1000)
{
  StartCounting();
  for (size_t i = 0; i < kEntries; ++i) {
    mEntries.emplace_back(aOptions.mPolicy, aOptions.mSeed * 10 + i);
    mEntries.back().Update(mEligible, mOut);
  }
  for (size_t i = 0; i < kServers; ++i) {
    AgentOptions options = aOptions.mAgent;
    options.mAddress = AgentAddress(i);
    mAgents.push_back({ AgentCore(options, ConfigOf(i), kKeys, Instant()) });
    AgentCore& core = mAgents.back().mCore;
    core.OnLease({ kStart + 24h }, Instant());
    core.OnBackendState(
      { .mReachable = true, .mBoot = mAgents.back().mServer.Boot() },
      Instant());
  }
}

AgentConfig
PolicyModel::ConfigOf(size_t aServer) const
{
  AgentConfig config = mOptions.mConfig;
  config.mBulkService = aServer >= kDeskServers;
  return config;
}

void
PolicyModel::StartCounting()
{
  mResult = {};
  mResult.mPerServer.resize(kDeskServers);
  mResult.mBuckets.resize((mOptions.mLength + kSettle) / kBucket);
}

void
PolicyModel::At(Instant aTime, Action aAction)
{
  mQueue.push({ aTime, mOrder++, std::move(aAction) });
}

void
PolicyModel::Plan()
{
  for (size_t i = 0; i < mWorkload.size(); ++i) {
    mFlows.push_back({ .mPlan = &mWorkload[i] });
    At(mWorkload[i].mOpen, [this, i] { Open(i); });
    Duration last{};
    for (const PlannedRequest& request : mWorkload[i].mRequests) {
      last = std::max(last, request.mOffset + DeadlineOf(request.mClass));
    }
    At(mWorkload[i].mOpen + last, [this, i] {
      mFlows[i].mFailed = true;
      mResult.mNotRun += std::exchange(mFlows[i].mWaiting, {}).size();
      Close(i);
    });
    for (size_t r = 0; r < mWorkload[i].mRequests.size(); ++r) {
      const Instant due =
        mWorkload[i].mOpen + mWorkload[i].mRequests[r].mOffset;
      if (due < kStart + mOptions.mLength) {
        At(due, [this, i, r] { Submit(i, r); });
      }
    }
  }
  At(mNow, [this] { Sample(); });
  At(mNow, [this] { ReportLoads(); });
  At(kStart, [this] { StartCounting(); });
  PlanSituation();
}

void
PolicyModel::PlanSituation()
{
  if (mOptions.mSituation == Situation::DomainLeaves) {
    At(kStart + 5s, [this] { ChangeDomain(true); });
    At(kStart + 10s, [this] { ChangeDomain(false); });
  }
  if (mOptions.mSituation == Situation::RollingCold) {
    At(kStart + 4s, [this] {
      mEligible[0] = false;
      UpdateEntries();
      AgentConfig config = ConfigOf(0);
      config.mDraining = true;
      Configure(0, config);
    });
    for (const size_t server : { 1, 2, 3 }) {
      PlanRestart(server, kStart + 1s + 3s * static_cast<int>(server));
    }
  }
}

void
PolicyModel::PlanRestart(size_t aServer, Instant aTime)
{
  At(aTime, [this, aServer] {
    ServerModel& server = mAgents[aServer].mServer;
    server.mUp = false;
    for (const auto& [id, run] : std::exchange(server.mRunning, {})) {
      Deliver(
        aServer,
        BackendResult{ .mRequest = id, .mOutcome = BackendOutcome::Broken });
    }
    Deliver(aServer, BackendState{ .mReachable = false });
  });
  At(aTime + kRestartTime, [this, aServer] {
    ServerModel& server = mAgents[aServer].mServer;
    server.mUp = true;
    ++server.mLife;
    server.mColdSince = mNow;
    Deliver(aServer,
            BackendState{ .mReachable = true, .mBoot = server.Boot() });
  });
}

void
PolicyModel::ChangeDomain(bool aOut)
{
  mOut[kLeavingDomain] = aOut;
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
    After(kEntryLag[i], [this, i, eligible = mEligible, out = mOut] {
      mEntries[i].Update(eligible, out);
    });
  }
}

void
PolicyModel::Configure(size_t aServer, const AgentConfig& aConfig)
{
  const bool returns =
    mOptions.mSituation == Situation::DomainLeaves && !aConfig.mDomainOut;
  After(kAgentLag, [this, aServer, aConfig, returns] {
    if (returns) {
      mAgents[aServer].mServer.mColdSince = mNow;
    }
    Deliver(aServer, ConfigChanged{ aConfig });
  });
}

void
PolicyModel::Sample()
{
  for (size_t i = 0; i < kServers; ++i) {
    Deliver(i, Tick{});
    const AgentLoad load = mAgents[i].mCore.Load(mNow);
    if (i < kDeskServers) {
      mResult.mOccupancy.push_back(
        static_cast<double>(load.mInFlight + load.mQueued) / kSlots);
    }
  }
  After(kSample, [this] { Sample(); });
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
    // Reports lag by one period.
    Deliver(i,
            BackendState{ .mReachable = true,
                          .mBoot = server.Boot(),
                          .mWarmth = server.Warmth(mNow - kReports) });
  }
  for (size_t i = 0; i < kEntries; ++i) {
    const Duration stagger = kReports * static_cast<int>(i) / kEntries;
    After(stagger,
          [this, i, loads, at = mNow] { mEntries[i].Report(loads, at); });
  }
  After(kReports, [this] { ReportLoads(); });
}

ModelResult
PolicyModel::Run()
{
  Plan();
  const Instant end = kStart + mOptions.mLength + kSettle;
  while (!mQueue.empty() && mQueue.top().mAt < end) {
    const Scheduled next = mQueue.top();
    mQueue.pop();
    mNow = next.mAt;
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
