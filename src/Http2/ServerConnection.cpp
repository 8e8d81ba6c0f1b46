#include "ServerConnection.h"

#include <utility>

namespace snipepost::http2 {

namespace {

// Overhead of each field in the header list size of RFC 9113 section 6.5.2.
constexpr size_t kFieldOverhead = 32;

// Decoding of a header list stops at this multiple of the limit, because a
// small compressed block can expand without bound.
constexpr size_t kHeaderDecodeLimitFactor = 4;

class ResponderImpl : public Responder
{
public:
  explicit ResponderImpl(std::shared_ptr<ServerStream> aStream)
    : mStream(std::move(aStream))
  {
  }

  ~ResponderImpl() override { Reset(ResetCode::InternalError); }

  void Respond(int aStatus, Headers aHeaders, std::string aBody) override
  {
    if (!Open() || mStream->mResponseStarted) {
      return;
    }
    mStream->mBody.Append(aBody);
    mStream->mBody.End();
    WithConnection([&](ServerConnection& aConnection) {
      aConnection.StartResponse(*mStream, aStatus, aHeaders);
    });
  }

  void Start(int aStatus, Headers aHeaders) override
  {
    if (!Open() || mStream->mResponseStarted) {
      return;
    }
    WithConnection([&](ServerConnection& aConnection) {
      aConnection.StartResponse(*mStream, aStatus, aHeaders);
    });
  }

  bool Write(std::string_view aBytes) override
  {
    if (!Open()) {
      return true;
    }
    const bool hasRoom = mStream->mBody.Append(aBytes);
    Resume();
    return hasRoom;
  }

  void End() override
  {
    if (Open() && mStream->mResponseStarted) {
      mStream->mBody.End();
      Resume();
    }
  }

  void Reset(ResetCode aCode) override
  {
    if (Open()) {
      WithConnection([&](ServerConnection& aConnection) {
        aConnection.Reset(*mStream, aCode);
      });
    }
  }

  void OnCancel(std::function<void()> aCallback) override
  {
    if (!mStream->mClosed) {
      mStream->mOnCancel = std::move(aCallback);
    }
  }

  void OnWritable(std::function<void()> aCallback) override
  {
    if (!mStream->mClosed) {
      mStream->mOnWritable = std::move(aCallback);
    }
  }

  bool Open() const override
  {
    return !mStream->mClosed && !mStream->mBody.Ended();
  }

private:
  void Resume()
  {
    WithConnection(
      [&](ServerConnection& aConnection) { aConnection.ResumeBody(*mStream); });
  }

  void WithConnection(const std::function<void(ServerConnection&)>& aAction)
  {
    if (const auto connection = mStream->mConnection.lock()) {
      aAction(*connection);
    }
  }

