#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <snipepost/Base/Address.h>

namespace snipepost::soak {

/// Addresses of a deployment on loopback. Each instance binds its own address,
/// and advertises another one that a proxy holds, so that everything between
/// instances passes the proxy. Deployments with different nets run side by
/// side.
class Layout
{
public:
  static constexpr size_t kDomains = 3;
  static constexpr size_t kEntries = 4;
  static constexpr size_t kAgents = 8;
  static constexpr size_t kNodes = kEntries + kAgents;
  /// The last agents belong to the second service.
  static constexpr size_t kSecondService = 3;

  static constexpr uint16_t kPackets = 18172;
  static constexpr uint16_t kInternal = 18720;
  static constexpr uint16_t kMetrics = 18721;
  static constexpr uint16_t kReadiness = 18167;
  static constexpr uint16_t kControl = 18166;
  static constexpr uint16_t kOutbound = 18162;
  static constexpr uint16_t kBackend = 18165;
  static constexpr uint16_t kStore = 18169;

  explicit Layout(uint8_t aNet)
    : mNet(aNet)
  {
  }

  /// What the process of a node binds.
  Address Real(size_t aNode, uint16_t aPort) const
  {
    return At(1, aNode, aPort);
  }
  /// Where other nodes send to it.
  Address Advertised(size_t aNode, uint16_t aPort) const
  {
    return At(2, aNode, aPort);
  }
  Address Backend(size_t aAgent) const { return At(3, aAgent, kBackend); }
  Address Caller(size_t aDomain) const { return At(4, aDomain, kPackets); }
  /// The proxy before the store that a node uses.
  Address StoreOf(size_t aNode) const { return At(5, aNode, kStore); }
  Address Store() const { return At(6, 0, kStore); }

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
    return aAgent + kSecondService < kAgents ? "desk" : "sheets";
  }
  static std::string NameOf(size_t aNode)
  {
    return IsEntry(aNode) ? "entry" + std::to_string(aNode)
                          : "agent" + std::to_string(aNode - kEntries);
  }

private:
  Address At(uint8_t aGroup, size_t aIndex, uint16_t aPort) const
  {
    const auto host = static_cast<uint32_t>(aIndex + 1);
    return { (127U << 24) | (uint32_t{ mNet } << 16) |
               (uint32_t{ aGroup } << 8) | host,
             aPort };
  }

  uint8_t mNet;
};

} // namespace snipepost::soak
