#pragma once

#include <snipepost/Base/Types.h>
#include <snipepost/Cluster/RouteConfig.h>

namespace snipepost::flow {

/// Limits the new flows of a backend server that resets flows instead of
/// responding. Such a server is never busy, so placement by load prefers it.
/// Does no I/O; the time is an argument.
class CircuitBreaker
{
public:
  enum class State
  {
    /// The server has not failed recently.
    Closed,
    /// It has. Callers don't repeat requests that are not idempotent, so flows
    /// with such requests go to other servers while there are any.
    Restricted,
    /// It fails often, and gets a single trial flow after each pause.
    Open,
  };

  /// The backend server has responded to a request.
  void OnResponse();
  /// It has reset a flow instead of responding.
  void OnReset(Instant aNow);

  /// Whether the server may get a new flow with requests of aKind; aIsFinal
  /// when the flow goes nowhere else. To be called only for a flow that is
  /// otherwise accepted, as it may be the trial.
  bool Admits(cluster::RequestKind aKind, bool aIsFinal, Instant aNow);

  State CurrentState() const;

private:
  void Count(bool aFailed);

  /// Exponentially weighted share of the requests that failed.
  double mFailureRate = 0.0;
  Instant mNextTrial;
  /// Zero while the server does not fail often.
  Duration mPause{};
  /// A trial flow has been admitted and has no result yet.
  bool mTrialPending = false;
};

} // namespace snipepost::flow
