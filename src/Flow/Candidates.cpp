#include <snipepost/Flow/Candidates.h>

#include <algorithm>
#include <cmath>

namespace snipepost::flow {

namespace {

/// Time after which the weight of a load report has decayed to 1/e: a few
/// service times.
constexpr double kLoadDecaySeconds = 0.1;

// Costs are in units of a request's service time.
constexpr double kRemotePenalty = 0.35; // For a round trip of about 8 ms.
constexpr double kAvoidPenalty = 1e3;

/// Age at which an agent's announcement is forgotten.
constexpr Duration kAnnouncementAge = std::chrono::seconds(10);
/// Age at which reported waits are ignored: several service times.
constexpr Duration kWaitReportAge = std::chrono::milliseconds(500);
/// Age at which a reported capacity is ignored. It changes more slowly than
/// waits do.
constexpr Duration kCapacityReportAge = std::chrono::seconds(10);

uint16_t
Milliseconds(Duration aTime)
{
  const auto count =
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
  return static_cast<uint16_t>(std::clamp<int64_t>(count, 0, UINT16_MAX));
}

double
Cost(const Candidate& aCandidate, Instant aNow)
{
  const AgentView& view = *aCandidate.mView;
  const double load = EstimatedLoad(view, aNow);
  const double slots = aCandidate.mRecord->mSlots;
  // With a free slot the request is not queued, but the risk of a queue grows
  // with the load.
  const double queued = std::max(0.0, load + 1.0 - slots) / slots;
  double cost = (1.0 + queued) * (view.mCold ? kColdFactor : 1.0);
  cost += 0.1 * load / slots;
  if (!aCandidate.mLocal) {
    cost += kRemotePenalty;
  }
  if (aNow < view.mAvoidUntil) {
    cost += kAvoidPenalty + view.mUnansweredOffers;
  }
  return cost + 1e-3 * aCandidate.mRank;
}

} // namespace

double
EstimatedLoad(const AgentView& aView, Instant aNow)
{
  const double age =
    std::chrono::duration<double>(aNow - aView.mLoadAt).count();
  return aView.mLoad * std::exp(-std::max(0.0, age) / kLoadDecaySeconds);
}

void
UpdateWaits(AgentView& aView, const OfferReply& aReply, Instant aNow)
{
  aView.mAnnouncedWaits = aReply.mAnnouncesWaits;
  aView.mRepliedAt = aNow;
  if (aReply.mWaits.empty()) {
    return;
  }
  WaitReport& report = aView.mWaits;
  report.mAt = aNow;
  report.mCount = 0;
  for (const ReportedWait& wait : aReply.mWaits) {
    if (report.mCount == report.mWaits.size()) {
      break;
    }
    report.mWaits.at(report.mCount++) = { Milliseconds(wait.mWait),
                                          wait.mPriority };
  }
  report.mServiceMilliseconds =
    Milliseconds(aReply.mServiceTime.value_or(Duration::zero()));
  report.mUtilisation =
    aReply.mUtilisation.value_or(WaitReport::kUnknownUtilisation);
}

bool
ReadsWaits(const AgentView& aView, Instant aNow)
{
  return aView.mAnnouncedWaits && aNow - aView.mRepliedAt <= kAnnouncementAge;
}

std::optional<Duration>
ExpectedWait(const AgentView& aView, uint32_t aPriority, Instant aNow)
{
  const WaitReport& report = aView.mWaits;
  const Duration age = aNow - report.mAt;
  if (age > kWaitReportAge) {
    return std::nullopt;
  }
  // A service with more priorities than a report holds has no entry for the
  // least urgent ones: these wait at least as long as the last reported one.
  std::optional<Duration> wait;
  for (uint8_t i = 0; i < report.mCount; ++i) {
    if (report.mWaits.at(i).mPriority <= aPriority) {
      wait = std::chrono::milliseconds(report.mWaits.at(i).mMilliseconds);
    }
  }
  return wait ? std::optional(std::max(Duration::zero(), *wait - age))
              : std::nullopt;
}

std::optional<Duration>
ReportedServiceTime(const AgentView& aView, Instant aNow)
{
  const WaitReport& report = aView.mWaits;
  if (report.mServiceMilliseconds == 0 ||
      aNow - report.mAt > kCapacityReportAge) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(report.mServiceMilliseconds);
}

std::optional<double>
ReportedUtilisation(const AgentView& aView, Instant aNow)
{
  const WaitReport& report = aView.mWaits;
  if (report.mUtilisation == WaitReport::kUnknownUtilisation ||
      aNow - report.mAt > kCapacityReportAge) {
    return std::nullopt;
  }
  return report.mUtilisation / 1000.0;
}

std::optional<size_t>
BestCandidate(const std::vector<Candidate>& aCandidates, Instant aNow)
{
  std::optional<size_t> best;
  double bestCost = 0.0;
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    const double cost = Cost(aCandidates[i], aNow);
    if (!best || cost < bestCost) {
      best = i;
      bestCost = cost;
    }
  }
  return best;
}

} // namespace snipepost::flow
