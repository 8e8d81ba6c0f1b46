#pragma once

#include <map>
#include <optional>
#include <vector>

#include <snipepost/Membership/Controller.h>

namespace snipepost {

/// Spreads records, votes and document generations between instances by
/// push-pull gossip (Demers et al., 1987): every message carries recent
/// changes, and after a digest mismatch two instances compare their views. The
/// interval grows while nothing changes.
class ExchangeController : public Controller
{
public:
  void Step(Blackboard& aBoard,
            const MembershipEvent& aEvent,
            Instant aNow,
            Random& aRandom,
            MembershipEffects& aEffects) override;

  /// Merges a message from another instance and returns the reply.
  static ExchangeMessage Reply(Blackboard& aBoard,
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

  /// Ends a long interval, which applies while nothing changes, as soon as
  /// there are updates.
  void EndIdleInterval(Blackboard& aBoard);
  void Send(Blackboard& aBoard,
            const Address& aPeer,
            Instant aNow,
            MembershipEffects& aEffects);

  Instant mNextExchange;
  /// When the next exchange is due if there are updates.
  Instant mNextWithUpdates;
  /// Consecutive exchanges without updates, up to a limit.
  unsigned mIdleExchanges = 0;
  /// Peers with an exchange in flight, with the time at which it times out.
  std::map<Address, Instant> mBusyPeers;
  /// Peers of failed exchanges, with the time before which they are not chosen.
  std::map<Address, Instant> mFailedPeers;
  /// The last peer's digest differed: the next message carries bucket digests.
  bool mViewDiffers = false;
};

} // namespace snipepost
