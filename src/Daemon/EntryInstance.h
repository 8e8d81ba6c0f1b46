#pragma once

#include <functional>
#include <memory>
#include <unordered_set>

#include <asio.hpp>

#include <snipepost/Metrics/Registry.h>
#include <snipepost/Net/DatagramSocket.h>
#include <snipepost/Routing/PacketHeader.h>

#include <src/Daemon/ControlPlane.h>
#include <src/Daemon/ControlServer.h>
#include <src/Daemon/EntryRelay.h>

namespace snipepost {

/// The entry role: relays datagrams between fabric and agents. It keeps no
/// per-flow state.
class EntryInstance
  : private DatagramHandler
  , private ControlOwner
{
public:
  /// aOnExit is called when the shutdown that BeginShutdown() starts is done.
  EntryInstance(asio::io_context& aContext,
                const DaemonSettings& aSettings,
                std::function<void()> aOnExit);

  /// Announces that this instance leaves, keeps relaying packets for the leave
  /// time, then calls the exit callback.
  void BeginShutdown();

private:
  void OnDatagram(std::span<const uint8_t> aBytes,
                  const Address& aFrom) override;
  void OnViewChanged() override;
  void SendProbePacket(const Address& aTarget) override;
  void OnControlTick(Instant aNow) override;

  void HandlePeerPacket(std::span<const uint8_t> aBytes, const Address& aFrom);
  void SendEmptyPacket(PacketType aType, const Address& aTo);
  boost::json::object Status() const;

  KeyRing mKeys;
  std::unordered_set<Address> mFabric;
  std::chrono::milliseconds mLeaveTime;
  std::function<void()> mOnExit;
  Registry mRegistry;
  Counter& mForeignPackets;
  DatagramSocket mSocket;
  EntryRelay mRelay;
  ControlPlane mControl;
  ControlServer mServer;
  asio::steady_timer mLeaveTimer;
  Counter& mSnapshotsBuilt;
};

} // namespace snipepost
