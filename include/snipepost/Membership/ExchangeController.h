#pragma once

#include <map>
#include <optional>
#include <vector>

#include <snipepost/Membership/Controller.h>

namespace snipepost {

/// Spreads records, votes and document generations between instances by
/// push-pull gossip (Demers et al., 1987): recent changes travel with every
/// message, and a digest mismatch makes two instances compare their views.
/// While nothing changes, the interval grows.
class ExchangeController : public Controller
{
public:
  void Step(Blackboard& aBoard,
            const MembershipEvent& aEvent,
            Instant aNow,
            Random& aRandom,
            MembershipEffects& aEffects) override;

  /// Answers a message from another instance, merging what it carries.
  static ExchangeMessage Answer(Blackboard& aBoard,
                                const ExchangeMessage& aMessage,
                                Instant aNow);

private:
  void OnTick(Blackboard& aBoard,
              Instant aNow,
              Random& aRandom,
              MembershipEffects& aEffects);
  void OnEnded(Blackboard& aBoard, const ExchangeEnded& aEvent, Instant aNow);
  std::optional<Address> ChoosePeer(const Blackboard& aBoard,
                                    Random& aRandom) const;

  /// A change ends the long interval that applies while nothing changes.
  void Hasten(Blackboard& aBoard);
  void Send(Blackboard& aBoard,
            const Address& aPeer,
            Instant aNow,
            MembershipEffects& aEffects);

  Instant mNextExchange;
  /// When the next exchange is due if something is new.
  Instant mNextWithNews;
  /// Exchanges in a row that had nothing new, up to a limit.
  unsigned mQuietSteps = 0;
  std::map<Address, Instant> mBusy;   ///< Exchanges in flight, with limits.
  std::map<Address, Instant> mFailed; ///< Not asked again before this time.
  /// The last peer's digest differed: the next message carries bucket digests.
  bool mViewDiffers = false;
};

} // namespace snipepost
