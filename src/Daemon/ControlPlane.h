#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <asio.hpp>

#include <snipepost/Document/Effective.h>
#include <snipepost/Membership/MembershipCore.h>
#include <snipepost/ObjectApi/ObjectClient.h>

#include <src/Daemon/DaemonSettings.h>
#include <src/Daemon/PeerClients.h>

namespace snipepost {

Instant
MonotonicNow();
WallTime
WallNow();

/// Interface through which the control plane calls the entry or agent role.
class ControlOwner
{
public:
  virtual ~ControlOwner() = default;

  /// The effective configuration, the members or the suspects have changed.
  virtual void OnViewChanged() = 0;

  /// Sends a probe packet to another instance.
  virtual void SendProbePacket(const Address& aTarget) = 0;

  /// Called every 50 ms, after the core has processed its clock tick.
  virtual void OnControlTick(Instant aNow) = 0;
};

/// Carries out the membership core's effects (calls to the store and to peers)
/// and keeps the effective configuration, which depends on the document and the
/// time.
class ControlPlane
{
public:
  ControlPlane(asio::io_context& aContext,
               const DaemonSettings& aSettings,
               const KeyRing& aKeys,
               ControlOwner& aOwner);

  void Start();

  /// Passes an event to the membership core and carries out its effects.
  void HandleEvent(const MembershipEvent& aEvent);

  ExchangeMessage ReplyToExchange(const ExchangeMessage& aMessage);
  void SetState(InstanceState aState) { mCore.SetState(aState); }

  const Blackboard& Board() const { return mCore.Board(); }
  Generation CurrentGeneration() const
  {
    return Board().mDocument.mVersion.mGeneration;
  }

  /// The effective configuration; nothing before the first document.
  const std::optional<EffectiveConfig>& Config() const { return mConfig; }

  bool Superseded() const { return mCore.Superseded(); }
  PeerClients& Peers() { return mPeers; }

private:
  void Perform(const SendProbe& aEffect);
  void Perform(const SendExchange& aEffect);
  void Perform(const PullDocument& aEffect);
  void Perform(const StoreRead& aEffect);
  void Perform(const StoreWrite& aEffect);
  void Perform(const StoreList& aEffect);
  void Perform(const StoreWatch& aEffect);
  void Perform(const DocumentAdopted& aEffect);
  void Perform(const ViewChanged& aEffect);
  void OnTick();
  void ApplyConfig();
  /// Stops probes and exchanges with failure domains that have been out for
  /// longer than kOutDomainProbeTime.
  void ExcludeOutDomains(Instant aNow);
  void LogStoreState();
  void LogSuspects();

  asio::io_context& mContext;
  ControlOwner& mOwner;
  MembershipCore mCore;
  PeerClients mPeers;
  ObjectClient mStore;
  asio::steady_timer mTimer;
  std::optional<Document> mDocument;
  std::optional<EffectiveConfig> mConfig;
  std::optional<WallTime> mNextConfigChange;
  bool mStoreReachable = false;
  std::set<Address> mLoggedSuspects;
  /// Failure domains that are out, and when this instance learned of it.
  std::map<DomainId, Instant> mOutSince;
};

} // namespace snipepost
