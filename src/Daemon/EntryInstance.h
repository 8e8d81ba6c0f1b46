#pragma once

#include <functional>
#include <memory>
#include <unordered_map>
#include <unordered_set>

#include <asio.hpp>

#include <snipepost/Metrics/Registry.h>
#include <snipepost/Net/DatagramSocket.h>
#include <snipepost/Routing/EntryRouter.h>
#include <snipepost/Routing/PacketHeader.h>
#include <snipepost/Routing/RoutingSnapshot.h>

#include <src/Daemon/ControlPlane.h>
#include <src/Daemon/ControlServer.h>

namespace snipepost {

/// The entry role: relays datagrams between fabric and agents. It holds no
/// state of flows.
class EntryInstance
  : private DatagramHandler
  , private ControlOwner
{
public:
  /// aOnExit is called when the instance has left after BeginShutdown().
  EntryInstance(asio::io_context& aContext,
                const DaemonSettings& aSettings,
                std::function<void()> aOnExit);

  /// Announces that this instance leaves, relays for the leave time, then
  /// calls the exit callback.
  void BeginShutdown();

private:
  void OnDatagram(std::span<const uint8_t> aBytes,
                  const Address& aFrom) override;
  void OnViewChanged() override;
  void SendProbePacket(const Address& aTarget) override;
  void OnControlTick(Instant aNow) override;

  void RelayFromFabric(std::span<const uint8_t> aBytes);
  void HandlePeerPacket(std::span<const uint8_t> aBytes, const Address& aFrom);
  void RelayToFabric(const Packet& aPacket);
  void SendHeader(PacketType aType, const Address& aTo);
  boost::json::object Status() const;

  /// Metrics of the data path.
  struct Counters
  {
    explicit Counters(Registry& aRegistry);
    Counter& mForwarded;
    Counter& mForwardedById;
    Counter& mReplied;
    Counter& mBadPackets;
    Counter& mForeignSenders;
    Counter& mUnknownReplies;
  };

  KeyRing mKeys;
  std::unordered_set<Address> mFabric;
  Address mReturn;
  std::chrono::milliseconds mLeaveTime;
  std::function<void()> mOnExit;
  Registry mRegistry;
  Counters mCounters;
  EntryRouter mRouter;
  std::shared_ptr<const RoutingSnapshot> mSnapshot;
  std::unordered_map<ServiceId, Address> mServiceAddresses;
  DatagramSocket mSocket;
  ControlPlane mControl;
  ControlServer mServer;
  asio::steady_timer mLeaveTimer;
  Counter& mSnapshots;
};

} // namespace snipepost
