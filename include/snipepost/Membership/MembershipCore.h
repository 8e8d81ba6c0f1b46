#pragma once

#include <memory>
#include <set>
#include <vector>

#include <snipepost/Membership/AnnouncementController.h>
#include <snipepost/Membership/Controller.h>
#include <snipepost/Membership/DocumentController.h>

namespace snipepost {

/// The control plane of one instance: the blackboard and the controllers of
/// its role. Deterministic: the same events, times and seed produce the same
/// effects.
class MembershipCore
{
public:
  /// aOwn carries address, role, failure domain, service and incarnation.
  MembershipCore(MembershipOptions aOptions,
                 const InstanceRecord& aOwn,
                 DocumentValidator aValidator,
                 uint64_t aSeed);

  /// Handles one event and returns the resulting effects, in order.
  MembershipEffects Handle(const MembershipEvent& aEvent, Instant aNow);

  /// Merges an exchange message of another instance and returns the reply.
  /// Effects that result from the message are returned by the next Handle.
  ExchangeMessage ReplyToExchange(const ExchangeMessage& aMessage,
                                  Instant aNow);

  /// Announces a new state of this instance.
  void SetState(InstanceState aState);

  /// Sets the failure domains that the configuration in force takes out.
  void SetDomainsOut(std::set<DomainId> aDomains);

  const Blackboard& Board() const { return mBoard; }

  /// True while this instance's lease is valid and no later incarnation has
  /// superseded it.
  bool MayAct(Instant aNow) const;

  /// True when a later incarnation of this instance has been announced.
  bool Superseded() const { return mAnnouncement->Superseded(); }

private:
  Blackboard mBoard;
  Random mRandom;
  AnnouncementController* mAnnouncement; ///< Owned by mControllers.
  std::vector<std::unique_ptr<Controller>> mControllers;
  std::vector<MembershipEvent> mPending;
};

} // namespace snipepost
