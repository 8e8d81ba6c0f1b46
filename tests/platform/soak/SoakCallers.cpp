#include "tests/platform/soak/SoakCallers.h"

#include <charconv>

#include "platform/PacketCodec.h"
#include "tests/platform/soak/FlowSegment.h"

namespace snipepost::soak {

using namespace std::chrono_literals;

namespace {

constexpr std::array<Duration, 2> kCopies = { 200ms, 600ms };
constexpr Duration kOpenLimit = 1400ms;
constexpr Duration kTimeLimit = 2500ms;
constexpr Duration kFirstRepeat = 200ms;
constexpr Duration kLongestRepeat = 1600ms;
/// How long a finished flow still answers packets of its backend server.
constexpr Duration kLinger = 4s;
constexpr uint32_t kTries = 3;

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

SoakCallers::Side::Side(SoakCallers& aCallers, size_t aDomain)
  : mCallers(aCallers)
  , mSocket(aCallers.mContext, aCallers.mLayout.Caller(aDomain))
{
  mSocket.Start(*this);
}

void
SoakCallers::Side::OnDatagram(std::span<const uint8_t> aBytes, const Address&)
{
  mCallers.OnPacket(aBytes);
}

void
SoakCallers::Side::Send(std::span<const uint8_t> aBytes, const Address& aTo)
{
  mSocket.Send(aBytes, aTo);
  mSocket.Flush();
}

SoakCallers::SoakCallers(asio::io_context& aContext,
                         const Layout& aLayout,
                         const LinkFaults& aFaults,
                         const SoakRouter& aRouter,
                         Promises& aPromises,
                         uint64_t aSeed)
  : mContext(aContext)
  , mLayout(aLayout)
  , mFaults(aFaults)
  , mRouter(aRouter)
  , mPromises(aPromises)
  , mRandom(aSeed)
  , mLastTick(aPromises.Now())
{
  for (size_t domain = 0; domain < Layout::kDomains; ++domain) {
    mSides[domain] = std::make_unique<Side>(*this, domain);
  }
}

void
SoakCallers::Ask(size_t aDomain)
{
  Attempt attempt;
  attempt.mRoute = mRoutes[mRandom.Below(mRoutes.size())];
  attempt.mRequest.mOrder = ++mNextOrder;
  attempt.mRequest.mRepeatable = attempt.mRoute.mRepeatable;
  attempt.mTriesLeft = kTries;
  attempt.mDomain = aDomain;
  ++mAsked;
  StartAttempt(attempt);
}

void
SoakCallers::StartAttempt(Attempt aAttempt)
{
  Attempt next;
  next.mRequest = aAttempt.mRequest;
  next.mRequest.mAttempt = ++mNextAttempt;
  next.mRoute = aAttempt.mRoute;
  next.mTriesLeft = aAttempt.mTriesLeft - 1;
  next.mDomain = aAttempt.mDomain;
  next.mFlow.mCaller = mLayout.Caller(next.mDomain);
  next.mFlow.mCaller.mPort = mNextPort++;
  if (mNextPort == 0) {
    mNextPort = 1024;
  }
  next.mFlow.mService = next.mRoute.mAddress;
  next.mStart = mPromises.Now();
  next.mSequence = static_cast<uint32_t>(mRandom.Below(1U << 31));
  mPromises.OnAsked(next.mFlow);
  Attempt& kept = mAttempts[next.mFlow] = std::move(next);
  SendSyn(kept);
}

void
SoakCallers::Send(const Attempt& aAttempt, std::span<const uint8_t> aBytes)
{
  if (mRandom.Chance(mFaults.Loss())) {
    return;
  }
  const size_t entry = mRouter.EntryFor(aAttempt.mFlow, aAttempt.mDomain);
  mSides[aAttempt.mDomain]->Send(aBytes, mLayout.Real(entry, Layout::kPackets));
}

void
SoakCallers::SendSyn(Attempt& aAttempt)
{
  FlowSegment segment;
  segment.mFrom = aAttempt.mFlow.mCaller;
  segment.mTo = aAttempt.mFlow.mService;
  segment.mSequence = aAttempt.mSequence;
  segment.mAck = aAttempt.mCopies;
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
  segment.mData = std::to_string(aAttempt.mRequest.mOrder) + ' ' +
                  std::to_string(aAttempt.mRequest.mAttempt) + ' ' +
                  (aAttempt.mRequest.mRepeatable ? "r" : "u");
  Send(aAttempt, Encode(segment));
}

void
SoakCallers::SendAck(Attempt& aAttempt, bool aFin)
{
  size_t whole = 0;
  uint32_t acknowledged = aAttempt.mBackendSequence + 1;
  while (aAttempt.mSegments.contains(whole)) {
    acknowledged += static_cast<uint32_t>(aAttempt.mSegments[whole].size());
    ++whole;
  }
  FlowSegment segment;
  segment.mFrom = aAttempt.mFlow.mCaller;
  segment.mTo = aAttempt.mFlow.mService;
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
  if (!packet || origin == Origin::Forged || packet->mReturned) {
    mPromises.Violate("unchanged", "a caller got a forged packet");
    return;
  }
  const flow::FlowTuple id = flow::BackendFlow(*packet);
  const auto found = mAttempts.find(id);
  if (found == mAttempts.end()) {
    return; // Given up some time ago.
  }
  Attempt& attempt = found->second;
  if (packet->mReset) {
    if (origin == Origin::System) {
      mPromises.OnSystemReset(id);
    }
    if (!attempt.mDone) {
      Fail(attempt);
    }
    return;
  }
  if (packet->IsSynAck()) {
    if (!attempt.mOpen && !attempt.mDone) {
      attempt.mOpen = true;
      attempt.mBackendSequence = packet->mSequence;
      attempt.mInterval = kFirstRepeat;
      attempt.mNextRepeat = mPromises.Now() + kFirstRepeat;
      SendRequest(attempt);
    }
    return;
  }
  if (!attempt.mOpen) {
    return;
  }
  OnData(attempt, *packet, DataOf(aBytes));
}

void
SoakCallers::OnData(Attempt& aAttempt,
                    const flow::Packet& aPacket,
                    std::string aData)
{
  aAttempt.mTaken =
    aAttempt.mTaken || aPacket.mAcknowledgement > aAttempt.mSequence + 1;
  if (aData.empty()) {
    return;
  }
  const SegmentHeader header = ParseSegment(aData);
  if (header.mAttempt != aAttempt.mRequest.mAttempt) {
    mPromises.Violate("own answer",
                      "attempt " + std::to_string(aAttempt.mRequest.mAttempt) +
                        " got the answer of " +
                        std::to_string(header.mAttempt));
    return;
  }
  aAttempt.mSegments[header.mPosition] = std::move(aData);
  aAttempt.mExpected = header.mCount;
  if (!aAttempt.mDone && aAttempt.mSegments.size() == aAttempt.mExpected) {
    aAttempt.mDone = true;
    ++mServed;
    if (aAttempt.mRoute.mExpected) {
      mPromises.OnOutcome(true);
    }
  }
  SendAck(aAttempt, aAttempt.mDone);
}

void
SoakCallers::Fail(Attempt& aAttempt)
{
  aAttempt.mDone = true;
  const bool again = aAttempt.mTriesLeft > 0 &&
                     (aAttempt.mRequest.mRepeatable || !aAttempt.mOpen);
  if (!again) {
    if (aAttempt.mRoute.mExpected) {
      mPromises.OnOutcome(false);
    }
    return;
  }
  // A copy: the map may move what the reference names.
  const Attempt failed = aAttempt;
  StartAttempt(failed);
}

void
SoakCallers::StepAttempt(Attempt& aAttempt)
{
  const Duration age = mPromises.Now() - aAttempt.mStart;
  if (aAttempt.mDone) {
    return;
  }
  if (!aAttempt.mOpen) {
    if (age > kOpenLimit) {
      Fail(aAttempt);
    } else if (aAttempt.mCopies < kCopies.size() &&
               age > kCopies[aAttempt.mCopies]) {
      ++aAttempt.mCopies;
      SendSyn(aAttempt);
    }
    return;
  }
  if (age > kTimeLimit) {
    Fail(aAttempt);
    return;
  }
  if (!aAttempt.mTaken && mPromises.Now() >= aAttempt.mNextRepeat) {
    aAttempt.mInterval =
      std::min(aAttempt.mInterval * 2, Duration(kLongestRepeat));
    aAttempt.mNextRepeat = mPromises.Now() + aAttempt.mInterval;
    SendRequest(aAttempt);
  }
}

void
SoakCallers::Tick()
{
  const Instant now = mPromises.Now();
  const double seconds = std::chrono::duration<double>(now - mLastTick).count();
  mLastTick = now;
  for (size_t domain = 0; domain < Layout::kDomains; ++domain) {
    mOwed[domain] += mRate * seconds;
    for (; mOwed[domain] >= 1.0; mOwed[domain] -= 1.0) {
      Ask(domain);
    }
  }
  std::erase_if(mAttempts, [now](const auto& aEntry) {
    return aEntry.second.mDone && now - aEntry.second.mStart > kLinger;
  });
  std::vector<flow::FlowTuple> flows;
  for (const auto& [id, attempt] : mAttempts) {
    flows.push_back(id);
  }
  for (const flow::FlowTuple& id : flows) {
    StepAttempt(mAttempts[id]);
  }
}

} // namespace snipepost::soak
