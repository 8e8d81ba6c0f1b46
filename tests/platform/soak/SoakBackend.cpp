#include "tests/platform/soak/SoakBackend.h"

#include <charconv>

#include <boost/json.hpp>

#include "platform/PacketCodec.h"
#include "tests/platform/soak/FlowSegment.h"

namespace snipepost::soak {

using namespace std::chrono_literals;

namespace {

constexpr Duration kBeatInterval = 500ms;
constexpr Duration kBeatTimeout = 1s;
constexpr Duration kCold = 2s;
constexpr Duration kFirstRepeat = 200ms;
constexpr Duration kLongestRepeat = 1600ms;
constexpr uint32_t kMostRepeats = 8;
constexpr size_t kMaxSegments = 3;
constexpr size_t kSegmentBytes = 1000;

/// Incarnations are numbered over all backend servers of a soak.
uint64_t
NextLife()
{
  static uint64_t sLast = 0;
  return ++sLast;
}

uint64_t
WallMs()
{
  return static_cast<uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

/// Reads "order attempt repeatable".
RequestId
ParseRequest(const std::string& aText)
{
  RequestId id;
  const char* end = aText.data() + aText.size();
  const auto order = std::from_chars(aText.data(), end, id.mOrder);
  const auto attempt = std::from_chars(order.ptr + 1, end, id.mAttempt);
  id.mRepeatable = attempt.ptr + 1 < end && attempt.ptr[1] == 'r';
  return id;
}

} // namespace

SoakBackend::SoakBackend(asio::io_context& aContext,
                         const Layout& aLayout,
                         size_t aAgent,
                         Promises& aPromises,
                         uint64_t aSeed)
  : mContext(aContext)
  , mLayout(aLayout)
  , mAgent(aAgent)
  , mPromises(aPromises)
  , mRandom(aSeed)
  , mSocket(aContext, aLayout.Backend(aAgent))
{
  mSocket.Start(*this);
}

void
SoakBackend::Start(bool aSameId)
{
  mAlive = true;
  mDraining = false;
  mLeaveAt.reset();
  mLife = LifeId(NextLife());
  mBorn = std::max(WallMs(), mBorn + 1);
  mSequence = 0;
  if (!aSameId || mId.empty()) {
    mId = "i-" + std::to_string(mLife.Value());
  }
  mColdUntil = mPromises.Now() + kCold;
  mNextBeat = mPromises.Now();
  mPromises.OnStarted(mLife, kCold);
  Beat();
}

void
SoakBackend::Crash()
{
  if (!mAlive) {
    return;
  }
  mAlive = false;
  mPromises.OnEnded(mLife);
  mFlows.clear();
  mQueue.clear();
  mRunning = 0;
  mControl.reset();
}

void
SoakBackend::Leave()
{
  mDraining = true;
  mLeaveAt = mPromises.Now() + Promises::kDrainBound + 500ms;
  Beat();
}

void
SoakBackend::Beat()
{
  mNextBeat = mPromises.Now() + kBeatInterval;
  const auto cold = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::max(Duration::zero(), mColdUntil - mPromises.Now()));
  const boost::json::object body = {
    { "service", Layout::ServiceOf(mAgent) },
    { "address", ToString(mLayout.Backend(mAgent)) },
    { "zone",
      Layout::DomainName(Layout::DomainOf(Layout::NodeOfAgent(mAgent))) },
    { "version", "v1" },
    { "concurrency", kSlots },
    { "state", mDraining ? "draining" : "ready" },
    { "cold_remaining_ms", cold.count() },
    { "sequence", ++mSequence },
    { "born", mBorn },
  };
  if (!mControl) {
    mControl = std::make_unique<http1::Client>(
      mContext, mLayout.Real(Layout::NodeOfAgent(mAgent), Layout::kControl));
  }
  mControl->Call({ "POST",
                   "/-/instances/" + mId + "/heartbeat",
                   boost::json::serialize(body) },
                 kBeatTimeout,
                 [this, life = mLife, draining = mDraining](
                   http1::Result aResult, const http1::Response& aResponse) {
                   if (draining && aResult == http1::Result::Ok &&
                       aResponse.mStatus / 100 == 2) {
                     mPromises.OnDrainAcknowledged(life);
                   }
                 });
}

void
SoakBackend::Deregister()
{
  const std::string path = "/-/instances/" + mId + "/deregister";
  const auto client = std::make_shared<http1::Client>(
    mContext, mLayout.Real(Layout::NodeOfAgent(mAgent), Layout::kControl));
  client->Call({ "POST", path, {} },
               kBeatTimeout,
               [client](http1::Result, const http1::Response&) {});
}

void
SoakBackend::OnDatagram(std::span<const uint8_t> aBytes, const Address&)
{
  if (!mAlive) {
    return;
  }
  const auto packet = platform::DecodePacket(aBytes);
  if (!packet || OriginOf(aBytes) != Origin::End || packet->IsSynAck()) {
    mPromises.Violate("unchanged", "a backend server got a forged packet");
    return;
  }
  if (packet->IsSyn()) {
    OnSyn(*packet, aBytes);
    return;
  }
  const flow::FlowTuple id = flow::CallerFlow(*packet);
  const auto found = mFlows.find(id);
  if (found == mFlows.end()) {
    ReturnPacket(aBytes);
    return;
  }
  Flow& flow = found->second;
  if (!flow.mOpen) {
    if (packet->mAcknowledgement != flow.mOwnSequence + 1) {
      ReturnPacket(aBytes); // The caller chose another backend server.
      return;
    }
    flow.mOpen = true;
    mPromises.OnOpened(mLife, id, flow.mOwnSequence);
  }
  flow.mAcknowledged = packet->mAcknowledgement - flow.mOwnSequence - 1;
  if (flow.mEnded) {
    SendControl(id, flow, packet->mLength > 0);
    return;
  }
  const bool answered = !flow.mResponse.empty();
  if (answered && flow.mAcknowledged > flow.mResponse.size() * kSegmentBytes) {
    flow.mEnded = true;
    mPromises.OnClosed(mLife, id);
    SendControl(id, flow, false);
    return;
  }
  if (packet->mLength > 0) {
    flow.mCallerNext = packet->mSequence + packet->mLength;
    OnRequest(id, flow, DataOf(aBytes));
  }
}

void
SoakBackend::OnSyn(const flow::Packet& aPacket, std::span<const uint8_t> aBytes)
{
  const flow::FlowTuple id = flow::CallerFlow(aPacket);
  const auto found = mFlows.find(id);
  const bool known =
    found != mFlows.end() && found->second.mCallerSequence == aPacket.mSequence;
  if (!known) {
    mPromises.OnOpening(
      mLife,
      Layout::ServiceOf(mAgent),
      Layout::DomainName(Layout::DomainOf(Layout::NodeOfAgent(mAgent))),
      id);
    if (mRunning + mQueue.size() >= kSlots + kQueue) {
      ReturnPacket(aBytes);
      return;
    }
    Flow flow;
    flow.mCallerSequence = aPacket.mSequence;
    flow.mOwnSequence = static_cast<uint32_t>(mRandom.Below(1U << 31));
    flow.mCallerNext = aPacket.mSequence + 1;
    mFlows[id] = flow;
  }
  FlowSegment answer;
  answer.mFrom = id.mService;
  answer.mTo = id.mCaller;
  answer.mSequence = mFlows[id].mOwnSequence;
  answer.mAck = aPacket.mSequence + 1;
  answer.mSyn = true;
  answer.mHasAck = true;
  ToAgent(Encode(answer));
}

void
SoakBackend::OnRequest(const flow::FlowTuple& aId,
                       Flow& aFlow,
                       const std::string& aText)
{
  SendControl(aId, aFlow, false);
  if (aFlow.mAsked) {
    return;
  }
  aFlow.mAsked = true;
  mQueue.push_back({ aId, aText });
  RunNext();
}

void
SoakBackend::RunNext()
{
  if (mQueue.empty() || mRunning >= kSlots) {
    return;
  }
  const Job job = mQueue.front();
  mQueue.pop_front();
  ++mRunning;
  mPromises.OnRun(mLife, ParseRequest(job.mText));
  const auto timer = std::make_shared<asio::steady_timer>(mContext);
  const bool cold = mPromises.Now() < mColdUntil;
  timer->expires_after(mRandom.Jittered(cold ? 40ms : 25ms, 0.8));
  timer->async_wait(
    [this, timer, job, life = mLife](const asio::error_code& aError) {
      if (!aError && mAlive && life == mLife) {
        --mRunning;
        Finish(job);
        RunNext();
      }
    });
}

void
SoakBackend::Finish(const Job& aJob)
{
  const auto found = mFlows.find(aJob.mFlow);
  if (found == mFlows.end()) {
    return;
  }
  Flow& flow = found->second;
  const size_t segments = 1 + mRandom.Below(kMaxSegments);
  const uint64_t attempt = ParseRequest(aJob.mText).mAttempt;
  for (size_t i = 0; i < segments; ++i) {
    std::string data = std::to_string(attempt) + ' ' + std::to_string(i) + ' ' +
                       std::to_string(segments) + '\n';
    data.resize(kSegmentBytes, '.');
    flow.mResponse.push_back(std::move(data));
  }
  flow.mInterval = kFirstRepeat;
  flow.mNextRepeat = mPromises.Now() + flow.mInterval;
  SendResponse(aJob.mFlow, flow);
}

void
SoakBackend::SendResponse(const flow::FlowTuple& aId, const Flow& aFlow)
{
  for (size_t i = 0; i < aFlow.mResponse.size(); ++i) {
    const auto offset = static_cast<uint32_t>(i * kSegmentBytes);
    if (offset + kSegmentBytes <= aFlow.mAcknowledged) {
      continue;
    }
    FlowSegment segment;
    segment.mFrom = aId.mService;
    segment.mTo = aId.mCaller;
    segment.mSequence = aFlow.mOwnSequence + 1 + offset;
    segment.mAck = aFlow.mCallerNext;
    segment.mHasAck = true;
    segment.mFin = i + 1 == aFlow.mResponse.size();
    segment.mData = aFlow.mResponse[i];
    ToAgent(Encode(segment));
  }
}

void
SoakBackend::SendControl(const flow::FlowTuple& aId,
                         const Flow& aFlow,
                         bool aReset)
{
  FlowSegment segment;
  segment.mFrom = aId.mService;
  segment.mTo = aId.mCaller;
  segment.mSequence = aFlow.mOwnSequence + 1;
  segment.mAck = aFlow.mCallerNext;
  segment.mHasAck = !aReset;
  segment.mReset = aReset;
  ToAgent(Encode(segment));
}

void
SoakBackend::ReturnPacket(std::span<const uint8_t> aBytes)
{
  ToAgent(Returned(aBytes));
}

void
SoakBackend::ToAgent(std::span<const uint8_t> aBytes)
{
  mSocket.Send(aBytes,
               mLayout.Real(Layout::NodeOfAgent(mAgent), Layout::kOutbound));
  mSocket.Flush();
}

void
SoakBackend::Tick()
{
  const Instant now = mPromises.Now();
  if (!mAlive) {
    return;
  }
  if (mLeaveAt && now >= *mLeaveAt) {
    Deregister();
    Crash();
    return;
  }
  if (now >= mNextBeat) {
    Beat();
  }
  for (auto& [id, flow] : mFlows) {
    const bool waits = !flow.mResponse.empty() && !flow.mEnded;
    if (waits && now >= flow.mNextRepeat && flow.mRepeats < kMostRepeats) {
      ++flow.mRepeats;
      flow.mInterval = std::min(flow.mInterval * 2, Duration(kLongestRepeat));
      flow.mNextRepeat = now + flow.mInterval;
      SendResponse(id, flow);
    }
  }
}

} // namespace snipepost::soak
