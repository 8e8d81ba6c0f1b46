#include <snipepost/Flow/ExpectedCompletion.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace snipepost::flow {

namespace {

/// Utilisation above which the wait of later requests is not extrapolated: it
/// would be infinite at 1.
constexpr double kMaxUtilisation = 0.95;

/// Reply times assumed before the first reply, in seconds: a handshake with the
/// server, and a round trip to another failure domain.
constexpr double kLocalReplySeconds = 0.0003;
constexpr double kRemoteReplySeconds = 0.008;

/// Completions up to this multiple of the earliest one are close to it. The
/// standard error of a mean of 16 samples is a quarter when the samples are
/// distributed exponentially, so smaller differences say little.
constexpr double kCloseFactor = 1.5;

/// Longer than any expected completion, in seconds.
constexpr double kAvoidPenaltySeconds = 1e3;

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

/// Nothing when aValues is empty.
std::optional<double>
Median(std::vector<double> aValues)
{
  if (aValues.empty()) {
    return std::nullopt;
  }
  const auto middle =
    aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::ranges::nth_element(aValues, middle);
  return *middle;
}

/// Values for candidates whose agents have not reported theirs.
struct Assumed
{
  double mServiceSeconds = 0.0;
  double mUtilisation = 0.0;
};

/// Nothing when no service time is known.
std::optional<Assumed>
AssumedValues(const std::vector<Candidate>& aCandidates, Instant aNow)
{
  std::vector<double> serviceTimes;
  std::vector<double> utilisations;
  for (const Candidate& candidate : aCandidates) {
    if (const auto time = ReportedServiceTime(*candidate.mView, aNow)) {
      serviceTimes.push_back(Seconds(*time));
    }
    if (const auto share = ReportedUtilisation(*candidate.mView, aNow)) {
      utilisations.push_back(*share);
    }
  }
  const auto serviceTime = Median(std::move(serviceTimes));
  if (!serviceTime) {
    return std::nullopt;
  }
  return Assumed{ *serviceTime, Median(std::move(utilisations)).value_or(0.0) };
}

double
WaitSeconds(const Candidate& aCandidate,
            double aServiceSeconds,
            uint32_t aPriority,
            Instant aNow)
{
  const double slots = std::max(aCandidate.mRecord->mSlots, 1U);
  const double load = EstimatedLoad(*aCandidate.mView, aNow);
  const double estimated =
    std::max(0.0, load + 1.0 - slots) / slots * aServiceSeconds;
  const auto reported = ExpectedWait(*aCandidate.mView, aPriority, aNow);
  return reported ? std::max(Seconds(*reported), estimated) : estimated;
}

double
ReplySeconds(const Candidate& aCandidate)
{
  if (aCandidate.mView->mReplyTime > Duration::zero()) {
    return Seconds(aCandidate.mView->mReplyTime);
  }
  return aCandidate.mLocal ? kLocalReplySeconds : kRemoteReplySeconds;
}

/// Expected wait of a request at a server with aSlots slots and a queue
/// (Sakasegawa's approximation, 1977). With one slot it is service time
/// x u^2 / (1 - u); the same for several slots overestimates the wait, and
/// differences of utilisation then outweigh those of reported waits.
double
LaterWaitSeconds(double aServiceSeconds, double aUtilisation, double aSlots)
{
  return aServiceSeconds *
         std::pow(aUtilisation, std::sqrt(2.0 * (aSlots + 1.0))) /
         (aSlots * (1.0 - aUtilisation));
}

double
CompletionSeconds(const Candidate& aCandidate,
                  const Assumed& aAssumed,
                  uint32_t aPriority,
                  Instant aNow)
{
  const AgentView& view = *aCandidate.mView;
  const auto reportedTime = ReportedServiceTime(view, aNow);
  const double service =
    reportedTime ? Seconds(*reportedTime) : aAssumed.mServiceSeconds;
  const double utilisation =
    std::min(ReportedUtilisation(view, aNow).value_or(aAssumed.mUtilisation),
             kMaxUtilisation);
  double completion = WaitSeconds(aCandidate, service, aPriority, aNow);
  completion += service * (view.mCold ? kColdFactor : 1.0);
  completion += ReplySeconds(aCandidate);
  completion += LaterWaitSeconds(
    service, utilisation, std::max(aCandidate.mRecord->mSlots, 1U));
  if (aNow < view.mAvoidUntil) {
    completion += kAvoidPenaltySeconds * (1.0 + view.mUnansweredOffers);
  }
  return completion;
}

/// Of all candidates; empty when no service time is known.
std::vector<double>
Completions(const std::vector<Candidate>& aCandidates,
            uint32_t aPriority,
            Instant aNow)
{
  std::vector<double> completions;
  if (const auto assumed = AssumedValues(aCandidates, aNow)) {
    for (const Candidate& candidate : aCandidates) {
      completions.push_back(
        CompletionSeconds(candidate, *assumed, aPriority, aNow));
    }
  }
  return completions;
}

} // namespace

std::optional<size_t>
SoonestCandidate(const std::vector<Candidate>& aCandidates,
                 uint32_t aPriority,
                 Instant aNow)
{
  const auto completions = Completions(aCandidates, aPriority, aNow);
  if (completions.empty()) {
    return std::nullopt;
  }
  const auto soonest = std::ranges::min_element(completions);
  return static_cast<size_t>(soonest - completions.begin());
}

std::optional<size_t>
CandidateForFreeSlot(const std::vector<Candidate>& aCandidates,
                     uint32_t aPriority,
                     Instant aNow)
{
  const auto completions = Completions(aCandidates, aPriority, aNow);
  if (completions.empty()) {
    return BestCandidate(aCandidates, aNow);
  }
  const double limit = std::ranges::min(completions) * kCloseFactor;
  std::vector<Candidate> close;
  std::vector<size_t> indices;
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    if (completions[i] <= limit) {
      close.push_back(aCandidates[i]);
      indices.push_back(i);
    }
  }
  return indices.at(BestCandidate(close, aNow).value_or(0));
}

} // namespace snipepost::flow
