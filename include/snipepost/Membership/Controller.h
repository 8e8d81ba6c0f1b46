#pragma once

#include <snipepost/Base/Random.h>
#include <snipepost/Membership/Blackboard.h>
#include <snipepost/Membership/Events.h>

namespace snipepost {

/// One concern of the control plane. Controllers share state through the
/// blackboard only and see every event in a fixed order.
class Controller
{
public:
  virtual ~Controller() = default;

  /// Handles one event: may write its part of the blackboard and append
  /// effects. Events that don't concern it are ignored.
  virtual void Step(Blackboard& aBoard,
                    const MembershipEvent& aEvent,
                    Instant aNow,
                    Random& aRandom,
                    MembershipEffects& aEffects) = 0;
};

} // namespace snipepost
