#include "Connection.h"

#include <algorithm>
#include <chrono>

namespace snipepost::http2 {

namespace {

// Limits the memory of a connection whose peer reads slowly.
constexpr size_t kMaxWriteSize = 64UL * 1024;

// Number of frames waiting to be sent above which the server stops reading.
// Otherwise a peer that sends frames without reading the replies, such as
// RST_STREAM, could make the queue grow without bound.
constexpr size_t kMaxQueuedFrames = 1000;

// Total bytes of all bodies that the peer may have in flight on a connection.
// The connection window is replenished at once and only stream windows throttle
// the peer, so one slow consumer does not block the others.
constexpr int32_t kConnectionWindow = 4 * 1024 * 1024;

// Time from the shutdown of the sending direction until the socket is closed
// even if the peer has not closed its side.
constexpr auto kLingerTimeout = std::chrono::seconds(2);

Connection*
ToConnection(void* aUserData)
{
  return static_cast<Connection*>(aUserData);
}

std::string_view
ToStringView(const uint8_t* aBytes, size_t aSize)
{
  return { reinterpret_cast<const char*>(aBytes), aSize };
}

} // namespace

asio::ip::tcp::endpoint
ToEndpoint(const Address& aAddress)
{
  return { asio::ip::address_v4(aAddress.mIp), aAddress.mPort };
}

Address
ToAddress(const asio::ip::tcp::endpoint& aEndpoint)
{
  if (!aEndpoint.address().is_v4()) {
    return {};
  }
  return { aEndpoint.address().to_v4().to_uint(), aEndpoint.port() };
}

void
FieldList::Add(std::string_view aName, std::string_view aValue)
{
  auto* name = reinterpret_cast<uint8_t*>(const_cast<char*>(aName.data()));
  auto* value = reinterpret_cast<uint8_t*>(const_cast<char*>(aValue.data()));
  mFields.push_back(
    { name, value, aName.size(), aValue.size(), NGHTTP2_NV_FLAG_NONE });
}

void
FieldList::Add(const Headers& aHeaders)
{
  for (const auto& [name, value] : aHeaders) {
    const bool hasCapital = std::any_of(
      name.begin(), name.end(), [](char aC) { return aC >= 'A' && aC <= 'Z'; });
    if (!name.empty() && name[0] != ':' && !hasCapital) {
      Add(name, value);
    }
  }
}

/// Forwards nghttp2's callbacks to the virtual functions.
struct Connection::Callbacks
{
  static int BeginHeaders(nghttp2_session*,
                          const nghttp2_frame* aFrame,
                          void* aUser)
  {
    return ToConnection(aUser)->OnBeginHeaders(*aFrame);
  }

  static int Header(nghttp2_session*,
                    const nghttp2_frame* aFrame,
                    const uint8_t* aName,
                    size_t aNameSize,
                    const uint8_t* aValue,
                    size_t aValueSize,
                    uint8_t,
                    void* aUser)
  {
    return ToConnection(aUser)->OnHeader(*aFrame,
                                         ToStringView(aName, aNameSize),
                                         ToStringView(aValue, aValueSize));
  }

  static int Frame(nghttp2_session*, const nghttp2_frame* aFrame, void* aUser)
  {
    ToConnection(aUser)->OnFrame(*aFrame);
    return 0;
  }

  static int FrameSent(nghttp2_session*,
                       const nghttp2_frame* aFrame,
                       void* aUser)
  {
    ToConnection(aUser)->OnFrameSent(*aFrame);
    return 0;
  }

  static int Data(nghttp2_session* aSession,
                  uint8_t,
                  int32_t aStreamId,
                  const uint8_t* aData,
                  size_t aSize,
                  void* aUser)
  {
    nghttp2_session_consume_connection(aSession, aSize);
    ToConnection(aUser)->OnData(aStreamId, { aData, aSize });
    return 0;
  }

  static int StreamClosed(nghttp2_session*,
                          int32_t aStreamId,
                          uint32_t aCode,
                          void* aUser)
  {
    ToConnection(aUser)->OnStreamClosed(aStreamId, aCode);
    return 0;
  }

  static ssize_t ReadBody(nghttp2_session*,
                          int32_t aStreamId,
                          uint8_t* aTarget,
                          size_t aLength,
                          uint32_t* aFlags,
                          nghttp2_data_source*,
                          void* aUser)
  {
    return ToConnection(aUser)->OnReadBody(aStreamId, aTarget, aLength, aFlags);
  }

  static nghttp2_session_callbacks* Create()
  {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                            BeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, Header);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, Frame);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, FrameSent);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Data);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                           StreamClosed);
    return callbacks;
  }
};

