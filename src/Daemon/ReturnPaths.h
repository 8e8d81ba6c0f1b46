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
/// uses the one that delivered its latest packet. When the flow has not
/// received a packet recently, the entry instances with recent contact are used
/// round robin, so that the failure of an entry instance loses some packets but
/// breaks no flow.
class ReturnPaths
{
public:
  /// Records a packet from an entry instance: a probe, or a packet of a flow.
  void RecordContact(const Address& aEntry, Instant aNow);
  void RecordContact(ConnectionHandle aFlow,
                     const Address& aEntry,
                     Instant aNow);

  void RemoveFlow(ConnectionHandle aFlow) { mFlows.erase(aFlow); }

  /// Sets the entry instances that are used when none has had contact
  /// recently.
  void SetSeeds(std::vector<Address> aSeeds) { mSeeds = std::move(aSeeds); }

  /// The entry instance for the next datagram of a flow; nothing when none is
  /// known.
  std::optional<Address> Choose(ConnectionHandle aFlow, Instant aNow);

  /// Number of entry instances with contact within the last 1.2 s.
  size_t LiveCount(Instant aNow);

private:
  struct FlowPath
  {
    Address mEntry;
    Instant mLastContact;
  };

  std::optional<Address> NextLive(Instant aNow);
  void EvictExpired(Instant aNow);

  std::map<Address, Instant> mLive;
  std::unordered_map<ConnectionHandle, FlowPath> mFlows;
  std::vector<Address> mSeeds;
  Address mLastChosen;
  size_t mNextSeed = 0;
};

} // namespace snipepost
