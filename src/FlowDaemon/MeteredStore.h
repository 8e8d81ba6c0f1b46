#pragma once

#include <array>

#include <snipepost/Cluster/Store.h>
#include <snipepost/Metrics/Registry.h>

namespace snipepost {

/// Counts the calls to a store by kind and outcome, and measures their
/// duration: each call is charged for and counts towards the store's rate
/// limits.
class MeteredStore final : public cluster::Store
{
public:
  MeteredStore(cluster::Store& aStore, Registry& aRegistry);

  void List(cluster::Part aPart,
            cluster::Freshness aFreshness,
            Duration aTimeout,
            std::function<void(cluster::ListResult)> aDone) override;
  void Watch(cluster::Part aPart,
             cluster::Revision aSince,
             Duration aWait,
             std::function<void(cluster::WatchResult)> aDone) override;
  void Write(const std::string& aName,
             const cluster::RecordWrite& aWrite,
             std::function<void(cluster::WriteResult)> aDone) override;

private:
  /// Number of values of ReadOutcome and of WriteOutcome.
  static constexpr size_t kOutcomes = 4;

  /// Metrics of the calls of one kind.
  struct CallMetrics
  {
    std::array<Counter*, kOutcomes> mByOutcome{};
    LatencyHistogram* mTime = nullptr;
  };

  template<typename Outcome>
  static CallMetrics AddCallMetrics(Registry& aRegistry,
                                    const std::string& aName);
  /// Wraps aDone so that the outcome and the duration of the call are recorded.
  template<typename Result>
  static std::function<void(Result)> Measured(
    CallMetrics& aMetrics,
    std::function<void(Result)> aDone);

  cluster::Store& mStore;
  CallMetrics mLists;
  CallMetrics mWatches;
  CallMetrics mWrites;
};

} // namespace snipepost
