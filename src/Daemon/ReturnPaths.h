#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include <snipepost/Base/Address.h>
#include <snipepost/Base/Types.h>
#include <snipepost/Quic/Types.h>

namespace snipepost {

/// Chooses the entry instance that relays a datagram back to a caller. A flow
/// uses the one that delivered its latest packet; when the flow has been
/// silent, the ones heard from lately take turns, so that a dead entry
/// instance costs some packets but no flow.
class ReturnPaths
{
public:
  /// An entry instance sent a packet: of a flow, or a probe.
  void Heard(const Address& aEntry, Instant aNow);
  void Heard(ConnectionHandle aFlow, const Address& aEntry, Instant aNow);

  void Forget(ConnectionHandle aFlow) { mFlows.erase(aFlow); }

  /// Entry instances to use before any was heard.
  void SetSeeds(std::vector<Address> aSeeds) { mSeeds = std::move(aSeeds); }

  /// The entry instance for the next datagram of a flow; nothing when none is
  /// known.
  std::optional<Address> Choose(ConnectionHandle aFlow, Instant aNow);

  /// Entry instances heard from within the last second.
  size_t LiveCount(Instant aNow);

private:
  struct FlowPath
  {
    Address mEntry;
    Instant mHeard;
  };

  std::optional<Address> NextLive(Instant aNow);
  void DropSilent(Instant aNow);

  std::map<Address, Instant> mLive;
  std::unordered_map<ConnectionHandle, FlowPath> mFlows;
  std::vector<Address> mSeeds;
  Address mLast;
  size_t mNextSeed = 0;
};

} // namespace snipepost
