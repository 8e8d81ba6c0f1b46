#include "tests/platform/soak/DatagramProxy.h"

#include <optional>
#include <vector>

namespace snipepost::soak {

namespace {

std::optional<size_t>
NodeAt(const Layout& aLayout, const Address& aAddress)
{
  for (size_t node = 0; node < Layout::kNodes; ++node) {
    if (aLayout.BindAddress(node, 0).mIp == aAddress.mIp) {
      return node;
    }
  }
  return std::nullopt;
}

} // namespace

DatagramProxy::DatagramProxy(asio::io_context& aContext,
                             const Layout& aLayout,
                             const LinkFaults& aFaults,
                             uint64_t aSeed)
  : mContext(aContext)
  , mLayout(aLayout)
  , mFaults(aFaults)
  , mRandom(aSeed)
{
  for (size_t node = 0; node < Layout::kNodes; ++node) {
    for (size_t portIndex = 0; portIndex < kPorts.size(); ++portIndex) {
      mSockets[node][portIndex] =
        std::make_unique<AdvertisedSocket>(*this, node, portIndex);
    }
  }
}

DatagramProxy::AdvertisedSocket::AdvertisedSocket(DatagramProxy& aProxy,
                                                  size_t aNode,
                                                  size_t aPortIndex)
  : mProxy(aProxy)
  , mNode(aNode)
  , mPort(kPorts[aPortIndex])
  , mSocket(aProxy.mContext, aProxy.mLayout.Advertised(aNode, mPort))
{
  mSocket.Start(*this);
}

void
DatagramProxy::AdvertisedSocket::OnDatagram(std::span<const uint8_t> aBytes,
                                            const Address& aFrom)
{
  const auto sender = NodeAt(mProxy.mLayout, aFrom);
  if (!sender || mProxy.mFaults.IsCut(*sender, mNode) ||
      mProxy.mRandom.Chance(mProxy.mFaults.LossRate())) {
    return;
  }
  const size_t portIndex = aFrom.mPort == kPorts[0] ? 0 : 1;
  mProxy.Forward(*mProxy.mSockets[*sender][portIndex],
                 aBytes,
                 mProxy.mLayout.BindAddress(mNode, mPort));
}

void
DatagramProxy::AdvertisedSocket::SendTo(std::span<const uint8_t> aBytes,
                                        const Address& aTo)
{
  mSocket.Send(aBytes, aTo);
  mSocket.Flush();
}

void
DatagramProxy::Forward(AdvertisedSocket& aSender,
                       std::span<const uint8_t> aBytes,
                       const Address& aTo)
{
  if (!mFaults.Delayed()) {
    aSender.SendTo(aBytes, aTo);
    return;
  }
  const auto timer = std::make_shared<asio::steady_timer>(mContext);
  timer->expires_after(mRandom.Jittered(LinkFaults::kDelay / 2, 1.0));
  timer->async_wait(
    [timer,
     &aSender,
     aTo,
     bytes = std::vector<uint8_t>(aBytes.begin(), aBytes.end())](
      const asio::error_code& aError) {
      if (!aError) {
        aSender.SendTo(bytes, aTo);
      }
    });
}

} // namespace snipepost::soak
