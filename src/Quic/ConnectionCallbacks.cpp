#include "src/Quic/ConnectionCallbacks.h"

#include <gnutls/crypto.h>
#include <ngtcp2/ngtcp2_crypto.h>

#include "src/Quic/Connection.h"

namespace snipepost {

/// The callback functions, grouped in a struct so that Connection needs only
/// one friend declaration.
struct ConnectionCallbacks
{
  static Connection& ConnectionOf(void* aUser)
  {
    return *static_cast<Connection*>(aUser);
  }

  static ngtcp2_conn* NativeConnection(ngtcp2_crypto_conn_ref* aRef)
  {
    return ConnectionOf(aRef->user_data).mConn;
  }

  static void Rand(uint8_t* aOut, size_t aSize, const ngtcp2_rand_ctx*)
  {
    gnutls_rnd(GNUTLS_RND_NONCE, aOut, aSize);
  }

  static int NewConnectionId(ngtcp2_conn*,
                             ngtcp2_cid* aId,
                             uint8_t* aToken,
                             size_t aLength,
                             void* aUser)
  {
    Connection& connection = ConnectionOf(aUser);
    aId->datalen = aLength;
    connection.mHooks.IssueConnectionId(connection, *aId);
    if (!connection.mHooks.IssueResetToken(*aId, aToken)) {
      gnutls_rnd(GNUTLS_RND_NONCE, aToken, NGTCP2_STATELESS_RESET_TOKENLEN);
    }
    return 0;
  }

  static int RemoveConnectionId(ngtcp2_conn*,
                                const ngtcp2_cid* aId,
                                void* aUser)
  {
    Connection& connection = ConnectionOf(aUser);
    connection.mHooks.RetireConnectionId(connection, *aId);
    return 0;
  }

  static int RecvCryptoData(ngtcp2_conn* aConn,
                            ngtcp2_crypto_level aLevel,
                            uint64_t aOffset,
                            const uint8_t* aData,
                            size_t aSize,
                            void* aUser)
  {
    // The server releases its TLS session after the handshake, as a caller
    // sends no TLS messages from then on.
    if (ConnectionOf(aUser).mTls == nullptr) {
      return NGTCP2_ERR_PROTO;
    }
    return ngtcp2_crypto_recv_crypto_data_cb(
      aConn, aLevel, aOffset, aData, aSize, aUser);
  }

  // The datagram that completes the handshake can also contain the first 1-RTT
  // data, so HTTP/3 is set up here and not after the datagram.
  static int HandshakeCompleted(ngtcp2_conn*, void* aUser)
  {
    Connection& connection = ConnectionOf(aUser);
    if (!connection.StartHttp()) {
      return NGTCP2_ERR_CALLBACK_FAILURE;
    }
    connection.mHooks.OnHandshakeCompleted(connection);
    return 0;
  }

  static int RecvStreamData(ngtcp2_conn* aConn,
                            uint32_t aFlags,
                            int64_t aId,
                            uint64_t,
                            const uint8_t* aData,
                            size_t aSize,
                            void* aUser,
                            void*)
  {
    Connection& connection = ConnectionOf(aUser);
    if (connection.mHttp == nullptr) {
      return NGTCP2_ERR_CALLBACK_FAILURE;
    }
    const nghttp3_ssize consumed =
      nghttp3_conn_read_stream(connection.mHttp,
                               aId,
                               aData,
                               aSize,
                               (aFlags & NGTCP2_STREAM_DATA_FLAG_FIN) != 0);
    if (consumed < 0) {
      connection.StoreHttpError(static_cast<int>(consumed));
      return NGTCP2_ERR_CALLBACK_FAILURE;
    }
    ngtcp2_conn_extend_max_stream_offset(
      aConn, aId, static_cast<uint64_t>(consumed));
    ngtcp2_conn_extend_max_offset(aConn, static_cast<uint64_t>(consumed));
    return 0;
  }

