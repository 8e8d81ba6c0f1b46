#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <asio.hpp>

#include <snipepost/Http2/Client.h>
#include <snipepost/Http2/Server.h>
#include <snipepost/Net/DatagramSocket.h>

#include <tools/fabric/Impairment.h>

namespace snipepost::tools {

/// Settings of the emulator of the packet-spraying fabric.
struct FabricSettings
{
  Address mListen;
  Address mControl;
  std::vector<Address> mServices;
  std::vector<Address> mEntries;
  uint64_t mSeed = 1;
  Impairment mImpairment;
};

/// Emulates the packet-spraying fabric: forwards each datagram to a service
/// address to a random live entry instance, with the addresses in a PROXY
/// protocol version 2 header, and the entry instances' datagrams to the
/// callers. An entry instance is live while its readiness check succeeds.
class Fabric : private DatagramHandler
{
public:
  Fabric(asio::io_context& aContext, const FabricSettings& aSettings);
  ~Fabric() override;

private:
  class ServiceSocket;
  struct Entry
  {
    Address mAddress;
    std::unique_ptr<http2::Client> mClient;
    unsigned mFailures = 0;
    bool mLive = false;
  };
  struct DelayedDatagram
  {
    DatagramSocket* mSocket;
    Address mTo;
    std::vector<uint8_t> mBytes;
  };

  void OnDatagram(std::span<const uint8_t> aBytes,
                  const Address& aFrom) override;
  void OnCallerDatagram(const Address& aService,
                        std::span<const uint8_t> aBytes,
                        const Address& aCaller);
  const Entry* ChooseEntry();
  void Transmit(DatagramSocket& aSocket,
                const Address& aTo,
                std::vector<uint8_t> aBytes);
  void ArmTimer();
  void CheckEntries();
  void CheckEntry(Entry& aEntry);
  void OnControl(const http2::ServerRequest& aRequest,
                 http2::Responder& aResponder);
  bool ApplyFault(const std::string& aBody);

  asio::io_context& mContext;
  Random mRandom;
  Impairment mImpairment;
  DatagramSocket mSocket;
  std::map<Address, std::unique_ptr<ServiceSocket>> mServices;
  std::vector<Entry> mEntries;
  std::set<Address> mCut;       ///< Entry instances cut off in both directions.
  std::set<Address> mCutToward; ///< Datagrams to these are dropped.
  std::set<Address> mCutFrom;   ///< Datagrams from these are dropped.
  std::multimap<Instant, DelayedDatagram> mDelayed;
  asio::steady_timer mTimer;
  asio::steady_timer mCheckTimer;
  std::unique_ptr<http2::Server> mControl;
};

} // namespace snipepost::tools