  std::shared_ptr<ServerStream> mStream;
};

} // namespace

ServerConnection::ServerConnection(asio::ip::tcp::socket aSocket,
                                   const ServerOptions& aOptions,
                                   Handler aHandler,
                                   std::function<void()> aOnClosed)
  : Connection(std::move(aSocket))
  , mOptions(aOptions)
  , mHandler(std::move(aHandler))
  , mOnClosed(std::move(aOnClosed))
  , mTimer(Socket().get_executor())
{
}

void
ServerConnection::Start()
{
  asio::error_code error;
  mPeer = ToAddress(Socket().remote_endpoint(error));
  mTimer.expires_after(mOptions.mPrefaceTimeout);
  auto self = std::static_pointer_cast<ServerConnection>(shared_from_this());
  mTimer.async_wait([self](const asio::error_code& aError) {
    if (!aError && !self->mPrefaceReceived) {
      self->Abort();
    }
  });
  StartSession(
    Side::Server,
    { { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, mOptions.mMaxStreams },
      { NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE,
        static_cast<uint32_t>(mOptions.mMaxHeaderBytes) } });
}

void
ServerConnection::Shutdown()
{
  if (mShuttingDown || Closed()) {
    return;
  }
  mShuttingDown = true;
  nghttp2_submit_shutdown_notice(Session());
  ScheduleFlush();
  mTimer.expires_after(mOptions.mGoAwayDelay);
  auto self = std::static_pointer_cast<ServerConnection>(shared_from_this());
  mTimer.async_wait([self](const asio::error_code& aError) {
    if (aError || self->Closed()) {
      return;
    }
    nghttp2_submit_goaway(
      self->Session(),
      NGHTTP2_FLAG_NONE,
      nghttp2_session_get_last_proc_stream_id(self->Session()),
      NGHTTP2_NO_ERROR,
      nullptr,
      0);
    self->ScheduleFlush();
  });
}

void
ServerConnection::Abandon()
{
  mAbandoned = true;
  Abort();
}

void
ServerConnection::StartResponse(ServerStream& aStream,
                                int aStatus,
                                const Headers& aHeaders)
{
  aStream.mResponseStarted = true;
  const std::string status = std::to_string(aStatus);
  FieldList fields;
  fields.Add(":status", status);
  fields.Add(aHeaders);
  const auto provider = BodyProvider();
  const bool hasBody = !aStream.mBody.Drained();
  if (nghttp2_submit_response(Session(),
                              aStream.mId,
                              fields.Data(),
                              fields.Size(),
                              hasBody ? &provider : nullptr) != 0) {
    Reset(aStream, ResetCode::InternalError);
  }
  ScheduleFlush();
}

void
ServerConnection::ResumeBody(ServerStream& aStream)
{
  if (!Closed() && aStream.mBody.TakeDeferred()) {
    nghttp2_session_resume_data(Session(), aStream.mId);
    ScheduleFlush();
  }
}

void
ServerConnection::Reset(ServerStream& aStream, ResetCode aCode)
{
  // The handler initiated the reset, so it is not notified of it.
  aStream.mOnCancel = nullptr;
  if (!Closed()) {
    aStream.mClosed = true;
    nghttp2_submit_rst_stream(
      Session(), NGHTTP2_FLAG_NONE, aStream.mId, static_cast<uint32_t>(aCode));
    ScheduleFlush();
  }
}

ServerConnection::StreamPointer
ServerConnection::Find(int32_t aStreamId) const
{
  const auto found = mStreams.find(aStreamId);
  return found == mStreams.end() ? nullptr : found->second;
}

int
ServerConnection::OnBeginHeaders(const nghttp2_frame& aFrame)
{
  if (aFrame.hd.type != NGHTTP2_HEADERS ||
      aFrame.headers.cat != NGHTTP2_HCAT_REQUEST) {
    return 0;
  }
  auto stream = std::make_shared<ServerStream>();
  stream->mId = aFrame.hd.stream_id;
  stream->mConnection =
    std::static_pointer_cast<ServerConnection>(shared_from_this());
  stream->mRequest.mPeer = mPeer;
  mStreams[stream->mId] = std::move(stream);
  return 0;
}

int
ServerConnection::OnHeader(const nghttp2_frame& aFrame,
                           std::string_view aName,
                           std::string_view aValue)
{
  const auto stream = Find(aFrame.hd.stream_id);
  if (!stream || aFrame.headers.cat != NGHTTP2_HCAT_REQUEST) {
    return 0;
  }
  const size_t limit = mOptions.mMaxHeaderBytes;
  stream->mHeaderBytes += aName.size() + aValue.size() + kFieldOverhead;
  if (stream->mHeaderBytes > kHeaderDecodeLimitFactor * limit) {
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  ServerRequest& request = stream->mRequest;
  if (stream->mHeaderBytes > limit) {
    return 0;
  }
  if (aName == ":method") {
    request.mMethod = aValue;
  } else if (aName == ":path") {
    request.mPath = aValue;
  } else if (!aName.starts_with(':')) {
    request.mHeaders.emplace_back(aName, aValue);
  }
  return 0;
}

void
ServerConnection::OnFrame(const nghttp2_frame& aFrame)
{
  if (aFrame.hd.type == NGHTTP2_SETTINGS) {
    mPrefaceReceived = true;
  }
  const bool isHeaders = aFrame.hd.type == NGHTTP2_HEADERS;
  if (!isHeaders && aFrame.hd.type != NGHTTP2_DATA) {
    return;
  }
  const auto stream = Find(aFrame.hd.stream_id);
  if (!stream || stream->mDispatched) {
    return;
  }
  if (isHeaders && stream->mHeaderBytes > mOptions.mMaxHeaderBytes) {
    RespondError(*stream, 431);
    return;
  }
  if ((aFrame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
    Dispatch(stream);
  }
}

void
ServerConnection::OnData(int32_t aStreamId, Chunk aData)
{
  nghttp2_session_consume_stream(Session(), aStreamId, aData.size());
  const auto stream = Find(aStreamId);
  if (!stream || stream->mDispatched) {
    return;
  }
  std::string& body = stream->mRequest.mBody;
  if (body.size() + aData.size() > mOptions.mMaxBody) {
    body = {};
    RespondError(*stream, 413);
    return;
  }
  body.append(AsText(aData));
}

void
ServerConnection::RespondError(ServerStream& aStream, int aStatus)
{
  aStream.mDispatched = true;
  aStream.mBody.End();
  StartResponse(aStream, aStatus, {});
}

void
ServerConnection::OnFrameSent(const nghttp2_frame& aFrame)
{
  const int32_t id = aFrame.hd.stream_id;
  const bool isComplete = aFrame.hd.type == NGHTTP2_HEADERS &&
                          (aFrame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
  // When a response is complete before its request, a reset with NO_ERROR asks
  // the client to stop sending (RFC 9113 section 8.1). If it were submitted
  // earlier, the reset would be sent before the response.
  if (isComplete &&
      nghttp2_session_get_stream_remote_close(Session(), id) == 0) {
    nghttp2_submit_rst_stream(
      Session(), NGHTTP2_FLAG_NONE, id, NGHTTP2_NO_ERROR);
  }
}

void
ServerConnection::Dispatch(const StreamPointer& aStream)
{
  aStream->mDispatched = true;
  mHandler(std::move(aStream->mRequest),
           std::make_shared<ResponderImpl>(aStream));
}

void
ServerConnection::OnStreamClosed(int32_t aStreamId, uint32_t)
{
  if (const auto stream = Find(aStreamId)) {
    mStreams.erase(aStreamId);
    CloseStream(stream);
  }
}

void
ServerConnection::CloseStream(const StreamPointer& aStream)
{
  const bool wasSent = aStream->mBody.Drained();
  aStream->mClosed = true;
  // Posted, so that no callback is destroyed while it is running.
  asio::post(
    Socket().get_executor(),
    [self = std::static_pointer_cast<ServerConnection>(shared_from_this()),
     wasSent,
     onCancel = std::exchange(aStream->mOnCancel, nullptr),
     onWritable = std::exchange(aStream->mOnWritable, nullptr)] {
      if (!wasSent && onCancel && !self->mAbandoned) {
        onCancel();
      }
    });
}

ssize_t
ServerConnection::OnReadBody(int32_t aStreamId,
                             uint8_t* aTarget,
                             size_t aLength,
                             uint32_t* aFlags)
{
  const auto stream = Find(aStreamId);
  if (!stream) {
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  const ssize_t count = stream->mBody.Read(aTarget, aLength, aFlags);
  if (stream->mBody.TakeWritable()) {
    auto self = std::static_pointer_cast<ServerConnection>(shared_from_this());
    asio::post(Socket().get_executor(), [self, stream] {
      // Copied, because the callback may replace itself.
      const auto onWritable = stream->mOnWritable;
      if (!stream->mClosed && onWritable && !self->mAbandoned) {
        onWritable();
      }
    });
  }
  return count;
}

void
ServerConnection::OnClosed()
{
  mTimer.cancel();
  for (const auto& [id, stream] : std::exchange(mStreams, {})) {
    CloseStream(stream);
  }
  mOnClosed();
}

} // namespace snipepost::http2
