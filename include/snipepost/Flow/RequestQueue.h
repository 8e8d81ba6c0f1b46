#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include <snipepost/Base/Types.h>
#include <snipepost/Flow/Packet.h>
#include <snipepost/Flow/QueueOrder.h>

namespace snipepost::flow {

/// A request on an open flow that waits at the agent for a slot of the backend
/// server. Its deadline counts from the arrival of its first packet. It never
/// expires and is never refused.
struct WaitingRequest : QueueEntry
{
  struct KeptPacket
  {
    Packet mHeader;
    /// The packet as it is forwarded to the backend server.
    std::vector<uint8_t> mBytes;
  };

  FlowTuple mFlow;
  /// When the request must be forwarded whatever the load.
  Instant mForwardBy;
  /// In order of arrival.
  std::vector<KeptPacket> mPackets;
};

/// Requests on open flows that wait at the agent, at most one for each flow.
/// They leave in one order with the new flows of a FlowQueue; see QueueOrder.
/// The limits are enforced by TakeDue(), which has to be called after every
/// Add() and Keep().
class RequestQueue
{
public:
  static constexpr size_t kMaxRequests = 64;
  /// Callers have at most 16 packets in flight.
  static constexpr size_t kMaxPackets = 16;
  /// Limit of the memory of all kept packets, with their headers.
  static constexpr size_t kMaxBytes = size_t(64) * 1024;

  /// Adds a request of a flow that has none waiting.
  void Add(WaitingRequest aRequest);

  /// Keeps a packet of a flow whose request waits. A retransmission of a kept
  /// packet is dropped; one that carries more data or the FIN is kept.
  void Keep(const FlowTuple& aFlow,
            const Packet& aPacket,
            std::span<const uint8_t> aBytes);

  /// Removes and returns the requests that must be forwarded whatever the load:
  /// those that have waited for too long or have too many packets, and the
  /// first ones in the order while the other limits are exceeded.
  std::vector<WaitingRequest> TakeDue(Instant aNow);

  /// Removes and returns all requests, in order of arrival.
  std::vector<WaitingRequest> TakeAll();

  /// Removes and returns the request of a flow; nothing when none waits.
  std::optional<WaitingRequest> Take(const FlowTuple& aFlow);

  /// Removes and returns a request that Append() has added; nothing for other
  /// entries.
  std::optional<WaitingRequest> Take(const QueueEntry* aRequest);

  /// Appends the requests. The pointers are valid until the queue is changed.
  void Append(QueueEntries& aEntries) const;

  /// Sum of the slot times of the requests that leave before a flow that would
  /// be added, divided by the slots.
  Duration WaitAhead(const QueuePosition& aPosition,
                     uint32_t aSlots,
                     Instant aNow) const;

  /// Whether a request waits whose response can be in time.
  bool AnyInTime(Instant aNow) const;

  size_t Size() const { return mRequests.size(); }

private:
  using Requests = std::vector<WaitingRequest>;

  WaitingRequest Take(Requests::iterator aRequest);
  Requests::iterator Find(const FlowTuple& aFlow);

  /// In order of arrival.
  Requests mRequests;
  /// Memory of all kept packets.
  size_t mBytes = 0;
};

} // namespace snipepost::flow