  static int AckedStreamData(ngtcp2_conn*,
                             int64_t aId,
                             uint64_t,
                             uint64_t aSize,
                             void* aUser,
                             void*)
  {
    Connection& connection = ConnectionOf(aUser);
    if (connection.mHttp == nullptr) {
      return 0;
    }
    const int error = nghttp3_conn_add_ack_offset(connection.mHttp, aId, aSize);
    return error == 0 || error == NGHTTP3_ERR_STREAM_NOT_FOUND
             ? 0
             : NGTCP2_ERR_CALLBACK_FAILURE;
  }

  static int StreamClose(ngtcp2_conn* aConn,
                         uint32_t aFlags,
                         int64_t aId,
                         uint64_t aError,
                         void* aUser,
                         void*)
  {
    Connection& connection = ConnectionOf(aUser);
    std::optional<uint64_t> reason;
    if ((aFlags & NGTCP2_STREAM_CLOSE_FLAG_APP_ERROR_CODE_SET) != 0) {
      reason = aError;
    }
    if (connection.mHttp != nullptr) {
      const int error = nghttp3_conn_close_stream(
        connection.mHttp, aId, reason.value_or(NGHTTP3_H3_NO_ERROR));
      if (error != 0 && error != NGHTTP3_ERR_STREAM_NOT_FOUND) {
        connection.StoreHttpError(error);
        return NGTCP2_ERR_CALLBACK_FAILURE;
      }
    }
    if (connection.mServer && ngtcp2_is_bidi_stream(aId) != 0) {
      ngtcp2_conn_extend_max_streams_bidi(aConn, 1);
    }
    if (Stream* stream = connection.FindStream(aId)) {
      ngtcp2_conn_extend_max_offset(aConn, stream->mUnconsumed);
      stream->mUnconsumed = 0;
      if (!stream->mDiscarded) {
        connection.mHooks.OnStreamClosed(connection, *stream, reason);
      }
      connection.mStreams.erase(aId);
    }
    return 0;
  }

  static int StreamReset(ngtcp2_conn*,
                         int64_t aId,
                         uint64_t,
                         uint64_t aError,
                         void* aUser,
                         void*)
  {
    Connection& connection = ConnectionOf(aUser);
    if (connection.mHttp != nullptr) {
      nghttp3_conn_shutdown_stream_read(connection.mHttp, aId);
    }
    Stream* stream = connection.FindStream(aId);
    if (stream != nullptr && !stream->mDiscarded) {
      connection.mHooks.OnPeerReset(connection, *stream, aError);
    }
    return 0;
  }

  static int ExtendStreamData(ngtcp2_conn*,
                              int64_t aId,
                              uint64_t,
                              void* aUser,
                              void*)
  {
    Connection& connection = ConnectionOf(aUser);
    if (connection.mHttp != nullptr) {
      nghttp3_conn_unblock_stream(connection.mHttp, aId);
    }
    return 0;
  }

  static int ExtendRemoteStreams(ngtcp2_conn*, uint64_t aMax, void* aUser)
  {
    Connection& connection = ConnectionOf(aUser);
    if (connection.mHttp != nullptr) {
      nghttp3_conn_set_max_client_streams_bidi(connection.mHttp, aMax);
    }
    return 0;
  }

  static int HttpAckedStreamData(nghttp3_conn*,
                                 int64_t aId,
                                 uint64_t aSize,
                                 void* aUser,
                                 void*)
  {
    Connection& connection = ConnectionOf(aUser);
    Stream* stream = connection.FindStream(aId);
    if (stream == nullptr) {
      return 0;
    }
    stream->mBody.Acknowledge(aSize);
    if (stream->mNotifyWritable && !stream->mDiscarded &&
        stream->mBody.Size() <= connection.mLimits.mSendBuffer / 2) {
      stream->mNotifyWritable = false;
      connection.mHooks.OnWritable(connection, *stream);
    }
    return 0;
  }

