#include "src/Quic/Connection.h"

#include <gnutls/crypto.h>
#include <ngtcp2/ngtcp2_crypto_gnutls.h>

#include "src/Quic/ConnectionCallbacks.h"

namespace snipepost {

namespace {

// TLS 1.3 only; ngtcp2 doesn't support GnuTLS's middlebox compatibility mode.
constexpr const char* kPriority =
  "NORMAL:-VERS-ALL:+VERS-TLS1.3:-CIPHER-ALL:+AES-128-GCM:+AES-256-GCM:"
  "+CHACHA20-POLY1305:-GROUP-ALL:+GROUP-X25519:+GROUP-SECP256R1:"
  "%DISABLE_TLS13_COMPAT_MODE";

// Connection IDs of the peer that this side stores
// (active_connection_id_limit). With more than one, a caller can change its
// address or retire an ID without waiting for a NEW_CONNECTION_ID frame.
constexpr uint64_t kActiveConnectionIds = 4;
// Length of the client's own connection IDs.
constexpr size_t kClientIdLength = 8;
// Length of the random destination ID in the client's first Initial.
constexpr size_t kInitialDestinationIdLength = 18;
// The control stream and the two QPACK streams of each side.
constexpr uint64_t kUnidirectionalStreams = 3;
// A third of the default idle timeout, so the loss of two PINGs is tolerated.
constexpr Duration kKeepAliveInterval = std::chrono::seconds(10);

void
RandomId(ngtcp2_cid& aId, size_t aLength)
{
  aId.datalen = aLength;
  gnutls_rnd(GNUTLS_RND_NONCE, aId.data, aLength);
}

} // namespace

bool
Connection::MakeTls(const Credentials& aCredentials, unsigned aFlags)
{
  // Session tickets are only needed for resumption, which is not supported.
  if (gnutls_init(&mTls, aFlags | GNUTLS_NO_TICKETS) != 0) {
    return false;
  }
  gnutls_session_set_ptr(mTls, &mConnRef);
  std::array<unsigned char, 2> name{ 'h', '3' };
  const gnutls_datum_t alpn{ name.data(), name.size() };
  return gnutls_priority_set_direct(mTls, kPriority, nullptr) == 0 &&
         gnutls_credentials_set(
           mTls, GNUTLS_CRD_CERTIFICATE, aCredentials.Handle()) == 0 &&
         gnutls_alpn_set_protocols(mTls, &alpn, 1, GNUTLS_ALPN_MANDATORY) == 0;
}

ngtcp2_settings
Connection::MakeSettings(Instant aNow) const
{
  ngtcp2_settings settings;
  ngtcp2_settings_default(&settings);
  settings.initial_ts = ToTimestamp(aNow);
  settings.max_tx_udp_payload_size = kMaxPayloadSize;
  settings.no_pmtud = 1;
  // Keeps ngtcp2 from growing the windows with the throughput.
  settings.max_window = mLimits.mConnectionWindow;
  settings.max_stream_window = mLimits.mStreamWindow;
  settings.handshake_timeout =
    static_cast<ngtcp2_duration>(mLimits.mHandshakeTimeout.count());
  return settings;
}

ngtcp2_transport_params
Connection::MakeParams() const
{
  ngtcp2_transport_params params;
  ngtcp2_transport_params_default(&params);
  params.initial_max_streams_bidi = mServer ? mLimits.mStreamsPerConnection : 0;
  params.initial_max_streams_uni = kUnidirectionalStreams;
  params.initial_max_data = mLimits.mConnectionWindow;
  params.initial_max_stream_data_bidi_local = mLimits.mStreamWindow;
  params.initial_max_stream_data_bidi_remote = mLimits.mStreamWindow;
  params.initial_max_stream_data_uni = mLimits.mStreamWindow;
  params.max_idle_timeout =
    static_cast<ngtcp2_duration>(mLimits.mIdleTimeout.count());
  params.active_connection_id_limit = kActiveConnectionIds;
  return params;
}

bool
Connection::StartServer(const Credentials& aCredentials,
                        const Path& aPath,
                        const ngtcp2_pkt_hd& aInitial,
                        Instant aNow)
{
  mServer = true;
  if (!MakeTls(aCredentials, GNUTLS_SERVER) ||
      ngtcp2_crypto_gnutls_configure_server_session(mTls) != 0) {
    return false;
  }
  ngtcp2_cid id;
  id.datalen = kConnectionIdLength;
  mHooks.IssueConnectionId(*this, id);
  const ngtcp2_settings settings = MakeSettings(aNow);
  ngtcp2_transport_params params = MakeParams();
  params.original_dcid = aInitial.dcid;
  params.stateless_reset_token_present =
    mHooks.IssueResetToken(id, params.stateless_reset_token) ? 1 : 0;
  if (ngtcp2_conn_server_new(&mConn,
                             &aInitial.scid,
                             &id,
                             aPath.Get(),
                             aInitial.version,
                             &ServerTransportCallbacks(),
                             &settings,
                             &params,
                             nullptr,
                             this) != 0) {
    return false;
  }
  ngtcp2_conn_set_tls_native_handle(mConn, mTls);
  return true;
}

bool
Connection::StartClient(const Credentials& aCredentials,
                        const Path& aPath,
                        const std::string& aServerName,
                        Instant aNow)
{
  if (!MakeTls(aCredentials, GNUTLS_CLIENT) ||
      ngtcp2_crypto_gnutls_configure_client_session(mTls) != 0 ||
      gnutls_server_name_set(
        mTls, GNUTLS_NAME_DNS, aServerName.data(), aServerName.size()) != 0) {
    return false;
  }
  ngtcp2_cid destination;
  ngtcp2_cid source;
  RandomId(destination, kInitialDestinationIdLength);
  RandomId(source, kClientIdLength);
  const ngtcp2_settings settings = MakeSettings(aNow);
  const ngtcp2_transport_params params = MakeParams();
  if (ngtcp2_conn_client_new(&mConn,
                             &destination,
                             &source,
                             aPath.Get(),
                             NGTCP2_PROTO_VER_V1,
                             &ClientTransportCallbacks(),
                             &settings,
                             &params,
                             nullptr,
                             this) != 0) {
    return false;
  }
  ngtcp2_conn_set_tls_native_handle(mConn, mTls);
  ngtcp2_conn_set_keep_alive_timeout(
    mConn, static_cast<ngtcp2_duration>(kKeepAliveInterval.count()));
  return true;
}

bool
Connection::StartHttp()
{
  nghttp3_settings settings;
  nghttp3_settings_default(&settings);
  settings.max_field_section_size = mLimits.mHeaderBytes;
  auto* create = mServer ? nghttp3_conn_server_new_versioned
                         : nghttp3_conn_client_new_versioned;
  if (create(&mHttp,
             NGHTTP3_CALLBACKS_VERSION,
             &HttpCallbacks(),
             NGHTTP3_SETTINGS_VERSION,
             &settings,
             nullptr,
             this) != 0) {
    return false;
  }
  if (mServer) {
    nghttp3_conn_set_max_client_streams_bidi(mHttp,
                                             mLimits.mStreamsPerConnection);
  }
  std::array<int64_t, kUnidirectionalStreams> ids{};
  for (int64_t& id : ids) {
    if (ngtcp2_conn_open_uni_stream(mConn, &id, nullptr) != 0) {
      return false;
    }
  }
  return nghttp3_conn_bind_control_stream(mHttp, ids[0]) == 0 &&
         nghttp3_conn_bind_qpack_streams(mHttp, ids[1], ids[2]) == 0;
}

} // namespace snipepost
