#include "tools/bench/PolicyWorkload.h"

#include <array>
#include <chrono>
#include <cmath>
#include <limits>

#include <snipepost/Base/Random.h>

using namespace std::chrono_literals;

namespace snipepost::bench {

namespace {

/// Mean times of a warm slot and deadlines, by class.
constexpr std::array<Duration, 3> kWork{ 20ms, 5ms, 40ms };
constexpr std::array<Duration, 3> kDeadlines{ 1s, 500ms, 5s };

/// Shares of submissions and queries on the interactive service; the rest is
/// bulk.
constexpr double kSubmissions = 0.25;
constexpr double kQueries = 0.60;

constexpr double kLongSessions = 0.1;
constexpr size_t kLongRequests = 30;
constexpr size_t kShortRequests = 5;
constexpr double kTwoDatagrams = 0.1;

double
Exponential(Random& aRandom)
{
  return -std::log(1.0 - aRandom.Fraction());
}

Duration
Scaled(Duration aMean, Random& aRandom)
{
  return std::chrono::duration_cast<Duration>(aMean * Exponential(aRandom));
}

RequestClass
DrawClass(bool aToStore, Random& aRandom)
{
  const double draw = aRandom.Fraction();
  if (aToStore || draw >= kSubmissions + kQueries) {
    return RequestClass::Bulk;
  }
  return draw < kSubmissions ? RequestClass::Submission : RequestClass::Query;
}

PlannedFlow
DrawFlow(bool aToStore, Random& aRandom)
{
  PlannedFlow flow;
  flow.mToStore = aToStore;
  flow.mTwoDatagrams = aRandom.Chance(kTwoDatagrams);
  flow.mKey = aRandom.Below(std::numeric_limits<uint64_t>::max());
  const bool isLong = aRandom.Chance(kLongSessions);
  const size_t count = isLong ? kLongRequests : kShortRequests;
  Duration offset{};
  for (size_t i = 0; i < count; ++i) {
    const RequestClass kind = DrawClass(aToStore, aRandom);
    flow.mRequests.push_back(
      { offset, kind, Scaled(kWork[static_cast<size_t>(kind)], aRandom) });
    offset += Scaled(isLong ? 400ms : 100ms, aRandom);
  }
  return flow;
}

double
MeanWorkSeconds(bool aToStore)
{
  const auto seconds = [](Duration aTime) {
    return std::chrono::duration<double>(aTime).count();
  };
  return aToStore
           ? seconds(kWork[2])
           : kSubmissions * seconds(kWork[0]) + kQueries * seconds(kWork[1]) +
               (1 - kSubmissions - kQueries) * seconds(kWork[2]);
}

} // namespace

Duration
DeadlineOf(RequestClass aClass)
{
  return kDeadlines[static_cast<size_t>(aClass)];
}

std::vector<PlannedFlow>
MakeWorkload(double aLoad, Instant aStart, Duration aLength, uint64_t aSeed)
{
  constexpr double kRequests =
    kLongSessions * kLongRequests + (1 - kLongSessions) * kShortRequests;
  std::vector<PlannedFlow> flows;
  for (const bool toStore : { false, true }) {
    Random random(2 * aSeed + (toStore ? 1 : 0));
    const size_t servers = toStore ? kStoreServers : kDeskServers;
    const double rate = aLoad * static_cast<double>(servers * kSlots) /
                        (MeanWorkSeconds(toStore) * kRequests);
    const std::chrono::duration<double> gap(1 / rate);
    Instant open = aStart;
    while ((open += Scaled(std::chrono::duration_cast<Duration>(gap), random)) <
           aStart + aLength) {
      flows.push_back(DrawFlow(toStore, random));
      flows.back().mOpen = open;
    }
  }
  return flows;
}

} // namespace snipepost::bench