  static int HttpRecvData(nghttp3_conn*,
                          int64_t aId,
                          const uint8_t* aData,
                          size_t aSize,
                          void* aUser,
                          void*)
  {
    Connection& connection = ConnectionOf(aUser);
    Stream* stream = connection.FindStream(aId);
    if (stream == nullptr || stream->mDiscarded) {
      ngtcp2_conn_extend_max_offset(connection.mConn, aSize);
      return 0;
    }
    stream->mUnconsumed += aSize;
    connection.mHooks.OnBody(connection, *stream, { aData, aSize });
    return 0;
  }

  static int HttpDeferredConsume(nghttp3_conn*,
                                 int64_t aId,
                                 size_t aSize,
                                 void* aUser,
                                 void*)
  {
    ngtcp2_conn* conn = ConnectionOf(aUser).mConn;
    ngtcp2_conn_extend_max_stream_offset(conn, aId, aSize);
    ngtcp2_conn_extend_max_offset(conn, aSize);
    return 0;
  }

  static int HttpBeginHeaders(nghttp3_conn*, int64_t aId, void* aUser, void*)
  {
    Connection& connection = ConnectionOf(aUser);
    auto& stream = connection.mStreams[aId];
    if (!stream) {
      stream = std::make_unique<Stream>();
      stream->mId = aId;
    }
    stream->mFields.clear();
    stream->mFieldBytes = 0;
    return 0;
  }

  static int HttpRecvHeader(nghttp3_conn*,
                            int64_t aId,
                            int32_t,
                            nghttp3_rcbuf* aName,
                            nghttp3_rcbuf* aValue,
                            uint8_t,
                            void* aUser,
                            void*)
  {
    Connection& connection = ConnectionOf(aUser);
    Stream* stream = connection.FindStream(aId);
    if (stream == nullptr || stream->mDiscarded) {
      return 0;
    }
    // The size of a field as defined in RFC 9114, 4.2.2.
    constexpr size_t kFieldOverhead = 32;
    const nghttp3_vec name = nghttp3_rcbuf_get_buf(aName);
    const nghttp3_vec value = nghttp3_rcbuf_get_buf(aValue);
    stream->mFieldBytes += name.len + value.len + kFieldOverhead;
    if (stream->mFieldBytes > connection.mLimits.mHeaderBytes) {
      connection.Discard(*stream,
                         connection.mServer ? Http3Error::RequestRejected
                                            : Http3Error::ExcessiveLoad);
      return 0;
    }
    stream->mFields.push_back(
      { std::string(name.base, name.base + name.len),
        std::string(value.base, value.base + value.len) });
    return 0;
  }

  static int HttpEndHeaders(nghttp3_conn*, int64_t aId, int, void* aUser, void*)
  {
    Connection& connection = ConnectionOf(aUser);
    Stream* stream = connection.FindStream(aId);
    if (stream != nullptr && !stream->mDiscarded) {
      connection.mHooks.OnHeaders(connection, *stream);
    }
    return 0;
  }

  static int HttpEndStream(nghttp3_conn*, int64_t aId, void* aUser, void*)
  {
    Connection& connection = ConnectionOf(aUser);
    Stream* stream = connection.FindStream(aId);
    if (stream == nullptr) {
      return 0;
    }
    stream->mReceiveComplete = true;
    if (!stream->mDiscarded) {
      connection.mHooks.OnReceiveComplete(connection, *stream);
    }
    return 0;
  }

  static int HttpStopSending(nghttp3_conn*,
                             int64_t aId,
                             uint64_t aError,
                             void* aUser,
                             void*)
  {
    ngtcp2_conn_shutdown_stream_read(ConnectionOf(aUser).mConn, aId, aError);
    return 0;
  }

  static int HttpResetStream(nghttp3_conn*,
                             int64_t aId,
                             uint64_t aError,
                             void* aUser,
                             void*)
  {
    ngtcp2_conn_shutdown_stream_write(ConnectionOf(aUser).mConn, aId, aError);
    return 0;
  }

