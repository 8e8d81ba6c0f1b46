#pragma once

#include <cstdint>
#include <optional>

#include <snipepost/Admission/Options.h>
#include <snipepost/Base/Types.h>

namespace snipepost {

/// State machine of a drain, which is started by a planned change, a draining
/// backend server or a shutdown.
class DrainState
{
public:
  enum class Phase : uint8_t
  {
    Serving,
    /// The shutdown notice was sent; requests are still accepted, new flows are
    /// not.
    Announced,
    /// After the final GOAWAY; requests are rejected.
    Closing,
    /// Requests that are still queued are rejected as well.
    Emptying
  };

  explicit DrainState(const DrainOptions& aOptions)
    : mOptions(aOptions)
  {
  }

  /// Starts a drain unless one is in progress. Without aNotify every phase is
  /// due at once.
  void Start(Instant aNow, bool aNotify);

  /// Cancels a drain and returns to serving.
  void Stop();

  /// Enters at most the next phase; returns true when the phase changed. Must
  /// be called until it returns false, so that no phase is skipped when the
  /// process was paused.
  bool Advance(Instant aNow);

  Phase Current() const { return mPhase; }

  /// When the next phase begins; nothing when there is none.
  std::optional<Instant> NextStep() const;

private:
  DrainOptions mOptions;
  Phase mPhase = Phase::Serving;
  std::optional<Instant> mStarted;
};

} // namespace snipepost
