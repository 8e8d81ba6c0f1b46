#include "ClientConnection.h"

#include <algorithm>
#include <charconv>

namespace snipepost::http2 {

namespace {

// A response with a larger header list indicates a faulty peer; its stream is
// reset.
constexpr size_t kMaxHeaderBytes = 64UL * 1024;

// Overhead of each field in the header list size of RFC 9113 section 6.5.2.
constexpr size_t kFieldOverhead = 32;

} // namespace

ClientConnection::ClientConnection(asio::io_context& aContext,
                                   const ClientOptions& aOptions,
                                   EndCallback aOnEnd)
  : Connection(asio::ip::tcp::socket(aContext))
  , mOptions(aOptions)
  , mOnEnd(std::move(aOnEnd))
  , mConnectTimer(aContext)
{
}

void
ClientConnection::Connect(const Address& aServer)
{
  auto self = std::static_pointer_cast<ClientConnection>(shared_from_this());
  mConnectTimer.expires_after(mOptions.mConnectTimeout);
  mConnectTimer.async_wait([self](const asio::error_code& aError) {
    if (!aError) {
      self->Abort();
    }
  });
  Socket().async_connect(ToEndpoint(aServer),
                         [self](const asio::error_code& aError) {
                           self->mConnectTimer.cancel();
                           if (self->Closed()) {
                             return;
                           }
                           if (aError) {
                             self->Abort();
                             return;
                           }
                           self->OnConnected();
                         });
}

void
ClientConnection::OnConnected()
{
  StartSession(Side::Client,
               { { NGHTTP2_SETTINGS_ENABLE_PUSH, 0 },
                 { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
                   static_cast<uint32_t>(mOptions.mStreamWindow) } });
  for (const auto& stream : std::exchange(mQueued, {})) {
    Submit(stream);
  }
}

void
ClientConnection::Submit(const StreamPointer& aStream)
{
  if (Session() == nullptr) {
    mQueued.push_back(aStream);
    return;
  }
  const Request& request = aStream->mRequest;
  const std::string_view host = FindHeader(request.mHeaders, "host");
  const std::string_view authority = host.empty() ? "localhost" : host;
  FieldList fields;
  fields.Add(":method", request.mMethod);
  fields.Add(":scheme", "http");
  fields.Add(":authority", authority);
  fields.Add(":path", request.mPath);
  fields.Add(request.mHeaders);
  const auto provider = BodyProvider();
  const bool hasBody = !aStream->mBody.Drained();
  aStream->mStreamId = nghttp2_submit_request(Session(),
                                              nullptr,
                                              fields.Data(),
                                              fields.Size(),
                                              hasBody ? &provider : nullptr,
                                              nullptr);
  if (aStream->mStreamId < 0) {
    // Out of stream IDs: the next request opens a new connection.
    mGoingAway = true;
    End(aStream, Result::NotSent);
    return;
  }
  mStreams[aStream->mStreamId] = aStream;
  ScheduleFlush();
}

void
ClientConnection::Reset(const StreamPointer& aStream)
{
  std::erase(mQueued, aStream);
  if (mStreams.erase(aStream->mStreamId) > 0 && !Closed()) {
    nghttp2_submit_rst_stream(
      Session(), NGHTTP2_FLAG_NONE, aStream->mStreamId, NGHTTP2_CANCEL);
    ScheduleFlush();
  }
}

void
ClientConnection::ResumeBody(const StreamPointer& aStream)
{
  if (!Closed() && aStream->mBody.TakeDeferred()) {
    nghttp2_session_resume_data(Session(), aStream->mStreamId);
    ScheduleFlush();
  }
}

void
ClientConnection::Consume(const StreamPointer& aStream, size_t aBytes)
{
  const size_t count = std::min(aBytes, aStream->mUnconsumed);
  aStream->mUnconsumed -= count;
  if (!Closed() && Session() != nullptr && count > 0) {
    nghttp2_session_consume_stream(Session(), aStream->mStreamId, count);
    ScheduleFlush();
  }
}

ClientConnection::StreamPointer
ClientConnection::Find(int32_t aStreamId) const
{
  const auto found = mStreams.find(aStreamId);
  const bool isOpen = found != mStreams.end() && !found->second->mDone;
  return isOpen ? found->second : nullptr;
}

int
ClientConnection::OnBeginHeaders(const nghttp2_frame& aFrame)
{
  if (const auto stream = Find(aFrame.hd.stream_id)) {
    stream->mHeaders.clear();
    stream->mHeaderBytes = 0;
  }
  return 0;
}

int
ClientConnection::OnHeader(const nghttp2_frame& aFrame,
                           std::string_view aName,
                           std::string_view aValue)
{
  const auto stream = Find(aFrame.hd.stream_id);
  if (!stream || stream->mHeadersDelivered) {
    return 0;
  }
  stream->mHeaderBytes += aName.size() + aValue.size() + kFieldOverhead;
  if (stream->mHeaderBytes > kMaxHeaderBytes) {
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  if (aName == ":status") {
    std::from_chars(
      aValue.data(), aValue.data() + aValue.size(), stream->mStatus);
    return 0;
  }
  stream->mHeaders.emplace_back(aName, aValue);
  return 0;
}

void
ClientConnection::OnFrame(const nghttp2_frame& aFrame)
{
  if (aFrame.hd.type == NGHTTP2_GOAWAY) {
    mGoingAway = true;
    return;
  }
  const bool isHeaders = aFrame.hd.type == NGHTTP2_HEADERS;
  if (!isHeaders && aFrame.hd.type != NGHTTP2_DATA) {
    return;
  }
  const auto stream = Find(aFrame.hd.stream_id);
  if (!stream) {
    return;
  }
  if (isHeaders) {
    DeliverHeaders(stream);
  }
  if ((aFrame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0 && !stream->mDone) {
    CompleteResponse(stream);
  }
}

void
ClientConnection::DeliverHeaders(const StreamPointer& aStream)
{
  const bool isInterim = aStream->mStatus < 200;
  if (isInterim || aStream->mHeadersDelivered) {
    return;
  }
  aStream->mHeadersDelivered = true;
  if (aStream->mCallbacks.mOnHeaders) {
    aStream->mCallbacks.mOnHeaders(aStream->mStatus,
                                   std::move(aStream->mHeaders));
  }
}

void
ClientConnection::CompleteResponse(const StreamPointer& aStream)
{
  // The server may respond before it has read the whole request body.
  if (!aStream->mBody.Drained()) {
    nghttp2_submit_rst_stream(
      Session(), NGHTTP2_FLAG_NONE, aStream->mStreamId, NGHTTP2_NO_ERROR);
  }
  End(aStream, Result::Answered);
}

void
ClientConnection::OnFrameSent(const nghttp2_frame& aFrame)
{
  if (aFrame.hd.type != NGHTTP2_HEADERS) {
    return;
  }
  if (const auto stream = Find(aFrame.hd.stream_id)) {
    stream->mSent = true;
  }
}

void
ClientConnection::OnData(int32_t aStreamId, Chunk aData)
{
  const auto stream = Find(aStreamId);
  if (!stream) {
    return;
  }
  stream->mUnconsumed += aData.size();
  if (stream->mCallbacks.mOnData) {
    stream->mCallbacks.mOnData(aData);
  } else {
    Consume(stream, aData.size());
  }
}

void
ClientConnection::OnStreamClosed(int32_t aStreamId, uint32_t aCode)
{
  const auto stream = Find(aStreamId);
  if (!stream) {
    return;
  }
  // nghttp2 closes the streams above GOAWAY's last ID, and those it could not
  // start because of GOAWAY, with REFUSED_STREAM as well.
  const bool isRefused =
    aCode == NGHTTP2_REFUSED_STREAM && !stream->mHeadersDelivered;
  End(stream, isRefused ? Result::Refused : Result::Broken);
}

ssize_t
ClientConnection::OnReadBody(int32_t aStreamId,
                             uint8_t* aTarget,
                             size_t aLength,
                             uint32_t* aFlags)
{
  const auto stream = Find(aStreamId);
  if (!stream) {
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  const ssize_t count = stream->mBody.Read(aTarget, aLength, aFlags);
  if (stream->mBody.TakeWritable() && stream->mCallbacks.mOnWritable) {
    asio::post(Socket().get_executor(), [stream] {
      if (!stream->mDone) {
        stream->mCallbacks.mOnWritable();
      }
    });
  }
  return count;
}

void
ClientConnection::OnClosed()
{
  mConnectTimer.cancel();
  auto queued = std::exchange(mQueued, {});
  auto streams = std::exchange(mStreams, {});
  for (const auto& stream : queued) {
    End(stream, Result::NotSent);
  }
  for (const auto& [id, stream] : streams) {
    End(stream, stream->mSent ? Result::Broken : Result::NotSent);
  }
}

void
ClientConnection::End(const StreamPointer& aStream, Result aResult)
{
  mStreams.erase(aStream->mStreamId);
  mOnEnd(aStream, aResult);
}

} // namespace snipepost::http2
