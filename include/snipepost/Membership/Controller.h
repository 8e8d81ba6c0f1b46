#pragma once

#include <snipepost/Base/Random.h>
#include <snipepost/Membership/Blackboard.h>
#include <snipepost/Membership/Events.h>

namespace snipepost {

/// One concern of the control plane. Controllers share state only through the
/// blackboard and handle every event in a fixed order.
class Controller
{
public:
  virtual ~Controller() = default;

  /// Handles one event: may update its fields of the blackboard and append
  /// effects. Ignores events of other controllers.
  virtual void Step(Blackboard& aBoard,
                    const MembershipEvent& aEvent,
                    Instant aNow,
                    Random& aRandom,
                    MembershipEffects& aEffects) = 0;
};

} // namespace snipepost
