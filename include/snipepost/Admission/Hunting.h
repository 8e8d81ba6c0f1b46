#pragma once

#include <snipepost/Admission/Events.h>

namespace snipepost {

/// State of the agent on which the hunting decision depends.
struct HuntingState
{
  /// The agent may accept new flows.
  bool mCanAccept = false;
  /// The sum of used slots and queued requests is below the threshold for the
  /// first candidate, and a slot for bulk requests is free.
  bool mHasCapacity = false;
};

/// Maximum hop count of a packet: it visits each of 4 candidates once and may
/// return to the first one.
constexpr uint8_t kMaxHops = 4;

/// Initial packets are handled by service hunting (6LB, Desmouceaux et al.
/// 2018): the first candidate accepts the flow or forwards the packet to the
/// second one, which accepts if it can. Other packets of unknown flows are
/// forwarded from candidate to candidate (daisy chaining), including those of
/// the previous table.
HuntingDecision
Hunt(const ReceivedPacket& aPacket, const HuntingState& aState);

} // namespace snipepost
