#pragma once

#include <array>

#include <snipepost/Base/Types.h>

#include "tests/platform/soak/Layout.h"

namespace snipepost::soak {

/// Fault of the connections to a target.
enum class StreamFault
{
  None,
  /// Connections are accepted, but all further bytes are discarded.
  Blackhole,
  /// Requests are forwarded, responses are discarded.
  OneWay,
  /// Existing and new connections are reset.
  Reset,
  /// Bytes are forwarded after a delay.
  Delayed,
};

/// Current link faults, which the proxies apply. Cuts, loss and delay may
/// overlap: they are counted, so each that was begun must be ended. A new store
/// fault replaces the previous one.
class LinkFaults
{
public:
  /// Added latency of delayed bytes; datagrams are delayed by up to this time.
  static constexpr Duration kDelay = std::chrono::milliseconds(150);

  /// aChange is 1 to begin a fault and -1 to end it.
  void ChangeIncomingCuts(size_t aNode, int aChange)
  {
    mIncomingCuts[aNode] += aChange;
  }
  void ChangeOutgoingCuts(size_t aNode, int aChange)
  {
    mOutgoingCuts[aNode] += aChange;
  }
  void ChangeDomainCuts(size_t aDomain, int aChange)
  {
    mDomainCuts[aDomain] += aChange;
  }
  void ChangeLoss(int aChange) { mLossFaults += aChange; }
  void ChangeDelay(int aChange) { mDelayFaults += aChange; }
  void SetStoreFault(size_t aNode, StreamFault aFault)
  {
    mStoreFaults[aNode] = aFault;
  }

  bool IsCut(size_t aFrom, size_t aTo) const
  {
    const size_t from = Layout::DomainOf(aFrom);
    const size_t to = Layout::DomainOf(aTo);
    return mOutgoingCuts[aFrom] > 0 || mIncomingCuts[aTo] > 0 ||
           (from != to && (mDomainCuts[from] > 0 || mDomainCuts[to] > 0));
  }
  /// Fraction of datagrams to drop.
  double LossRate() const { return mLossFaults > 0 ? 0.05 : 0.0; }
  bool Delayed() const { return mDelayFaults > 0; }

  StreamFault StoreFault(size_t aNode) const { return mStoreFaults[aNode]; }
  /// Fault of connections from other nodes to aNode. The stream proxy can't
  /// determine which node opened a connection, so a cut of outgoing traffic
  /// only discards the responses of aNode.
  StreamFault NodeFault(size_t aNode) const
  {
    if (mIncomingCuts[aNode] > 0 || mDomainCuts[Layout::DomainOf(aNode)] > 0) {
      return StreamFault::Blackhole;
    }
    if (mOutgoingCuts[aNode] > 0) {
      return StreamFault::OneWay;
    }
    return Delayed() ? StreamFault::Delayed : StreamFault::None;
  }

private:
  std::array<int, Layout::kNodes> mIncomingCuts{};
  std::array<int, Layout::kNodes> mOutgoingCuts{};
  std::array<int, Layout::kDomains> mDomainCuts{};
  std::array<StreamFault, Layout::kNodes> mStoreFaults{};
  int mLossFaults = 0;
  int mDelayFaults = 0;
};

} // namespace snipepost::soak
