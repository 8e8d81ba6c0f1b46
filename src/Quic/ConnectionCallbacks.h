#pragma once

#include <nghttp3/nghttp3.h>
#include <ngtcp2/ngtcp2.h>
#include <ngtcp2/ngtcp2_crypto.h>

namespace snipepost {

/// The tables of functions that ngtcp2 and nghttp3 call for a Connection.
const ngtcp2_callbacks&
ServerTransportCallbacks();
const ngtcp2_callbacks&
ClientTransportCallbacks();
const nghttp3_callbacks&
HttpCallbacks();
/// Returns the connection that a GnuTLS session belongs to.
ngtcp2_conn*
ConnOfRef(ngtcp2_crypto_conn_ref* aRef);
/// Reads an outgoing body; for nghttp3_data_reader.
nghttp3_ssize
ReadOutgoingBody(nghttp3_conn* aHttp,
                 int64_t aStream,
                 nghttp3_vec* aVectors,
                 size_t aCount,
                 uint32_t* aFlags,
                 void* aUser,
                 void* aStreamUser);

} // namespace snipepost
