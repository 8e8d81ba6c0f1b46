#include "Connection.h"

#include <algorithm>
#include <chrono>

namespace snipepost::http2 {

namespace {

// Bounds the memory of a connection whose peer reads slowly.
constexpr size_t kMaxWrite = 64UL * 1024;

// Frames that may wait for a peer that does not read; beyond that, its own
// frames are not read either, so they cannot cause an unbounded number of
// answers such as RST_STREAM.
constexpr size_t kMaxQueued = 1000;

// Bytes of all responses together that may be in flight on a connection. The
// connection window is replenished at once; only stream windows hold a sender
// back, so one slow consumer does not block the others.
constexpr int32_t kConnectionWindow = 4 * 1024 * 1024;

// A peer that has not closed its side by then is cut off.
constexpr auto kLingerTime = std::chrono::seconds(2);

Connection*
Self(void* aUserData)
{
  return static_cast<Connection*>(aUserData);
}

std::string_view
View(const uint8_t* aBytes, size_t aSize)
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
    return Self(aUser)->OnBeginHeaders(*aFrame);
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
    return Self(aUser)->OnHeader(
      *aFrame, View(aName, aNameSize), View(aValue, aValueSize));
  }

  static int Frame(nghttp2_session*, const nghttp2_frame* aFrame, void* aUser)
  {
    Self(aUser)->OnFrame(*aFrame);
    return 0;
  }

  static int FrameSent(nghttp2_session*,
                       const nghttp2_frame* aFrame,
                       void* aUser)
  {
    Self(aUser)->OnFrameSent(*aFrame);
    return 0;
  }

  static int Data(nghttp2_session* aSession,
                  uint8_t,
                  int32_t aStream,
                  const uint8_t* aData,
                  size_t aSize,
                  void* aUser)
  {
    nghttp2_session_consume_connection(aSession, aSize);
    Self(aUser)->OnData(aStream, { aData, aSize });
    return 0;
  }

  static int StreamClosed(nghttp2_session*,
                          int32_t aStream,
                          uint32_t aCode,
                          void* aUser)
  {
    Self(aUser)->OnStreamClosed(aStream, aCode);
    return 0;
  }

  static ssize_t ReadBody(nghttp2_session*,
                          int32_t aStream,
                          uint8_t* aTarget,
                          size_t aLength,
                          uint32_t* aFlags,
                          nghttp2_data_source*,
                          void* aUser)
  {
    return Self(aUser)->OnReadBody(aStream, aTarget, aLength, aFlags);
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
Connection::Open(Side aSide,
                 const std::vector<nghttp2_settings_entry>& aSettings)
{
  mSide = aSide;
  nghttp2_session_callbacks* callbacks = Callbacks::Create();
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_no_auto_window_update(option, 1);
  // Closed streams are kept only for the priority tree, which is not used.
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
    Finish();
    return;
  }
  // While lingering, input is discarded: closing a socket with unread input
  // would reset it and could destroy the last bytes sent.
  if (!mLingering) {
    const ssize_t taken =
      nghttp2_session_mem_recv(mSession, mInput.data(), aSize);
    if (taken < 0) {
      Finish();
      return;
    }
    Flush();
  }
  ReadMore();
}

void
Connection::ReadMore()
{
  // Only a server pauses: if both ends did, neither might ever read again.
  mReadPaused = mSide == Side::Server && mWriting &&
                nghttp2_session_get_outbound_queue_size(mSession) > kMaxQueued;
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
  while (mOutput.size() < kMaxWrite) {
    const uint8_t* data = nullptr;
    const ssize_t size = nghttp2_session_mem_send(mSession, &data);
    if (size < 0) {
      Finish();
      return;
    }
    if (size == 0) {
      break;
    }
    mOutput.append(View(data, static_cast<size_t>(size)));
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
      // The reading side notices a broken connection as well, but not when the
      // peer only shut down its receiving direction.
      if (aError) {
        self->Finish();
        return;
      }
      self->Flush();
      if (self->mReadPaused) {
        self->ReadMore();
      }
    });
}

void
Connection::StartLinger()
{
  mLingering = true;
  asio::error_code ignored;
  mSocket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  mLingerTimer.expires_after(kLingerTime);
  mLingerTimer.async_wait(
    [self = shared_from_this()](const asio::error_code& aError) {
      if (!aError) {
        self->Finish();
      }
    });
}

void
Connection::Abort()
{
  asio::post(mSocket.get_executor(),
             [self = shared_from_this()] { self->Finish(); });
}

void
Connection::Finish()
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
