#include "tests/platform/soak/SoakCallers.h"

#include <charconv>

#include "platform/PacketCodec.h"
#include "tests/platform/soak/FlowSegment.h"

namespace snipepost::soak {

using namespace std::chrono_literals;

namespace {

constexpr std::array<Duration, 2> kSynRetransmitTimes = { 200ms, 600ms };
constexpr Duration kConnectTimeout = 1400ms;
constexpr Duration kRequestTimeout = 2500ms;
constexpr Duration kInitialRetransmitInterval = 200ms;
constexpr Duration kMaxRetransmitInterval = 1600ms;
/// Age up to which a finished flow is kept, to acknowledge retransmissions of
/// its backend server.
constexpr Duration kLinger = 4s;
constexpr uint32_t kMaxAttempts = 3;

/// Numbers at the start of a response segment: attempt, position, count.
struct SegmentHeader
{
  uint64_t mAttempt = 0;
  size_t mPosition = 0;
  size_t mCount = 0;
};

SegmentHeader
ParseSegment(const std::string& aData)
{
  SegmentHeader header;
  const char* end = aData.data() + aData.size();
  auto at = std::from_chars(aData.data(), end, header.mAttempt);
  at = std::from_chars(at.ptr + 1, end, header.mPosition);
  std::from_chars(at.ptr + 1, end, header.mCount);
  return header;
}

} // namespace

SoakCallers::DomainSocket::DomainSocket(SoakCallers& aCallers, size_t aDomain)
  : mCallers(aCallers)
  , mSocket(aCallers.mContext, aCallers.mLayout.Caller(aDomain))
{
  mSocket.Start(*this);
}

void
SoakCallers::DomainSocket::OnDatagram(std::span<const uint8_t> aBytes,
                                      const Address&)
{
  mCallers.OnPacket(aBytes);
}

void
SoakCallers::DomainSocket::Send(std::span<const uint8_t> aBytes,
                                const Address& aTo)
{
  mSocket.Send(aBytes, aTo);
  mSocket.Flush();
}

SoakCallers::SoakCallers(asio::io_context& aContext,
                         const Layout& aLayout,
                         const LinkFaults& aFaults,
                         const SoakRouter& aRouter,
                         InvariantChecker& aInvariants,
                         uint64_t aSeed)
  : mContext(aContext)
  , mLayout(aLayout)
  , mFaults(aFaults)
  , mRouter(aRouter)
  , mInvariants(aInvariants)
  , mRandom(aSeed)
  , mLastTick(aInvariants.Now())
{
  for (size_t domain = 0; domain < Layout::kDomains; ++domain) {
    mDomainSockets[domain] = std::make_unique<DomainSocket>(*this, domain);
  }
}

void
SoakCallers::StartRequest(size_t aDomain)
{
  Attempt attempt;
  attempt.mRoute = mRoutes[mRandom.Below(mRoutes.size())];
  attempt.mRequest.mNumber = ++mLastRequest;
  attempt.mRequest.mIdempotent = attempt.mRoute.mIdempotent;
  attempt.mAttemptsLeft = kMaxAttempts;
  attempt.mDomain = aDomain;
  ++mRequests;
  StartAttempt(attempt);
}

void
SoakCallers::StartAttempt(Attempt aAttempt)
{
  Attempt next;
  next.mRequest = aAttempt.mRequest;
  next.mRequest.mAttempt = ++mLastAttempt;
  next.mRoute = aAttempt.mRoute;
  next.mAttemptsLeft = aAttempt.mAttemptsLeft - 1;
  next.mDomain = aAttempt.mDomain;
  next.mFlow.mCaller = mLayout.Caller(next.mDomain);
  next.mFlow.mCaller.mPort = mNextPort++;
  if (mNextPort == 0) {
    mNextPort = 1024;
  }
  next.mFlow.mService = next.mRoute.mAddress;
  next.mStart = mInvariants.Now();
  next.mSequence = static_cast<uint32_t>(mRandom.Below(1U << 31));
  mInvariants.OnSynSent(next.mFlow);
  Attempt& stored = mAttempts[next.mFlow] = std::move(next);
  SendSyn(stored);
}

void
SoakCallers::Send(const Attempt& aAttempt, std::span<const uint8_t> aBytes)
{
  if (mRandom.Chance(mFaults.LossRate())) {
    return;
  }
  const size_t entry = mRouter.EntryFor(aAttempt.mFlow, aAttempt.mDomain);
  mDomainSockets[aAttempt.mDomain]->Send(
    aBytes, mLayout.BindAddress(entry, Layout::kPacketPort));
}

void
SoakCallers::SendSyn(Attempt& aAttempt)
{
  FlowSegment segment;
  segment.mFrom = aAttempt.mFlow.mCaller;
  segment.mTo = aAttempt.mFlow.mService;
  segment.mSequence = aAttempt.mSequence;
  // In a SYN this field has the number of the retransmission.
  segment.mAck = aAttempt.mSynRetransmissions;
  segment.mSyn = true;
  Send(aAttempt, Encode(segment));
}

void
SoakCallers::SendRequest(Attempt& aAttempt)
{
  FlowSegment segment;
  segment.mFrom = aAttempt.mFlow.mCaller;
  segment.mTo = aAttempt.mFlow.mService;
  segment.mSequence = aAttempt.mSequence + 1;
  segment.mAck = aAttempt.mBackendSequence + 1;
  segment.mHasAck = true;
  segment.mData = std::to_string(aAttempt.mRequest.mNumber) + ' ' +
                  std::to_string(aAttempt.mRequest.mAttempt) + ' ' +
                  (aAttempt.mRequest.mIdempotent ? "r" : "u");
  Send(aAttempt, Encode(segment));
}

void
SoakCallers::SendAck(Attempt& aAttempt, bool aFin)
{
  size_t received = 0;
  uint32_t acknowledged = aAttempt.mBackendSequence + 1;
  while (aAttempt.mSegments.contains(received)) {
    acknowledged += static_cast<uint32_t>(aAttempt.mSegments[received].size());
    ++received;
  }
  FlowSegment segment;
  segment.mFrom = aAttempt.mFlow.mCaller;
  segment.mTo = aAttempt.mFlow.mService;
  // Any number after the request; backend servers ignore that of an empty
  // packet.
  segment.mSequence = aAttempt.mSequence + 1000;
  segment.mAck = acknowledged + (aAttempt.mDone ? 1 : 0);
  segment.mHasAck = true;
  segment.mFin = aFin;
  Send(aAttempt, Encode(segment));
}

void
SoakCallers::OnPacket(std::span<const uint8_t> aBytes)
{
  const auto packet = platform::DecodePacket(aBytes);
  const Origin origin = OriginOf(aBytes);
  if (!packet || origin == Origin::Unknown || packet->mReturned) {
    mInvariants.ReportViolation(
      "unchanged", "a caller received a modified or unexpected packet");
    return;
  }
  const flow::FlowTuple tuple = flow::BackendFlow(*packet);
  const auto found = mAttempts.find(tuple);
  if (found == mAttempts.end()) {
    return; // Finished and already removed.
  }
  Attempt& attempt = found->second;
  if (packet->mReset) {
    if (origin == Origin::LoadBalancer) {
      mInvariants.OnLoadBalancerReset(tuple);
    }
    if (!attempt.mDone) {
      Fail(attempt);
    }
    return;
  }
  if (packet->IsSynAck()) {
    if (!attempt.mEstablished && !attempt.mDone) {
      attempt.mEstablished = true;
      attempt.mBackendSequence = packet->mSequence;
      attempt.mRetransmitInterval = kInitialRetransmitInterval;
      attempt.mNextRetransmit = mInvariants.Now() + kInitialRetransmitInterval;
      SendRequest(attempt);
    }
    return;
  }
  if (!attempt.mEstablished) {
    return;
  }
  OnData(attempt, *packet, DataOf(aBytes));
}

void
SoakCallers::OnData(Attempt& aAttempt,
                    const flow::Packet& aPacket,
                    std::string aData)
{
  aAttempt.mRequestAcknowledged =
    aAttempt.mRequestAcknowledged ||
    aPacket.mAcknowledgement > aAttempt.mSequence + 1;
  if (aData.empty()) {
    return;
  }
  const SegmentHeader header = ParseSegment(aData);
  if (header.mAttempt != aAttempt.mRequest.mAttempt) {
    mInvariants.ReportViolation(
      "own answer",
      "attempt " + std::to_string(aAttempt.mRequest.mAttempt) +
        " received the response to attempt " + std::to_string(header.mAttempt));
    return;
  }
  aAttempt.mSegments[header.mPosition] = std::move(aData);
  aAttempt.mSegmentCount = header.mCount;
  if (!aAttempt.mDone && aAttempt.mSegments.size() == aAttempt.mSegmentCount) {
    aAttempt.mDone = true;
    ++mServed;
    if (aAttempt.mRoute.mConfigured) {
      mInvariants.OnOutcome(true);
    }
  }
  SendAck(aAttempt, aAttempt.mDone);
}

void
SoakCallers::Fail(Attempt& aAttempt)
{
  aAttempt.mDone = true;
  const bool retry = aAttempt.mAttemptsLeft > 0 &&
                     (aAttempt.mRequest.mIdempotent || !aAttempt.mEstablished);
  if (!retry) {
    if (aAttempt.mRoute.mConfigured) {
      mInvariants.OnOutcome(false);
    }
    return;
  }
  // Copied, since StartAttempt() may modify the map that aAttempt refers into.
  const Attempt failed = aAttempt;
  StartAttempt(failed);
}

void
SoakCallers::TickAttempt(Attempt& aAttempt)
{
  const Duration age = mInvariants.Now() - aAttempt.mStart;
  if (aAttempt.mDone) {
    return;
  }
  if (!aAttempt.mEstablished) {
    if (age > kConnectTimeout) {
      Fail(aAttempt);
    } else if (aAttempt.mSynRetransmissions < kSynRetransmitTimes.size() &&
               age > kSynRetransmitTimes[aAttempt.mSynRetransmissions]) {
      ++aAttempt.mSynRetransmissions;
      SendSyn(aAttempt);
    }
    return;
  }
  if (age > kRequestTimeout) {
    Fail(aAttempt);
    return;
  }
  if (!aAttempt.mRequestAcknowledged &&
      mInvariants.Now() >= aAttempt.mNextRetransmit) {
    aAttempt.mRetransmitInterval = std::min(aAttempt.mRetransmitInterval * 2,
                                            Duration(kMaxRetransmitInterval));
    aAttempt.mNextRetransmit = mInvariants.Now() + aAttempt.mRetransmitInterval;
    SendRequest(aAttempt);
  }
}

void
SoakCallers::Tick()
{
  const Instant now = mInvariants.Now();
  const double seconds = std::chrono::duration<double>(now - mLastTick).count();
  mLastTick = now;
  for (size_t domain = 0; domain < Layout::kDomains; ++domain) {
    mRequestsDue[domain] += mRate * seconds;
    for (; mRequestsDue[domain] >= 1.0; mRequestsDue[domain] -= 1.0) {
      StartRequest(domain);
    }
  }
  std::erase_if(mAttempts, [now](const auto& aItem) {
    return aItem.second.mDone && now - aItem.second.mStart > kLinger;
  });
  std::vector<flow::FlowTuple> flows;
  for (const auto& [tuple, attempt] : mAttempts) {
    flows.push_back(tuple);
  }
  for (const flow::FlowTuple& tuple : flows) {
    TickAttempt(mAttempts[tuple]);
  }
}

} // namespace snipepost::soak
