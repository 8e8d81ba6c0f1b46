#pragma once

#include <array>
#include <memory>

#include <asio.hpp>

#include <snipepost/Base/Random.h>
#include <snipepost/Net/DatagramSocket.h>

#include "tests/platform/soak/LinkFaults.h"

namespace snipepost::soak {

/// Binds the advertised addresses of all nodes and forwards datagrams between
/// nodes. The receiver sees the sender's advertised address as the source.
class DatagramProxy
{
public:
  DatagramProxy(asio::io_context& aContext,
                const Layout& aLayout,
                const LinkFaults& aFaults,
                uint64_t aSeed);

private:
  static constexpr std::array<uint16_t, 2> kPorts = { Layout::kPacketPort,
                                                      Layout::kInternalPort };

  /// The socket of one advertised address.
  class AdvertisedSocket final : public DatagramHandler
  {
  public:
    AdvertisedSocket(DatagramProxy& aProxy, size_t aNode, size_t aPortIndex);
    void OnDatagram(std::span<const uint8_t> aBytes,
                    const Address& aFrom) override;
    void SendTo(std::span<const uint8_t> aBytes, const Address& aTo);

  private:
    DatagramProxy& mProxy;
    size_t mNode;
    uint16_t mPort;
    DatagramSocket mSocket;
  };

  void Forward(AdvertisedSocket& aSender,
               std::span<const uint8_t> aBytes,
               const Address& aTo);

  asio::io_context& mContext;
  const Layout& mLayout;
  const LinkFaults& mFaults;
  Random mRandom;
  std::array<std::array<std::unique_ptr<AdvertisedSocket>, kPorts.size()>,
             Layout::kNodes>
    mSockets;
};

} // namespace snipepost::soak
