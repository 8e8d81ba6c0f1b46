#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <snipepost/Base/Address.h>

namespace snipepost::soak {

/// Loopback addresses of a deployment. Each instance binds one address and
/// advertises another one that a proxy binds, so that all traffic between
/// instances goes through the proxy. The net is the second octet of all
/// addresses; deployments with different nets can run at the same time.
class Layout
{
public:
  static constexpr size_t kDomains = 3;
  static constexpr size_t kEntries = 4;
  static constexpr size_t kAgents = 8;
  static constexpr size_t kNodes = kEntries + kAgents;
  /// Number of agents of the second service, which are the last ones.
  static constexpr size_t kSecondServiceAgents = 3;

  static constexpr uint16_t kPacketPort = 18172;
  static constexpr uint16_t kInternalPort = 18720;
  static constexpr uint16_t kMetricsPort = 18721;
  static constexpr uint16_t kReadinessPort = 18167;
  static constexpr uint16_t kControlPort = 18166;
  static constexpr uint16_t kOutboundPort = 18162;
  static constexpr uint16_t kBackendPort = 18165;
  static constexpr uint16_t kStorePort = 18169;

  explicit Layout(uint8_t aNet)
    : mNet(aNet)
  {
  }

  /// The address that the process of a node binds.
  Address BindAddress(size_t aNode, uint16_t aPort) const
  {
    return MakeAddress(1, aNode, aPort);
  }
  /// The address to which other nodes send.
  Address Advertised(size_t aNode, uint16_t aPort) const
  {
    return MakeAddress(2, aNode, aPort);
  }
  Address Backend(size_t aAgent) const
  {
    return MakeAddress(3, aAgent, kBackendPort);
  }
  Address Caller(size_t aDomain) const
  {
    return MakeAddress(4, aDomain, kPacketPort);
  }
  /// The proxy through which a node reaches the store.
  Address StoreProxy(size_t aNode) const
  {
    return MakeAddress(5, aNode, kStorePort);
  }
  Address Store() const { return MakeAddress(6, 0, kStorePort); }

  static size_t NodeOfAgent(size_t aAgent) { return kEntries + aAgent; }
  static bool IsEntry(size_t aNode) { return aNode < kEntries; }
  static size_t DomainOf(size_t aNode)
  {
    return (IsEntry(aNode) ? aNode : aNode - kEntries) % kDomains;
  }
  static std::string DomainName(size_t aDomain)
  {
    return std::string(1, static_cast<char>('a' + aDomain));
  }
  static std::string ServiceOf(size_t aAgent)
  {
    return aAgent + kSecondServiceAgents < kAgents ? "desk" : "sheets";
  }
  static std::string NameOf(size_t aNode)
  {
    return IsEntry(aNode) ? "entry" + std::to_string(aNode)
                          : "agent" + std::to_string(aNode - kEntries);
  }

private:
  Address MakeAddress(uint8_t aGroup, size_t aIndex, uint16_t aPort) const
  {
    const auto host = static_cast<uint32_t>(aIndex + 1);
    return { (127U << 24) | (uint32_t{ mNet } << 16) |
               (uint32_t{ aGroup } << 8) | host,
             aPort };
  }

  uint8_t mNet;
};

} // namespace snipepost::soak