Connection::Connection(asio::ip::tcp::socket aSocket)
  : mSocket(std::move(aSocket))
  , mLingerTimer(mSocket.get_executor())
{
}

Connection::~Connection()
{
  nghttp2_session_del(mSession);
}

nghttp2_data_provider
Connection::BodyProvider()
{
  nghttp2_data_provider provider{};
  provider.read_callback = &Callbacks::ReadBody;
  return provider;
}

void
Connection::StartSession(Side aSide,
                         const std::vector<nghttp2_settings_entry>& aSettings)
{
  mSide = aSide;
  nghttp2_session_callbacks* callbacks = Callbacks::Create();
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_no_auto_window_update(option, 1);
  // By default, nghttp2 keeps closed streams for the priority tree, which is
  // not used.
  nghttp2_option_set_no_closed_streams(option, 1);
  const auto create = aSide == Side::Client ? &nghttp2_session_client_new2
                                            : &nghttp2_session_server_new2;
  create(&mSession, callbacks, this, option);
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);
  nghttp2_submit_settings(
    mSession, NGHTTP2_FLAG_NONE, aSettings.data(), aSettings.size());
  nghttp2_session_set_local_window_size(
    mSession, NGHTTP2_FLAG_NONE, 0, kConnectionWindow);
  asio::error_code ignored;
  mSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  Read();
  ScheduleFlush();
}

void
Connection::Read()
{
  mSocket.async_read_some(
    asio::buffer(mInput),
    [self = shared_from_this()](const asio::error_code& aError, size_t aSize) {
      self->OnRead(aError, aSize);
    });
}

void
Connection::OnRead(const asio::error_code& aError, size_t aSize)
{
  if (mClosed) {
    return;
  }
  if (aError) {
    CloseSocket();
    return;
  }
  // While lingering, input is discarded: closing a socket with unread input
  // resets the connection, and the peer could lose the last bytes sent.
  if (!mLingering) {
    const ssize_t processed =
      nghttp2_session_mem_recv(mSession, mInput.data(), aSize);
    if (processed < 0) {
      CloseSocket();
      return;
    }
    Flush();
  }
  ReadOrPause();
}

void
Connection::ReadOrPause()
{
  // Only the server pauses reading: if both ends did, they could deadlock.
  mReadPaused =
    mSide == Side::Server && mWriting &&
    nghttp2_session_get_outbound_queue_size(mSession) > kMaxQueuedFrames;
  if (!mClosed && !mReadPaused) {
    Read();
  }
}

void
Connection::ScheduleFlush()
{
  if (mFlushScheduled || mClosed) {
    return;
  }
  mFlushScheduled = true;
  asio::post(mSocket.get_executor(), [self = shared_from_this()] {
    self->mFlushScheduled = false;
    self->Flush();
  });
}

void
Connection::Flush()
{
  if (mWriting || mClosed || mLingering || mSession == nullptr) {
    return;
  }
  mOutput.clear();
  while (mOutput.size() < kMaxWriteSize) {
    const uint8_t* data = nullptr;
    const ssize_t size = nghttp2_session_mem_send(mSession, &data);
    if (size < 0) {
      CloseSocket();
      return;
    }
    if (size == 0) {
      break;
    }
    mOutput.append(ToStringView(data, static_cast<size_t>(size)));
  }
  if (!mOutput.empty()) {
    Write();
    return;
  }
  if (nghttp2_session_want_read(mSession) == 0 &&
      nghttp2_session_want_write(mSession) == 0) {
    StartLinger();
  }
}

void
Connection::Write()
{
  mWriting = true;
  asio::async_write(
    mSocket,
    asio::buffer(mOutput),
    [self = shared_from_this()](const asio::error_code& aError, size_t) {
      self->mWriting = false;
      // A lost connection fails the pending read, too. If the peer only shut
      // down its receiving direction, no read fails, so the socket is closed
      // here.
      if (aError) {
        self->CloseSocket();
        return;
      }
      self->Flush();
      if (self->mReadPaused) {
        self->ReadOrPause();
      }
    });
}

void
Connection::StartLinger()
{
  mLingering = true;
  asio::error_code ignored;
  mSocket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  mLingerTimer.expires_after(kLingerTimeout);
  mLingerTimer.async_wait(
    [self = shared_from_this()](const asio::error_code& aError) {
      if (!aError) {
        self->CloseSocket();
      }
    });
}

void
Connection::Abort()
{
  asio::post(mSocket.get_executor(),
             [self = shared_from_this()] { self->CloseSocket(); });
}

void
Connection::CloseSocket()
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  asio::error_code ignored;
  mSocket.close(ignored);
  mLingerTimer.cancel();
  OnClosed();
}

} // namespace snipepost::http2
