#pragma once

#include <cstdint>
#include <optional>

#include <snipepost/Admission/Options.h>
#include <snipepost/Base/Types.h>

namespace snipepost {

/// Phases of a drain, for a planned change, a leaving backend server or a
/// shutdown.
class DrainState
{
public:
  enum class Phase : uint8_t
  {
    Serving,
    /// Announced; requests are still accepted, flows are not.
    Noticed,
    /// After the final GOAWAY; requests are rejected.
    Closing,
    /// Requests that still queue are rejected as well.
    Emptying
  };

  explicit DrainState(const DrainOptions& aOptions)
    : mOptions(aOptions)
  {
  }

  /// Starts a drain unless one is under way. Without aWarn every phase is due
  /// at once.
  void Start(Instant aNow, bool aWarn);

  /// Returns to serving, when a drain is called off.
  void Stop();

  /// Moves at most one phase on; true when the phase changed. Called until it
  /// returns false, so that no phase is skipped after a pause.
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
