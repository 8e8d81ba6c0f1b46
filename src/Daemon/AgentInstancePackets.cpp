// The packet path of AgentInstance: packets from entry instances and other
// agents, and replies to callers and to probes.
#include <src/Daemon/AgentInstance.h>

#include <algorithm>
#include <cstring>

#include <snipepost/Routing/QuicInvariants.h>
#include <snipepost/Routing/RouteId.h>

#include <src/Daemon/CallerRequests.h>

namespace snipepost {

namespace {

PacketKind
KindOf(const ServerEndpoint& aEndpoint, std::span<const uint8_t> aPayload)
{
  if (aEndpoint.HasConnectionFor(aPayload)) {
    return PacketKind::Owned;
  }
  const auto invariants = ParseQuicInvariants(aPayload);
  return invariants && invariants->mIsInitial ? PacketKind::Initial
                                              : PacketKind::Unknown;
}

/// Encodes aPart / aWhole for a load report: in units of 1/256, at most 255. If
/// aWhole is 0 (unknown), the result is 255.
uint8_t
EncodeShare(size_t aPart, size_t aWhole)
{
  constexpr size_t kFull = 255;
  return aWhole == 0
           ? kFull
           : static_cast<uint8_t>(std::min(kFull, 256 * aPart / aWhole));
}

} // namespace

ConnectionIdBytes
AgentInstance::IssueRouteId()
{
  const InstanceRecord& own = mControl.Board().mOwn;
  RouteId id;
  id.mService = own.mService;
  id.mDomain = own.mDomain;
  id.mAgent = own.mAddress;
  id.mIncarnation = static_cast<uint16_t>(own.mVersion.mIncarnation.Value());
  constexpr uint64_t kNonceCount = uint64_t{ 1 } << 24U;
  ConnectionIdBytes bytes;
  do {
    id.mNonce = static_cast<uint32_t>(mRandom.Below(kNonceCount));
    bytes = EncodeRouteId(id, mKeys);
  } while (mEndpoint.HasConnectionFor(ShortHeaderFor(bytes)));
  return bytes;
}

void
AgentInstance::OnDatagram(std::span<const uint8_t> aBytes, const Address& aFrom)
{
  const auto decoded = DecodePacket(aBytes, mKeys);
  const auto* packet = std::get_if<Packet>(&decoded);
  if (!packet) {
    mCounters.mBadPackets.Add();
    return;
  }
  if (packet->mHeader.mGeneration > mControl.CurrentGeneration()) {
    mControl.HandleEvent(GenerationSeen{ aFrom, packet->mHeader.mGeneration });
  }
  switch (packet->mHeader.mType) {
    case PacketType::Probe:
      ReplyToProbe(aFrom);
      return;
    case PacketType::Forward:
      mReturnPaths.RecordContact(aFrom, MonotonicNow());
      [[fallthrough]];
    case PacketType::DaisyChain:
      mCounters.mFlowPackets.Add();
      HandleFlowPacket(*packet, aBytes, aFrom);
      return;
    default:
      mCounters.mBadPackets.Add();
  }
}

void
AgentInstance::ReplyToProbe(const Address& aFrom)
{
  const Instant now = MonotonicNow();
  mReturnPaths.RecordContact(aFrom, now);
  mControl.HandleEvent(ProbeReceived{ aFrom });
  HandleAdmissionEvent(ConfirmedByEntry{});
  PacketHeader header;
  header.mType = PacketType::ProbeReply;
  header.mService = mControl.Board().mOwn.mService;
  header.mGeneration = mControl.CurrentGeneration();
  header.mLoad = Load();
  const size_t length = EncodePacket(header, {}, mSocket.Reserve(), mKeys);
  mSocket.Commit(length, aFrom);
}

void
AgentInstance::HandleFlowPacket(const Packet& aPacket,
                                std::span<const uint8_t>,
                                const Address& aFrom)
{
  const PacketHeader& header = aPacket.mHeader;
  const InstanceRecord& own = mControl.Board().mOwn;
  if (header.mService != own.mService) {
    mCounters.mBadPackets.Add();
    return;
  }
  ReceivedPacket packet;
  packet.mKind = KindOf(mEndpoint, aPacket.mPayload);
  const auto candidates = header.mCandidates.View();
  const auto self =
    std::find(candidates.begin(), candidates.end(), own.mAddress);
  packet.mCandidates = static_cast<uint8_t>(candidates.size());
  packet.mOwnIndex = static_cast<uint8_t>(self - candidates.begin());
  packet.mFromCurrentTable = CandidatesFromCurrentTable(header);
  packet.mHops = header.mHopCount;
  if (self == candidates.end()) {
    mCounters.mBadPackets.Add();
    return;
  }
  const auto decision = mCore.OnReceivedPacket(packet, MonotonicNow());
  mCurrentEntry = header.mType == PacketType::Forward ? aFrom : Address{};
  switch (decision.mAction) {
    case HuntingDecision::Action::Accept:
      Deliver(aPacket, mCurrentEntry);
      return;
    case HuntingDecision::Action::ForwardToCandidate:
      ForwardToCandidate(aPacket, decision.mCandidate);
      return;
    case HuntingDecision::Action::Refuse:
      mCounters.mFlowsRefused.Add();
      mEndpoint.Refuse(aPacket.mPayload, header.mCaller);
      return;
    case HuntingDecision::Action::Drop:
      mCounters.mDropped.Add();
      ResetStaleFlow(aPacket);
  }
}

void
AgentInstance::ResetStaleFlow(const Packet& aPacket)
{
  const auto invariants = ParseQuicInvariants(aPacket.mPayload);
  if (!invariants || invariants->mKind != QuicPacketKind::Short) {
    return;
  }
  const auto id = DecodeRouteId(invariants->mDestinationId, mKeys);
  if (id && id->mAgent == mControl.Board().mOwn.mAddress) {
    mEndpoint.SendStatelessReset(aPacket.mPayload, aPacket.mHeader.mCaller);
  }
}

ResetToken
AgentInstance::ResetTokenOf(std::span<const uint8_t> aId) const
{
  // The ID names the key slot, so the token stays the same during a key
  // rotation, while the old key is still installed.
  const uint8_t slot = aId.empty() ? 0 : aId[0] & 0x0f;
  std::vector<uint8_t> input(aId.begin(), aId.end());
  ResetToken token;
  for (uint8_t half = 0; half < 2; ++half) {
    input.push_back(half);
    const uint64_t tag = mKeys.Tag(slot, input).value_or(mFallbackTag);
    std::memcpy(token.data() + half * sizeof tag, &tag, sizeof tag);
  }
  return token;
}

void
AgentInstance::Deliver(const Packet& aPacket, const Address& aEntry)
{
  const Instant now = MonotonicNow();
  const Address& caller = aPacket.mHeader.mCaller;
  auto flow = mEndpoint.OnDatagram(aPacket.mPayload, caller, now);
  if (!flow) {
    flow = mEndpoint.Accept(aPacket.mPayload, caller, now);
    if (!flow) {
      mCounters.mFlowsRefused.Add();
      mEndpoint.Refuse(aPacket.mPayload, caller);
      return;
    }
    mCounters.mFlowsAccepted.Add();
  }
  if (!aEntry.IsNull()) {
    mReturnPaths.RecordContact(*flow, aEntry, now);
  }
}

void
AgentInstance::ForwardToCandidate(const Packet& aPacket, uint8_t aCandidate)
{
  PacketHeader header = aPacket.mHeader;
  header.mType = PacketType::DaisyChain;
  ++header.mHopCount;
  const Address to = header.mCandidates[aCandidate];
  const size_t length =
    EncodePacket(header, aPacket.mPayload, mSocket.Reserve(), mKeys);
  mSocket.Commit(length, to);
  mCounters.mForwardedToCandidate.Add();
}

void
AgentInstance::SendReply(std::span<const uint8_t> aPayload,
                         const Address& aCaller,
                         ConnectionHandle aFlow)
{
  // A null handle means that the datagram belongs to no connection.
  std::optional<Address> entry;
  if (aFlow == ConnectionHandle{} && !mCurrentEntry.IsNull()) {
    entry = mCurrentEntry;
  } else {
    entry = mReturnPaths.Choose(aFlow, MonotonicNow());
  }
  if (!entry) {
    mCounters.mNoReturnPath.Add();
    return;
  }
  PacketHeader header;
  header.mType = PacketType::Reply;
  header.mService = mControl.Board().mOwn.mService;
  header.mGeneration = mControl.CurrentGeneration();
  header.mCaller = aCaller;
  header.mLoad = Load();
  const size_t length =
    EncodePacket(header, aPayload, mSocket.Reserve(), mKeys);
  mSocket.Commit(length, *entry);
  mCounters.mReplies.Add();
}

LoadReport
AgentInstance::Load() const
{
  const AgentLoad load = mCore.Load(MonotonicNow());
  LoadReport report;
  report.mUsedSlots = EncodeShare(load.mInFlight, load.mLimit);
  report.mQueue = EncodeShare(load.mQueued, load.mQueueCapacity);
  report.mState = load.mAcceptsFlows ? AgentState::Ready : AgentState::Draining;
  return report;
}

} // namespace snipepost
