#pragma once

#include <array>

#include <snipepost/Cluster/Store.h>
#include <snipepost/Metrics/Registry.h>

namespace snipepost {

/// Counts the calls to a store by their kind and answer, and how long the
/// answers took: each call has a price and counts towards the store's rates.
class MeteredStore final : public cluster::Store
{
public:
  MeteredStore(cluster::Store& aStore, Registry& aRegistry);

  void List(cluster::Part aPart,
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
  static constexpr size_t kOutcomes = 4;

  /// The calls of one kind, by outcome.
  struct Kind
  {
    std::array<Counter*, kOutcomes> mAnswers{};
    LatencyHistogram* mTime = nullptr;
  };

  template<typename Outcome>
  static Kind AddKind(Registry& aRegistry, const std::string& aName);
  template<typename Result>
  static std::function<void(Result)> Count(Kind& aKind,
                                           std::function<void(Result)> aDone);

  cluster::Store& mStore;
  Kind mLists;
  Kind mWatches;
  Kind mWrites;
};

} // namespace snipepost
