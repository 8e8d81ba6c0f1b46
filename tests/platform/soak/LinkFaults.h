#pragma once

#include <array>

#include <snipepost/Base/Types.h>

#include "tests/platform/soak/Layout.h"

namespace snipepost::soak {

/// What happens to the connections to a target.
enum class StreamFault
{
  None,
  /// Connections are accepted, and no byte passes from now on.
  Silent,
  /// Requests pass, responses do not.
  OneWay,
  /// Connections are reset, and new ones too.
  Reset,
  /// Bytes arrive late.
  Delayed,
};

/// The present faults of the links, as the proxies apply them. Faults of one
/// kind may overlap; each is ended as often as it was begun.
class LinkFaults
{
public:
  /// Extra time of delayed bytes and datagrams.
  static constexpr Duration kDelay = std::chrono::milliseconds(150);

  /// aChange is 1 to begin and -1 to end.
  void CutIncoming(size_t aNode, int aChange) { mIncoming[aNode] += aChange; }
  void CutOutgoing(size_t aNode, int aChange) { mOutgoing[aNode] += aChange; }
  void CutDomain(size_t aDomain, int aChange) { mDomains[aDomain] += aChange; }
  void Lose(int aChange) { mLosing += aChange; }
  void Delay(int aChange) { mDelaying += aChange; }
  void SetStore(size_t aNode, StreamFault aFault) { mStore[aNode] = aFault; }

  bool Cut(size_t aFrom, size_t aTo) const
  {
    const size_t from = Layout::DomainOf(aFrom);
    const size_t to = Layout::DomainOf(aTo);
    return mOutgoing[aFrom] > 0 || mIncoming[aTo] > 0 ||
           (from != to && (mDomains[from] > 0 || mDomains[to] > 0));
  }
  /// Share of datagrams that get lost.
  double Loss() const { return mLosing > 0 ? 0.05 : 0.0; }
  bool Delayed() const { return mDelaying > 0; }

  StreamFault ToStore(size_t aNode) const { return mStore[aNode]; }
  /// Connections between nodes; their proxy knows the target only.
  StreamFault ToNode(size_t aNode) const
  {
    if (mIncoming[aNode] > 0 || mDomains[Layout::DomainOf(aNode)] > 0) {
      return StreamFault::Silent;
    }
    if (mOutgoing[aNode] > 0) {
      return StreamFault::OneWay;
    }
    return Delayed() ? StreamFault::Delayed : StreamFault::None;
  }

private:
  std::array<int, Layout::kNodes> mIncoming{};
  std::array<int, Layout::kNodes> mOutgoing{};
  std::array<int, Layout::kDomains> mDomains{};
  std::array<StreamFault, Layout::kNodes> mStore{};
  int mLosing = 0;
  int mDelaying = 0;
};

} // namespace snipepost::soak
