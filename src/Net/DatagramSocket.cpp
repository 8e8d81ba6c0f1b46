#include <snipepost/Net/DatagramSocket.h>

#include <algorithm>
#include <array>
#include <cstring>

#include <arpa/inet.h>
#include <sys/socket.h>

namespace snipepost {

namespace {

constexpr size_t kBatchSize = 64;
/// Room for bursts: 10 ms of the packets that one core can route.
constexpr int kSocketBuffer = 4 << 20;
/// Batches read before other handlers of the event loop run.
constexpr int kBatchesPerWakeup = 4;

sockaddr_in
ToNative(const Address& aAddress)
{
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_addr.s_addr = htonl(aAddress.mIp);
  native.sin_port = htons(aAddress.mPort);
  return native;
}

} // namespace

/// Buffers and headers for one recvmmsg or sendmmsg call.
struct DatagramSocket::Batch
{
  std::array<std::array<uint8_t, kMaxDatagram>, kBatchSize> mBytes;
  std::array<sockaddr_in, kBatchSize> mAddresses;
  std::array<iovec, kBatchSize> mVectors;
  std::array<mmsghdr, kBatchSize> mHeaders;

  void Prepare(size_t aIndex, size_t aLength)
  {
    mVectors[aIndex] = { mBytes[aIndex].data(), aLength };
    mHeaders[aIndex] = {};
    msghdr& header = mHeaders[aIndex].msg_hdr;
    header.msg_name = &mAddresses[aIndex];
    header.msg_namelen = sizeof mAddresses[aIndex];
    header.msg_iov = &mVectors[aIndex];
    header.msg_iovlen = 1;
  }
};

asio::ip::udp::endpoint
ToUdp(const Address& aAddress)
{
  return { asio::ip::address_v4(aAddress.mIp), aAddress.mPort };
}

asio::ip::tcp::endpoint
ToTcp(const Address& aAddress)
{
  return { asio::ip::address_v4(aAddress.mIp), aAddress.mPort };
}

Address
FromUdp(const asio::ip::udp::endpoint& aEndpoint)
{
  return { aEndpoint.address().to_v4().to_uint(), aEndpoint.port() };
}

DatagramSocket::DatagramSocket(asio::io_context& aContext,
                               const Address& aLocal)
  : mSocket(aContext, ToUdp(aLocal))
  // Left uninitialized, so that the kernel allocates only the memory pages that
  // bursts of datagrams need.
  , mIn(std::make_unique_for_overwrite<Batch>())
  , mOut(std::make_unique_for_overwrite<Batch>())
{
  mSocket.non_blocking(true);
  asio::error_code ignored; // The kernel may grant less.
  mSocket.set_option(asio::socket_base::receive_buffer_size(kSocketBuffer),
                     ignored);
  mSocket.set_option(asio::socket_base::send_buffer_size(kSocketBuffer),
                     ignored);
}

DatagramSocket::~DatagramSocket() = default;

void
DatagramSocket::Start(DatagramHandler& aHandler)
{
  mHandler = &aHandler;
  Wait();
}

void
DatagramSocket::Wait()
{
  mSocket.async_wait(asio::ip::udp::socket::wait_read,
                     [this](const asio::error_code& aError) {
                       if (!aError) {
                         Receive();
                         Wait();
                       }
                     });
}

void
DatagramSocket::Receive()
{
  for (int batch = 0; batch < kBatchesPerWakeup; ++batch) {
    for (size_t i = 0; i < kBatchSize; ++i) {
      mIn->Prepare(i, kMaxDatagram);
    }
    const int received = recvmmsg(mSocket.native_handle(),
                                  mIn->mHeaders.data(),
                                  kBatchSize,
                                  MSG_DONTWAIT,
                                  nullptr);
    if (received <= 0) {
      break;
    }
    for (int i = 0; i < received; ++i) {
      const auto index = static_cast<size_t>(i);
      const mmsghdr& header = mIn->mHeaders[index];
      if (header.msg_hdr.msg_flags & MSG_TRUNC) {
        continue;
      }
      const sockaddr_in& name = mIn->mAddresses[index];
      mHandler->OnDatagram(
        { mIn->mBytes[index].data(), header.msg_len },
        { ntohl(name.sin_addr.s_addr), ntohs(name.sin_port) });
    }
    if (static_cast<size_t>(received) < kBatchSize) {
      break;
    }
  }
  mHandler->OnBatchEnd();
  Flush();
}

std::span<uint8_t>
DatagramSocket::Reserve()
{
  if (mQueued == kBatchSize) {
    Flush();
  }
  return mOut->mBytes[mQueued];
}

void
DatagramSocket::Commit(size_t aLength, const Address& aTo)
{
  mOut->mAddresses[mQueued] = ToNative(aTo);
  mOut->Prepare(mQueued, aLength);
  ++mQueued;
}

void
DatagramSocket::Send(std::span<const uint8_t> aBytes, const Address& aTo)
{
  if (aBytes.size() > kMaxDatagram) {
    ++mSendDrops;
    return;
  }
  std::memcpy(Reserve().data(), aBytes.data(), aBytes.size());
  Commit(aBytes.size(), aTo);
}

void
DatagramSocket::Flush()
{
  size_t sent = 0;
  while (sent < mQueued) {
    const int count = sendmmsg(mSocket.native_handle(),
                               mOut->mHeaders.data() + sent,
                               static_cast<unsigned>(mQueued - sent),
                               MSG_DONTWAIT);
    if (count > 0) {
      sent += static_cast<size_t>(count);
      continue;
    }
    // Skips the first remaining datagram; the following ones may still be sent.
    ++mSendDrops;
    ++sent;
  }
  mQueued = 0;
}

Address
DatagramSocket::Local() const
{
  return FromUdp(mSocket.local_endpoint());
}

} // namespace snipepost
