#include "src/FlowDaemon/MeteredStore.h"

#include <chrono>

namespace snipepost {

namespace {

std::string
Label(const std::string& aName, std::string_view aValue)
{
  return aName + "=\"" + std::string(aValue) + '"';
}

} // namespace

template<typename Outcome>
MeteredStore::CallMetrics
MeteredStore::AddCallMetrics(Registry& aRegistry, const std::string& aName)
{
  CallMetrics metrics;
  for (size_t i = 0; i < kOutcomes; ++i) {
    const auto outcome = cluster::ToString(static_cast<Outcome>(i));
    metrics.mByOutcome[i] = &aRegistry.AddCounter(
      "snipepost_store_calls_total",
      "Calls to the store that have ended",
      Label("call", aName) + ',' + Label("answer", outcome));
  }
  metrics.mTime = &aRegistry.AddLatency("snipepost_store_call_seconds",
                                        "Time of calls to the store",
                                        Label("call", aName));
  return metrics;
}

template<typename Result>
std::function<void(Result)>
MeteredStore::Measured(CallMetrics& aMetrics, std::function<void(Result)> aDone)
{
  const auto start = std::chrono::steady_clock::now();
  return [&aMetrics, start, done = std::move(aDone)](Result aResult) {
    aMetrics.mByOutcome.at(static_cast<size_t>(aResult.mOutcome))->Add();
    aMetrics.mTime->Record(std::chrono::steady_clock::now() - start);
    done(std::move(aResult));
  };
}

MeteredStore::MeteredStore(cluster::Store& aStore, Registry& aRegistry)
  : mStore(aStore)
  , mLists(AddCallMetrics<cluster::ReadOutcome>(aRegistry, "list"))
  , mWatches(AddCallMetrics<cluster::ReadOutcome>(aRegistry, "watch"))
  , mWrites(AddCallMetrics<cluster::WriteOutcome>(aRegistry, "write"))
{
}

void
MeteredStore::List(cluster::Part aPart,
                   cluster::Freshness aFreshness,
                   Duration aTimeout,
                   std::function<void(cluster::ListResult)> aDone)
{
  mStore.List(aPart, aFreshness, aTimeout, Measured(mLists, std::move(aDone)));
}

void
MeteredStore::Watch(cluster::Part aPart,
                    cluster::Revision aSince,
                    Duration aWait,
                    std::function<void(cluster::WatchResult)> aDone)
{
  mStore.Watch(aPart, aSince, aWait, Measured(mWatches, std::move(aDone)));
}

void
MeteredStore::Write(const std::string& aName,
                    const cluster::RecordWrite& aWrite,
                    std::function<void(cluster::WriteResult)> aDone)
{
  mStore.Write(aName, aWrite, Measured(mWrites, std::move(aDone)));
}

} // namespace snipepost
