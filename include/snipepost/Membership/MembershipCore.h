#pragma once

#include <memory>
#include <set>
#include <vector>

#include <snipepost/Membership/AnnouncementController.h>
#include <snipepost/Membership/Controller.h>
#include <snipepost/Membership/DocumentController.h>

namespace snipepost {

/// The control plane of one instance: the blackboard and the controllers that
/// its role needs. Deterministic: the same events, times and seed give the
/// same effects.
class MembershipCore
{
public:
  /// aOwn carries address, role, failure domain, service and incarnation.
  MembershipCore(MembershipOptions aOptions,
                 const InstanceRecord& aOwn,
                 DocumentInspector aInspector,
                 uint64_t aSeed);

  /// Handles one event and returns what is to be done, in order.
  MembershipEffects Handle(const MembershipEvent& aEvent, Instant aNow);

  /// Answers an exchange message of another instance. Effects that follow from
  /// what it carried are returned by the next Handle.
  ExchangeMessage AnswerExchange(const ExchangeMessage& aMessage, Instant aNow);

  /// Announces a new state of this instance.
  void SetState(InstanceState aState);

  /// Tells which failure domains the configuration in force takes out.
  void SetDomainsOut(std::set<DomainId> aDomains);

  const Blackboard& Board() const { return mBoard; }

  /// True while this instance holds its lease and no later life replaced it.
  bool MayAct(Instant aNow) const;

  /// True when a later life of this instance has been announced.
  bool Superseded() const { return mAnnouncement->Superseded(); }

private:
  Blackboard mBoard;
  Random mRandom;
  AnnouncementController* mAnnouncement; ///< Owned by mControllers.
  std::vector<std::unique_ptr<Controller>> mControllers;
  std::vector<MembershipEvent> mPending;
};

} // namespace snipepost
