#include "src/Quic/Connection.h"

#include <algorithm>

#include <arpa/inet.h>

#include "src/Quic/ConnectionCallbacks.h"

namespace snipepost {

namespace {

// Limits the packets sent to a peer that ignores CONNECTION_CLOSE.
constexpr uint8_t kMaxCloseRetransmissions = 10;
constexpr size_t kMaxVectors = 16;

sockaddr_in
ToSockaddr(const Address& aAddress)
{
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(aAddress.mIp);
  out.sin_port = htons(aAddress.mPort);
  return out;
}

Address
RemoteOf(const ngtcp2_path& aPath)
{
  sockaddr_in in{};
  if (aPath.remote.addrlen == sizeof in) {
    std::memcpy(&in, aPath.remote.addr, sizeof in);
  }
  return { ntohl(in.sin_addr.s_addr), ntohs(in.sin_port) };
}

} // namespace

Path::Path(const Address& aLocal, const Address& aRemote)
  : mLocal(ToSockaddr(aLocal))
  , mRemote(ToSockaddr(aRemote))
  , mPath{ { reinterpret_cast<ngtcp2_sockaddr*>(&mLocal), sizeof mLocal },
           { reinterpret_cast<ngtcp2_sockaddr*>(&mRemote), sizeof mRemote },
           nullptr }
{
}

Connection::Connection(ConnectionHandle aHandle,
                       const QuicLimits& aLimits,
                       ConnectionHooks& aHooks)
  : mHandle(aHandle)
  , mLimits(aLimits)
  , mHooks(aHooks)
{
  mConnRef.get_conn = NativeConnectionOf;
  mConnRef.user_data = this;
}

Connection::~Connection()
{
  nghttp3_conn_del(mHttp);
  ngtcp2_conn_del(mConn);
  ReleaseTls();
}

void
Connection::ReleaseTls()
{
  if (mTls == nullptr) {
    return;
  }
  if (mConn != nullptr && !mCloseReason) {
    ngtcp2_conn_set_tls_native_handle(mConn, nullptr);
  }
  gnutls_deinit(mTls);
  mTls = nullptr;
}

void
Connection::Read(const Path& aPath,
                 std::span<const uint8_t> aBytes,
                 Instant aNow)
{
  if (mConn == nullptr || mCloseReason || aBytes.empty()) {
    return;
  }
  const ngtcp2_pkt_info info{};
  const int error = ngtcp2_conn_read_pkt(
    mConn, aPath.Get(), &info, aBytes.data(), aBytes.size(), ToTimestamp(aNow));
  if (error != 0) {
    Fail(error);
  }
}

void
Connection::HandleExpiry(Instant aNow)
{
  if (mConn == nullptr || mCloseReason) {
    return;
  }
  const int error = ngtcp2_conn_handle_expiry(mConn, ToTimestamp(aNow));
  if (error != 0) {
    Fail(error);
  }
}

Instant
Connection::Expiry() const
{
  if (mConn == nullptr) {
    return Instant::max();
  }
  const ngtcp2_tstamp expiry = ngtcp2_conn_get_expiry(mConn);
  const auto last =
    static_cast<ngtcp2_tstamp>(Instant::max().time_since_epoch().count());
  return Instant(Duration(static_cast<int64_t>(std::min(expiry, last))));
}

void
Connection::Fail(int aError)
{
  if (mCloseReason) {
    return;
  }
  mCloseReason = ConnectionCloseReason::ProtocolError;
  ngtcp2_connection_close_error reason{};
  switch (aError) {
    case NGTCP2_ERR_DRAINING:
      ngtcp2_conn_get_connection_close_error(mConn, &reason);
      mPeerError = reason.error_code;
      mCloseReason =
        reason.type == NGTCP2_CONNECTION_CLOSE_ERROR_CODE_TYPE_TRANSPORT &&
            reason.error_code == NGTCP2_CONNECTION_REFUSED
          ? ConnectionCloseReason::Refused
          : ConnectionCloseReason::PeerClosed;
      mCloseError.reset();
      return;
    case NGTCP2_ERR_IDLE_CLOSE:
    case NGTCP2_ERR_HANDSHAKE_TIMEOUT:
      mCloseReason = ConnectionCloseReason::TimedOut;
      return;
    case NGTCP2_ERR_DROP_CONN:
    case NGTCP2_ERR_RETRY:
      return;
    case NGTCP2_ERR_CRYPTO:
      ngtcp2_connection_close_error_set_transport_error_tls_alert(
        &reason, ngtcp2_conn_get_tls_alert(mConn), nullptr, 0);
      break;
    default:
      ngtcp2_connection_close_error_set_transport_error_liberr(
        &reason, aError, nullptr, 0);
      break;
  }
  // An HTTP/3 error is stored by the callback that detects it, before ngtcp2
  // reports the failure of that callback.
  if (!mCloseError) {
    mCloseError = reason;
  }
}

void
Connection::StoreHttpError(int aError)
{
  if (mCloseError) {
    return;
  }
  mCloseError.emplace();
  ngtcp2_connection_close_error_set_application_error(
    &*mCloseError, nghttp3_err_infer_quic_app_error_code(aError), nullptr, 0);
}

void
Connection::Close(Http3Error aError)
{
  if (mCloseReason) {
    return;
  }
  mCloseReason = ConnectionCloseReason::LocalClosed;
  mCloseError.emplace();
  ngtcp2_connection_close_error_set_application_error(
    &*mCloseError, static_cast<uint64_t>(aError), nullptr, 0);
}

void
Connection::Write(Instant aNow, const PayloadSink& aSink)
{
  if (mConn == nullptr || mCloseReason) {
    return;
  }
  const size_t quantum = ngtcp2_conn_get_send_quantum(mConn);
  size_t written = 0;
  while (!mCloseReason && WriteDatagram(aNow, aSink, written) &&
         written < quantum) {
  }
  if (mCloseReason) {
    return;
  }
  ngtcp2_conn_update_pkt_tx_time(mConn, ToTimestamp(aNow));
  // The TLS session is the largest part of an idle connection's memory. The
  // server doesn't need it after the handshake: it sends no session tickets,
  // and key updates don't involve TLS.
  if (mServer && mHttp != nullptr) {
    ReleaseTls();
  }
}

bool
Connection::WriteDatagram(Instant aNow,
                          const PayloadSink& aSink,
                          size_t& aWritten)
{
  std::array<uint8_t, kMaxPayloadSize> datagram;
  ngtcp2_path_storage path;
  ngtcp2_path_storage_zero(&path);
  ngtcp2_pkt_info info{};
  for (;;) {
    std::array<nghttp3_vec, kMaxVectors> vectors;
    int64_t id = -1;
    int fin = 0;
    nghttp3_ssize count = 0;
    if (mHttp != nullptr) {
      count = nghttp3_conn_writev_stream(
        mHttp, &id, &fin, vectors.data(), vectors.size());
      if (count < 0) {
        StoreHttpError(static_cast<int>(count));
        Fail(NGTCP2_ERR_CALLBACK_FAILURE);
        return false;
      }
    }
    uint32_t flags = NGTCP2_WRITE_STREAM_FLAG_MORE;
    flags |= fin != 0 ? NGTCP2_WRITE_STREAM_FLAG_FIN : 0;
    ngtcp2_ssize accepted = -1;
    const ngtcp2_ssize size = ngtcp2_conn_writev_stream(
      mConn,
      &path.path,
      &info,
      datagram.data(),
      datagram.size(),
      &accepted,
      flags,
      id,
      reinterpret_cast<const ngtcp2_vec*>(vectors.data()),
      static_cast<size_t>(count),
      ToTimestamp(aNow));
    if (id >= 0 && accepted >= 0) {
      nghttp3_conn_add_write_offset(mHttp, id, static_cast<size_t>(accepted));
    }
    if (size < 0) {
      if (HandleWriteError(static_cast<int>(size), id)) {
        continue;
      }
      return false;
    }
    if (size == 0) {
      return false;
    }
    aWritten += static_cast<size_t>(size);
    aSink({ datagram.data(), static_cast<size_t>(size) }, RemoteOf(path.path));
    return true;
  }
}

bool
Connection::HandleWriteError(int aError, int64_t aStream)
{
  switch (aError) {
    case NGTCP2_ERR_WRITE_MORE:
      return true;
    case NGTCP2_ERR_STREAM_DATA_BLOCKED:
      nghttp3_conn_block_stream(mHttp, aStream);
      return true;
    case NGTCP2_ERR_STREAM_SHUT_WR:
    case NGTCP2_ERR_STREAM_NOT_FOUND:
      if (aStream >= 0) {
        nghttp3_conn_shutdown_stream_write(mHttp, aStream);
        return true;
      }
      break;
    default:
      break;
  }
  Fail(aError);
  return false;
}

Duration
Connection::Finish(Instant aNow, const PayloadSink& aSink)
{
  constexpr int kClosingPtos = 3;
  const Duration closingPeriod(
    mConn != nullptr
      ? static_cast<int64_t>(kClosingPtos * ngtcp2_conn_get_pto(mConn))
      : 0);
  if (mConn != nullptr && mCloseError) {
    std::array<uint8_t, kMaxPayloadSize> packet;
    ngtcp2_path_storage path;
    ngtcp2_path_storage_zero(&path);
    ngtcp2_pkt_info info{};
    const ngtcp2_ssize size =
      ngtcp2_conn_write_connection_close(mConn,
                                         &path.path,
                                         &info,
                                         packet.data(),
                                         packet.size(),
                                         &*mCloseError,
                                         ToTimestamp(aNow));
    if (size > 0) {
      mClosePacket.assign(packet.begin(), packet.begin() + size);
      aSink(mClosePacket, RemoteOf(path.path));
    }
  }
  for (auto& [id, stream] : mStreams) {
    if (!stream->mDiscarded) {
      stream->mDiscarded = true;
      mHooks.OnStreamClosed(*this, *stream, 0);
    }
  }
  nghttp3_conn_del(mHttp);
  mHttp = nullptr;
  ngtcp2_conn_del(mConn);
  mConn = nullptr;
  ReleaseTls();
  mStreams.clear();
  return closingPeriod;
}

void
Connection::RetransmitClose(const Address& aRemote, const PayloadSink& aSink)
{
  if (!mClosePacket.empty() &&
      mCloseRetransmissions < kMaxCloseRetransmissions) {
    ++mCloseRetransmissions;
    aSink(mClosePacket, aRemote);
  }
}

} // namespace snipepost
