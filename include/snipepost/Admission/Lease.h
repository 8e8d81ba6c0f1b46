#pragma once

#include <optional>

#include <snipepost/Admission/Options.h>
#include <snipepost/Base/Types.h>

namespace snipepost {

/// The agent's right to serve. It ends by the monotonic clock, so an agent that
/// was paused notices on its own.
class Lease
{
public:
  explicit Lease(const LeaseOptions& aOptions)
    : mOptions(aOptions)
  {
  }

  /// A renewed lease, or news about the store.
  void Update(Instant aEnd, bool aStoreOut);

  /// An entry instance confirmed the agent.
  void Confirm(Instant aNow) { mConfirmed = aNow; }

  /// True before the end of the lease and, while the store is known to be out,
  /// for some time after each confirmation by an entry instance.
  bool Holds(Instant aNow) const;

private:
  LeaseOptions mOptions;
  Instant mEnd = Instant::min();
  bool mStoreOut = false;
  std::optional<Instant> mConfirmed;
};

} // namespace snipepost
