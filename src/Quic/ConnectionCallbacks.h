#pragma once

#include <nghttp3/nghttp3.h>
#include <ngtcp2/ngtcp2.h>
#include <ngtcp2/ngtcp2_crypto.h>

namespace snipepost {

/// The callback tables with which ngtcp2 and nghttp3 call a Connection.
const ngtcp2_callbacks&
ServerTransportCallbacks();
const ngtcp2_callbacks&
ClientTransportCallbacks();
const nghttp3_callbacks&
HttpCallbacks();
/// Returns the QUIC connection of a GnuTLS session.
ngtcp2_conn*
NativeConnectionOf(ngtcp2_crypto_conn_ref* aRef);
/// Reads an outgoing body; implements nghttp3_read_data_callback.
nghttp3_ssize
ReadOutgoingBody(nghttp3_conn* aHttp,
                 int64_t aStream,
                 nghttp3_vec* aVectors,
                 size_t aCount,
                 uint32_t* aFlags,
                 void* aUser,
                 void* aStreamUser);

} // namespace snipepost
