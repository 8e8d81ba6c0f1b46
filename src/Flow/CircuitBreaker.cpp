#include <snipepost/Flow/CircuitBreaker.h>

#include <algorithm>

namespace snipepost::flow {

namespace {

/// Weight of the latest request in the failure rate.
constexpr double kWeight = 0.125;
/// Failure rate from which the state is Restricted; a single recent failure
/// exceeds it.
constexpr double kRestrictedRate = 0.1;
/// Failure rate from which the state is Open; three failures in a row exceed
/// it.
constexpr double kOpenRate = 0.3;

/// Pauses between trial flows, doubled after each one that fails. The longest
/// bounds the delay until a server that has recovered is used again.
constexpr Duration kFirstPause = std::chrono::milliseconds(200);
constexpr Duration kMaxPause = std::chrono::milliseconds(800);
/// Time for which a trial waits for a flow with idempotent requests; a service
/// may have none.
constexpr Duration kIdempotentTrialTime = std::chrono::seconds(1);

} // namespace

CircuitBreaker::State
CircuitBreaker::CurrentState() const
{
  if (mFailureRate < kRestrictedRate) {
    return State::Closed;
  }
  return mFailureRate < kOpenRate ? State::Restricted : State::Open;
}

void
CircuitBreaker::Count(bool aFailed)
{
  mFailureRate += kWeight * ((aFailed ? 1.0 : 0.0) - mFailureRate);
  mTrialPending = false;
}

void
CircuitBreaker::OnResponse()
{
  // A response to a trial ends the pauses, however often the server failed
  // before.
  mFailureRate = std::min(mFailureRate, kOpenRate);
  mPause = Duration::zero();
  Count(false);
}

void
CircuitBreaker::OnReset(Instant aNow)
{
  const bool trialFailed = mTrialPending;
  Count(true);
  if (CurrentState() != State::Open) {
    return;
  }
  // Flows that were open before fail at the same time; only trials lengthen the
  // pause.
  if (mPause == Duration::zero()) {
    mPause = kFirstPause;
  } else if (trialFailed) {
    mPause = std::min(mPause * 2, kMaxPause);
  }
  mNextTrial = aNow + mPause;
}

bool
CircuitBreaker::Admits(cluster::RequestKind aKind, bool aIsFinal, Instant aNow)
{
  const bool isIdempotent = aKind != cluster::RequestKind::Unsafe;
  switch (CurrentState()) {
    case State::Closed:
      return true;
    case State::Restricted:
      return isIdempotent || aIsFinal;
    case State::Open:
      break;
  }
  const Instant from =
    isIdempotent ? mNextTrial : mNextTrial + kIdempotentTrialTime;
  if (aNow < from) {
    return false;
  }
  mTrialPending = true;
  mNextTrial = aNow + mPause;
  return true;
}

} // namespace snipepost::flow
