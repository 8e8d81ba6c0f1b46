#include "tools/callers/Report.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <ostream>

#include <boost/json.hpp>

namespace snipepost::tools {

namespace json = boost::json;

namespace {

constexpr std::array<const char*, kResultCount> kResultNames{
  "ok", "toldNotRun", "unknown", "wrong", "otherStatus", "timedOut"
};

void
WriteRow(std::ostream& aOut,
         std::string_view aName,
         const ClassStatistics& aClass)
{
  aOut << std::left << std::setw(11) << aName << std::right;
  for (uint64_t value : { aClass.mRequests,
                          aClass.Count(Result::Ok),
                          aClass.Count(Result::NotRun),
                          aClass.Count(Result::Unknown),
                          aClass.mBroken,
                          aClass.Count(Result::Wrong),
                          aClass.Count(Result::OtherStatus),
                          aClass.Count(Result::TimedOut),
                          aClass.mRetries }) {
    aOut << std::setw(9) << value;
  }
  aOut << std::fixed << std::setprecision(1);
  for (double share : { 0.5, 0.99, 0.999 }) {
    aOut << std::setw(10) << aClass.mLatency.Quantile(share);
  }
  aOut << "\n";
}

json::object
ToJson(const std::array<uint64_t, kResultCount>& aResults)
{
  json::object out;
  for (size_t i = 0; i < kResultCount; ++i) {
    out[kResultNames[i]] = aResults[i];
  }
  return out;
}

json::object
ToJson(const ClassStatistics& aClass)
{
  json::object out = ToJson(aClass.mResults);
  out["attempted"] = aClass.mRequests;
  out["retries"] = aClass.mRetries;
  out["brokenFlows"] = aClass.mBroken;
  out["p50Ms"] = aClass.mLatency.Quantile(0.5);
  out["p99Ms"] = aClass.mLatency.Quantile(0.99);
  out["p999Ms"] = aClass.mLatency.Quantile(0.999);
  json::array seconds;
  for (const SecondCounters& second : aClass.mSeconds) {
    json::object entry = ToJson(second.mResults);
    entry["attempted"] = second.mRequests;
    entry["brokenFlows"] = second.mBroken;
    entry["maxMs"] = second.mMaxLatencyMs;
    seconds.push_back(std::move(entry));
  }
  out["seconds"] = std::move(seconds);
  return out;
}

json::object
ToJson(const JournalFindings& aFindings)
{
  json::object out{ { "doubledKeys", aFindings.mDoubledKeys },
                    { "doubledRequests", aFindings.mDoubledRequests },
                    { "contradictions", aFindings.mContradictions },
                    { "okWithoutOneStart", aFindings.mOkWithoutOneStart },
                    { "starts", aFindings.mStarts } };
  json::object imbalance;
  for (const auto& [service, value] : aFindings.mImbalance) {
    imbalance[service] = value;
  }
  out["imbalance"] = std::move(imbalance);
  json::object servers;
  for (const auto& [server, count] : aFindings.mStartsByServer) {
    servers[server] = count;
  }
  out["startsByServer"] = std::move(servers);
  return out;
}

} // namespace

void
Report::WriteTable(std::ostream& aOut) const
{
  aOut << std::left << std::setw(11) << "class" << std::right;
  for (const char* name : { "attempts",
                            "ok",
                            "not-run",
                            "unknown",
                            "broken",
                            "wrong",
                            "other",
                            "timeout",
                            "retries" }) {
    aOut << std::setw(9) << name;
  }
  for (const char* name : { "p50 ms", "p99 ms", "p99.9 ms" }) {
    aOut << std::setw(10) << name;
  }
  aOut << "\n";
  for (RequestClass cls : kAllClasses) {
    WriteRow(aOut, kClassNames[IndexOf(cls)], mStatistics.ForClass(cls));
  }
  aOut << "flows: opened " << mStatistics.mFlowsOpened << ", refused "
       << mStatistics.mFlowsRefused << ", lost " << mStatistics.mFlowsLost
       << ", goaways " << mStatistics.mGoaways << "\n";
  if (!mJournals) {
    return;
  }
  aOut << "journals: doubled keys " << mJournals->mDoubledKeys
       << ", doubled requests " << mJournals->mDoubledRequests
       << ", reported as not run but started " << mJournals->mContradictions
       << ", ok without exactly one start " << mJournals->mOkWithoutOneStart
       << ", starts " << mJournals->mStarts << "\n";
  for (const auto& [service, value] : mJournals->mImbalance) {
    aOut << "imbalance of " << service << ": " << std::setprecision(3) << value
         << "\n";
  }
}

bool
Report::WriteJson(const std::string& aFile) const
{
  json::object classes;
  for (RequestClass cls : kAllClasses) {
    classes[kClassNames[IndexOf(cls)]] = ToJson(mStatistics.ForClass(cls));
  }
  json::object out{ { "classes", std::move(classes) },
                    { "flows",
                      { { "opened", mStatistics.mFlowsOpened },
                        { "refused", mStatistics.mFlowsRefused },
                        { "lost", mStatistics.mFlowsLost },
                        { "goaways", mStatistics.mGoaways } } },
                    { "clean", IsClean() } };
  if (mJournals) {
    out["journals"] = ToJson(*mJournals);
  }
  std::ofstream file(aFile);
  file << json::serialize(out) << "\n";
  return file.good();
}

bool
Report::IsClean() const
{
  const bool classes = std::all_of(
    kAllClasses.begin(), kAllClasses.end(), [&](RequestClass aClass) {
      const ClassStatistics& counters = mStatistics.ForClass(aClass);
      return counters.mBroken == 0 && counters.Count(Result::Wrong) == 0;
    });
  return classes && mStatistics.mFlowsLost == 0 &&
         (!mJournals ||
          (mJournals->mDoubledKeys == 0 && mJournals->mDoubledRequests == 0 &&
           mJournals->mContradictions == 0 &&
           mJournals->mOkWithoutOneStart == 0 && HasEvidence()));
}

} // namespace snipepost::tools