  static int HttpShutdown(nghttp3_conn*, int64_t aFirstUnprocessed, void* aUser)
  {
    Connection& connection = ConnectionOf(aUser);
    connection.mHooks.OnGoaway(connection, aFirstUnprocessed);
    return 0;
  }

  static ngtcp2_callbacks Transport()
  {
    ngtcp2_callbacks table{};
    table.recv_crypto_data = RecvCryptoData;
    table.handshake_completed = HandshakeCompleted;
    table.encrypt = ngtcp2_crypto_encrypt_cb;
    table.decrypt = ngtcp2_crypto_decrypt_cb;
    table.hp_mask = ngtcp2_crypto_hp_mask_cb;
    table.recv_stream_data = RecvStreamData;
    table.acked_stream_data_offset = AckedStreamData;
    table.stream_close = StreamClose;
    table.stream_reset = StreamReset;
    table.rand = Rand;
    table.get_new_connection_id = NewConnectionId;
    table.remove_connection_id = RemoveConnectionId;
    table.update_key = ngtcp2_crypto_update_key_cb;
    table.extend_max_stream_data = ExtendStreamData;
    table.delete_crypto_aead_ctx = ngtcp2_crypto_delete_crypto_aead_ctx_cb;
    table.delete_crypto_cipher_ctx = ngtcp2_crypto_delete_crypto_cipher_ctx_cb;
    table.get_path_challenge_data = ngtcp2_crypto_get_path_challenge_data_cb;
    table.version_negotiation = ngtcp2_crypto_version_negotiation_cb;
    return table;
  }

  static ngtcp2_callbacks Server()
  {
    ngtcp2_callbacks table = Transport();
    table.recv_client_initial = ngtcp2_crypto_recv_client_initial_cb;
    table.extend_max_remote_streams_bidi = ExtendRemoteStreams;
    return table;
  }

  static ngtcp2_callbacks Client()
  {
    ngtcp2_callbacks table = Transport();
    table.client_initial = ngtcp2_crypto_client_initial_cb;
    table.recv_retry = ngtcp2_crypto_recv_retry_cb;
    return table;
  }

  static nghttp3_callbacks Http()
  {
    nghttp3_callbacks table{};
    table.acked_stream_data = HttpAckedStreamData;
    table.recv_data = HttpRecvData;
    table.deferred_consume = HttpDeferredConsume;
    table.begin_headers = HttpBeginHeaders;
    table.recv_header = HttpRecvHeader;
    table.end_headers = HttpEndHeaders;
    table.stop_sending = HttpStopSending;
    table.end_stream = HttpEndStream;
    table.reset_stream = HttpResetStream;
    table.shutdown = HttpShutdown;
    return table;
  }
};

const ngtcp2_callbacks&
ServerTransportCallbacks()
{
  static const ngtcp2_callbacks sTable = ConnectionCallbacks::Server();
  return sTable;
}

const ngtcp2_callbacks&
ClientTransportCallbacks()
{
  static const ngtcp2_callbacks sTable = ConnectionCallbacks::Client();
  return sTable;
}

const nghttp3_callbacks&
HttpCallbacks()
{
  static const nghttp3_callbacks sTable = ConnectionCallbacks::Http();
  return sTable;
}

ngtcp2_conn*
NativeConnectionOf(ngtcp2_crypto_conn_ref* aRef)
{
  return ConnectionCallbacks::NativeConnection(aRef);
}

nghttp3_ssize
ReadOutgoingBody(nghttp3_conn* /* aHttp */,
                 int64_t aStream,
                 nghttp3_vec* aVectors,
                 size_t aCount,
                 uint32_t* aFlags,
                 void* aUser,
                 void* /* aStreamUser */)
{
  Stream* stream = ConnectionCallbacks::ConnectionOf(aUser).FindStream(aStream);
  if (stream == nullptr) {
    return NGHTTP3_ERR_CALLBACK_FAILURE;
  }
  return stream->mBody.Read({ aVectors, aCount }, *aFlags);
}

} // namespace snipepost
