#include "tools/callers/Flow.h"

#include <array>
#include <chrono>
#include <utility>

#include <asio/post.hpp>

namespace snipepost::tools {

namespace {

namespace ip = asio::ip;

constexpr size_t kMaxDatagram = 2048;
// Limits how long reading from one flow delays the other flows.
constexpr int kMaxReadsPerWakeup = 64;
// The default windows would limit bulk downloads on links with 10 ms delay.
constexpr size_t kStreamWindow = size_t{ 512 } * 1024;
constexpr size_t kConnectionWindow = size_t{ 1024 } * 1024;

ip::udp::endpoint
ToEndpoint(const Address& aAddress)
{
  return { ip::address_v4(aAddress.mIp), aAddress.mPort };
}

QuicLimits
MakeLimits()
{
  QuicLimits limits;
  limits.mStreamWindow = kStreamWindow;
  limits.mConnectionWindow = kConnectionWindow;
  return limits;
}

std::chrono::steady_clock::time_point
ToSteady(Instant aInstant)
{
  return std::chrono::steady_clock::time_point(
    std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      aInstant.time_since_epoch()));
}

} // namespace

Instant
Now()
{
  return Instant(std::chrono::duration_cast<Duration>(
    std::chrono::steady_clock::now().time_since_epoch()));
}

Flow::Flow(asio::io_context& aContext,
           const Address& aService,
           FlowOwner& aOwner)
  : mSocket(aContext, ip::udp::endpoint(ip::address_v4::loopback(), 0))
  , mTimer(aContext)
  , mRemote(ToEndpoint(aService))
  , mOwner(aOwner)
{
  static const Credentials sCredentials = Credentials::ForInsecureClient();
  mSocket.non_blocking(true);
  const ip::udp::endpoint local = mSocket.local_endpoint();
  auto send = [this](std::span<const uint8_t> aBytes) {
    // A datagram that the socket does not accept counts as lost.
    asio::error_code ignored;
    mSocket.send_to(
      asio::buffer(aBytes.data(), aBytes.size()), mRemote, 0, ignored);
  };
  mConnection = std::make_unique<ClientConnection>(
    sCredentials,
    MakeLimits(),
    "snipepost",
    Address{ local.address().to_v4().to_uint(), local.port() },
    aService,
    send,
    *this,
    Now());
}

void
Flow::Start()
{
  WaitForDatagrams();
  ScheduleFlush();
}

std::optional<StreamId>
Flow::Submit(const HttpFields& aFields,
             std::span<const uint8_t> aBody,
             std::shared_ptr<ResponseEvents> aEvents)
{
  if (!IsUsable()) {
    return std::nullopt;
  }
  const auto stream = mConnection->Submit(aFields, aBody);
  if (stream) {
    mResponses[*stream] = std::move(aEvents);
    ScheduleFlush();
  }
  return stream;
}

void
Flow::Cancel(StreamId aStream)
{
  if (ExtractResponse(aStream)) {
    mConnection->Cancel(aStream);
    CloseIfIdle();
    ScheduleFlush();
  }
}

void
Flow::Retire()
{
  mRetired = true;
  CloseIfIdle();
}

void
Flow::Close()
{
  mRetired = true;
  mConnection->Close(Http3Error::NoError);
  ScheduleFlush();
}

void
Flow::Abandon()
{
  mAbandoned = true;
  Close();
}

void
Flow::CloseIfIdle()
{
  if (mRetired && mResponses.empty()) {
    Close();
  }
}

void
Flow::WaitForDatagrams()
{
  mSocket.async_wait(
    ip::udp::socket::wait_read,
    [self = shared_from_this()](const asio::error_code& aError) {
      if (!aError && !self->mClosed) {
        self->ReadSocket();
        self->WaitForDatagrams();
      }
    });
}

void
Flow::ReadSocket()
{
  std::array<uint8_t, kMaxDatagram> buffer;
  for (int i = 0; i < kMaxReadsPerWakeup; ++i) {
    asio::error_code error;
    ip::udp::endpoint from;
    const size_t size =
      mSocket.receive_from(asio::buffer(buffer), from, 0, error);
    if (error) {
      break;
    }
    if (from == mRemote) {
      mLastReceived = Now();
      mUnacknowledged.clear();
      mConnection->OnDatagram({ buffer.data(), size }, Now());
    }
  }
  FlushAndArmTimer();
}

void
Flow::ScheduleFlush()
{
  if (!mFlushScheduled && !mClosed) {
    mFlushScheduled = true;
    asio::post(mSocket.get_executor(),
               [self = shared_from_this()] { self->FlushAndArmTimer(); });
  }
}

void
Flow::FlushAndArmTimer()
{
  mFlushScheduled = false;
  if (mClosed) {
    return;
  }
  mConnection->Flush(Now());
  if (mClosed) {
    return;
  }
  const Instant next = mConnection->NextDeadline();
  if (next == Instant::max()) {
    mTimer.cancel();
    return;
  }
  mTimer.expires_at(ToSteady(next));
  mTimer.async_wait(
    [self = shared_from_this()](const asio::error_code& aError) {
      if (!aError && !self->mClosed) {
        self->mConnection->OnTimer(Now());
        self->FlushAndArmTimer();
      }
    });
}

std::shared_ptr<ResponseEvents>
Flow::ExtractResponse(StreamId aStream)
{
  auto node = mResponses.extract(aStream);
  return node.empty() ? nullptr : std::move(node.mapped());
}

void
Flow::OnConnected()
{
  mWasOpen = true;
  mOpenedAt = Now();
  mOwner.OnFlowOpened(*this);
}

void
Flow::OnClosed(ClientCloseReason aReason, uint64_t /* aErrorCode */)
{
  mClosed = true;
  mTimer.cancel();
  asio::error_code ignored;
  mSocket.close(ignored);
  mOwner.OnFlowClosed(
    *this, mAbandoned ? ClientCloseReason::TimedOut : aReason, mWasOpen);
}

void
Flow::OnResponseHeaders(StreamId aStream, const HttpFields& aFields)
{
  const auto found = mResponses.find(aStream);
  if (found != mResponses.end()) {
    found->second->OnHeaders(aFields);
  }
}

void
Flow::OnResponseBody(StreamId aStream, std::span<const uint8_t> aBytes)
{
  const auto found = mResponses.find(aStream);
  if (found != mResponses.end()) {
    found->second->OnBody(aBytes);
  }
}

void
Flow::OnResponseEnd(StreamId aStream)
{
  if (auto events = ExtractResponse(aStream)) {
    events->OnEnd();
    mOwner.OnStreamFreed(*this);
    CloseIfIdle();
  }
}

void
Flow::OnRejected(StreamId aStream)
{
  if (auto events = ExtractResponse(aStream)) {
    events->OnRejected();
    mOwner.OnStreamFreed(*this);
    CloseIfIdle();
  }
}

void
Flow::OnResponseBroken(StreamId aStream, uint64_t /* aErrorCode */)
{
  if (auto events = ExtractResponse(aStream)) {
    events->OnBroken();
    mOwner.OnStreamFreed(*this);
    CloseIfIdle();
  }
}

void
Flow::OnGoaway(StreamId /* aFirstUnprocessed */)
{
  if (!mRetired) {
    mRetired = true;
    mOwner.OnFlowRetired(*this);
  }
}

} // namespace snipepost::tools
