#include <boost/test/unit_test.hpp>

#include "src/FlowDaemon/MeteredStore.h"

using namespace snipepost;
using namespace snipepost::cluster;

namespace {

/// Completes every call immediately.
class FakeStore final : public Store
{
public:
  void List(Part,
            Freshness,
            Duration,
            std::function<void(ListResult)> aDone) override
  {
    aDone({ ReadOutcome::Refused, {} });
  }
  void Watch(Part,
             Revision,
             Duration,
             std::function<void(WatchResult)> aDone) override
  {
    aDone({ ReadOutcome::Done, {}, Revision(5) });
  }
  void Write(const std::string&,
             const RecordWrite&,
             std::function<void(WriteResult)> aDone) override
  {
    aDone({ WriteOutcome::Unknown, {} });
  }
};

bool
Contains(const Registry& aRegistry, const char* aLine)
{
  return aRegistry.PrometheusText().find(aLine) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MeteredStoreTest)

// Guards against counters that disagree with the calls, and results that do not
// reach the handler.
BOOST_AUTO_TEST_CASE(CallsAreCountedByKindAndOutcome)
{
  Registry registry;
  FakeStore store;
  MeteredStore metered(store, registry);
  size_t results = 0;
  metered.List(
    Part::Routes, Freshness::Latest, Duration(1), [&](ListResult aResult) {
      results += aResult.mOutcome == ReadOutcome::Refused;
    });
  metered.Watch(
    Part::Routes, Revision(1), Duration(1), [&](WatchResult aResult) {
      results += aResult.mRevision == Revision(5);
    });
  metered.Write("n", {}, [&](WriteResult aResult) {
    results += aResult.mOutcome == WriteOutcome::Unknown;
  });
  BOOST_TEST(results == 3U);
  BOOST_TEST(Contains(
    registry,
    "snipepost_store_calls_total{call=\"list\",answer=\"refused\"} 1"));
  BOOST_TEST(Contains(
    registry, "snipepost_store_calls_total{call=\"list\",answer=\"done\"} 0"));
  BOOST_TEST(Contains(
    registry, "snipepost_store_calls_total{call=\"watch\",answer=\"done\"} 1"));
  BOOST_TEST(Contains(
    registry,
    "snipepost_store_calls_total{call=\"write\",answer=\"unknown\"} 1"));
  BOOST_TEST(
    Contains(registry, "snipepost_store_call_seconds_count{call=\"write\"} 1"));
}

BOOST_AUTO_TEST_SUITE_END()
