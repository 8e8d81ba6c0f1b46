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
  bool mUnderThreshold = false;
};

/// Maximum hop count of a packet: it visits each of 4 candidates once and may
/// return to the first one.
constexpr uint8_t kMaxHops = 4;

/// Service hunting (6LB, Desmouceaux et al. 2018) for Initial packets. Other
/// packets of unknown flows are daisy-chained through all candidates, including
/// those of the previous table.
HuntingDecision
Hunt(const ReceivedPacket& aPacket, const HuntingState& aState);

} // namespace snipepost
