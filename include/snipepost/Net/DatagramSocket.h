#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <vector>

#include <asio.hpp>

#include <snipepost/Base/Address.h>

namespace snipepost {

/// Size in bytes of the largest datagram that is sent or received: a caller's
/// QUIC datagram of up to 1,500 bytes and the headers before it.
constexpr size_t kMaxDatagram = 2048;

/// Converts between the project's and Asio's addresses.
asio::ip::udp::endpoint
ToUdp(const Address& aAddress);
asio::ip::tcp::endpoint
ToTcp(const Address& aAddress);
Address
FromUdp(const asio::ip::udp::endpoint& aEndpoint);

/// Receives the datagrams of a socket.
class DatagramHandler
{
public:
  virtual ~DatagramHandler() = default;

  /// Called for each datagram; the bytes are valid only during the call.
  virtual void OnDatagram(std::span<const uint8_t> aBytes,
                          const Address& aFrom) = 0;

  /// Called after the received datagrams have been handled.
  virtual void OnBatchEnd() {}
};

/// A bound UDP socket that reads and writes in batches (recvmmsg, sendmmsg),
/// because a system call per datagram costs more than routing it.
class DatagramSocket
{
public:
  /// Binds to aLocal; port 0 picks a free one. Throws std::system_error when
  /// the address can't be bound.
  DatagramSocket(asio::io_context& aContext, const Address& aLocal);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /// Starts delivering datagrams to aHandler, which must outlive the socket.
  void Start(DatagramHandler& aHandler);

  /// Delivers the datagrams that have arrived at the socket. Call it before
  /// timeouts are evaluated: after a pause of the process, the reply that a
  /// timeout waits for may have arrived without being read.
  void Drain() { Receive(); }

  /// A buffer of kMaxDatagram bytes for the next datagram; Commit() queues it.
  std::span<uint8_t> Reserve();
  void Commit(size_t aLength, const Address& aTo);

  /// Queues a copy of the bytes; datagrams above kMaxDatagram are dropped.
  void Send(std::span<const uint8_t> aBytes, const Address& aTo);

  /// Writes the queued datagrams. Called automatically after received datagrams
  /// were delivered. Datagrams that the kernel rejects are dropped.
  void Flush();

  Address Local() const;

  /// Number of datagrams that were too large or rejected by the kernel.
  uint64_t SendDrops() const { return mSendDrops; }

private:
  struct Batch;

  void Wait();
  void Receive();

  asio::ip::udp::socket mSocket;
  DatagramHandler* mHandler = nullptr;
  std::unique_ptr<Batch> mIn;
  std::unique_ptr<Batch> mOut;
  size_t mQueued = 0;
  uint64_t mSendDrops = 0;
};

} // namespace snipepost
