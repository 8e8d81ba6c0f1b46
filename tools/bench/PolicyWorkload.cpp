#include "tools/bench/PolicyWorkload.h"

#include <array>
#include <chrono>
#include <cmath>
#include <limits>

#include <snipepost/Base/Random.h>

using namespace std::chrono_literals;

namespace snipepost::bench {

namespace {

/// Mean processing times on a warm server, and deadlines, by class.
constexpr std::array<Duration, 3> kMeanServiceTimes{ 20ms, 5ms, 40ms };
constexpr std::array<Duration, 3> kDeadlines{ 1s, 500ms, 5s };

/// Shares of submissions and queries on the interactive service; the rest is
/// bulk.
constexpr double kSubmissionShare = 0.25;
constexpr double kQueryShare = 0.60;

constexpr double kLongFlowShare = 0.1;
constexpr size_t kLongFlowRequests = 30;
constexpr size_t kShortFlowRequests = 5;
constexpr double kTwoDatagramShare = 0.1;

double
DrawExponential(Random& aRandom)
{
  return -std::log(1.0 - aRandom.Fraction());
}

Duration
DrawExponentialTime(Duration aMean, Random& aRandom)
{
  return std::chrono::duration_cast<Duration>(aMean * DrawExponential(aRandom));
}

RequestClass
DrawClass(bool aToBulkService, Random& aRandom)
{
  const double draw = aRandom.Fraction();
  if (aToBulkService || draw >= kSubmissionShare + kQueryShare) {
    return RequestClass::Bulk;
  }
  return draw < kSubmissionShare ? RequestClass::Submission
                                 : RequestClass::Query;
}

PlannedFlow
DrawFlow(bool aToBulkService, Random& aRandom)
{
  PlannedFlow flow;
  flow.mToBulkService = aToBulkService;
  flow.mTwoDatagrams = aRandom.Chance(kTwoDatagramShare);
  flow.mKey = aRandom.Below(std::numeric_limits<uint64_t>::max());
  const bool isLong = aRandom.Chance(kLongFlowShare);
  const size_t count = isLong ? kLongFlowRequests : kShortFlowRequests;
  Duration offset{};
  for (size_t i = 0; i < count; ++i) {
    const RequestClass requestClass = DrawClass(aToBulkService, aRandom);
    flow.mRequests.push_back(
      { offset,
        requestClass,
        DrawExponentialTime(
          kMeanServiceTimes[static_cast<size_t>(requestClass)], aRandom) });
    offset += DrawExponentialTime(isLong ? 400ms : 100ms, aRandom);
  }
  return flow;
}

double
MeanServiceSeconds(bool aToBulkService)
{
  const auto seconds = [](Duration aTime) {
    return std::chrono::duration<double>(aTime).count();
  };
  return aToBulkService ? seconds(kMeanServiceTimes[2])
                        : kSubmissionShare * seconds(kMeanServiceTimes[0]) +
                            kQueryShare * seconds(kMeanServiceTimes[1]) +
                            (1 - kSubmissionShare - kQueryShare) *
                              seconds(kMeanServiceTimes[2]);
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
  constexpr double kMeanRequests = kLongFlowShare * kLongFlowRequests +
                                   (1 - kLongFlowShare) * kShortFlowRequests;
  std::vector<PlannedFlow> flows;
  for (const bool toBulkService : { false, true }) {
    Random random(2 * aSeed + (toBulkService ? 1 : 0));
    const size_t servers = toBulkService ? kBulkServers : kInteractiveServers;
    const double rate = aLoad * static_cast<double>(servers * kSlots) /
                        (MeanServiceSeconds(toBulkService) * kMeanRequests);
    const std::chrono::duration<double> gap(1 / rate);
    Instant startTime = aStart;
    while ((startTime +=
            DrawExponentialTime(std::chrono::duration_cast<Duration>(gap),
                                random)) < aStart + aLength) {
      flows.push_back(DrawFlow(toBulkService, random));
      flows.back().mStartTime = startTime;
    }
  }
  return flows;
}

} // namespace snipepost::bench
