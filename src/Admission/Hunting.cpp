#include <snipepost/Admission/Hunting.h>

namespace snipepost {

namespace {

using Action = HuntingDecision::Action;

HuntingDecision
HuntInitial(const ReceivedPacket& aPacket, const HuntingState& aState)
{
  const bool hasSecondCandidate =
    aPacket.mFromCurrentTable > 1 && aPacket.mCandidates > 1;
  const bool mayForward = hasSecondCandidate && aPacket.mHops < kMaxHops;
  if (aPacket.mOwnIndex != 0) {
    if (aState.mCanAccept) {
      return { Action::Accept };
    }
    return mayForward ? HuntingDecision{ Action::ForwardToCandidate, 0 }
                      : HuntingDecision{ Action::Refuse };
  }
  if (aPacket.mHops == 0 && mayForward &&
      !(aState.mCanAccept && aState.mHasCapacity)) {
    return { Action::ForwardToCandidate, 1 };
  }
  return { aState.mCanAccept ? Action::Accept : Action::Refuse };
}

/// Forwards the packet through all candidates once, starting from the one that
/// first received it.
HuntingDecision
HuntUnknown(const ReceivedPacket& aPacket)
{
  if (aPacket.mHops + 1 >= aPacket.mCandidates || aPacket.mHops >= kMaxHops) {
    return { Action::Drop };
  }
  const int next = (aPacket.mOwnIndex + 1) % aPacket.mCandidates;
  return { Action::ForwardToCandidate, static_cast<uint8_t>(next) };
}

} // namespace

HuntingDecision
Hunt(const ReceivedPacket& aPacket, const HuntingState& aState)
{
  switch (aPacket.mKind) {
    case PacketKind::Owned:
      return { Action::Accept };
    case PacketKind::Initial:
      return HuntInitial(aPacket, aState);
    case PacketKind::Unknown:
      return HuntUnknown(aPacket);
  }
  return { Action::Drop };
}

} // namespace snipepost
