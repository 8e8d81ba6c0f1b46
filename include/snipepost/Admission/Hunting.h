#pragma once

#include <snipepost/Admission/Events.h>

namespace snipepost {

/// What the hunting decision depends on at the agent.
struct HuntingState
{
  /// The agent may accept new flows at all.
  bool mAble = false;
  /// Used slots + queue is under the threshold of the first candidate, and a
  /// bulk slot is free.
  bool mUnderThreshold = false;
};

/// Highest hop count of a packet: each of 4 candidates once, and back to the
/// first.
constexpr uint8_t kMaxHops = 4;

/// Service hunting (6LB, Desmouceaux et al. 2018) with daisy chaining to the
/// previous candidates for packets that open no flow.
HuntingDecision
Hunt(const FirstPacket& aPacket, const HuntingState& aState);

} // namespace snipepost
