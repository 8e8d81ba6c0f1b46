#include <snipepost/Admission/Hunting.h>

namespace snipepost {

namespace {

using Action = HuntingDecision::Action;

HuntingDecision
HuntOpening(const FirstPacket& aPacket, const HuntingState& aState)
{
  const bool hasSecond = aPacket.mPresent > 1 && aPacket.mCandidates > 1;
  const bool mayHandOn = hasSecond && aPacket.mHops < kMaxHops;
  if (aPacket.mOwnIndex != 0) {
    if (aState.mAble) {
      return { Action::Accept };
    }
    return mayHandOn ? HuntingDecision{ Action::HandOn, 0 }
                     : HuntingDecision{ Action::Refuse };
  }
  if (aPacket.mHops == 0 && mayHandOn &&
      !(aState.mAble && aState.mUnderThreshold)) {
    return { Action::HandOn, 1 };
  }
  return { aState.mAble ? Action::Accept : Action::Refuse };
}

/// Visits every candidate once, wherever the packet began.
HuntingDecision
HuntUnknown(const FirstPacket& aPacket)
{
  if (aPacket.mHops + 1 >= aPacket.mCandidates || aPacket.mHops >= kMaxHops) {
    return { Action::Drop };
  }
  const int next = (aPacket.mOwnIndex + 1) % aPacket.mCandidates;
  return { Action::HandOn, static_cast<uint8_t>(next) };
}

} // namespace

HuntingDecision
Hunt(const FirstPacket& aPacket, const HuntingState& aState)
{
  switch (aPacket.mKind) {
    case PacketKind::Owned:
      return { Action::Accept };
    case PacketKind::Opening:
      return HuntOpening(aPacket, aState);
    case PacketKind::Unknown:
      return HuntUnknown(aPacket);
  }
  return { Action::Drop };
}

} // namespace snipepost
