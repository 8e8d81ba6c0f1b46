#pragma once

#include <array>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include <gnutls/gnutls.h>
#include <netinet/in.h>
#include <nghttp3/nghttp3.h>
#include <ngtcp2/ngtcp2.h>
#include <ngtcp2/ngtcp2_crypto.h>

#include <snipepost/Quic/Credentials.h>
#include <snipepost/Quic/Types.h>

#include "src/Quic/OutgoingBody.h"

namespace snipepost {

/// A request stream: one request and its response.
struct Stream
{
  int64_t mId = -1;
  HttpFields mFields;
  size_t mFieldBytes = 0;
  OutgoingBody mBody;
  /// Received body bytes whose flow control credit has not been returned.
  size_t mUnconsumed = 0;
  /// The message from the peer is complete.
  bool mReceiveComplete = false;
  bool mResponded = false;
  /// SendBody() accepted only a part of its bytes, so OnWritable() is due.
  bool mNotifyWritable = false;
  /// Reset or cancelled by this side, or reported as finished: no more events
  /// are reported.
  bool mDiscarded = false;
};

enum class ConnectionCloseReason : uint8_t
{
  PeerClosed,
  Refused,
  LocalClosed,
  TimedOut,
  ProtocolError,
};

class Connection;

/// Callbacks from a Connection to its owner.
class ConnectionHooks
{
public:
  virtual ~ConnectionHooks() = default;
  virtual void OnHandshakeCompleted(Connection& aConnection) = 0;
  virtual void OnHeaders(Connection& aConnection, Stream& aStream) = 0;
  virtual void OnBody(Connection& aConnection,
                      Stream& aStream,
                      std::span<const uint8_t> aBytes) = 0;
  virtual void OnReceiveComplete(Connection& aConnection, Stream& aStream) = 0;
  /// The peer reset its sending side of the stream.
  virtual void OnPeerReset(Connection& aConnection,
                           Stream& aStream,
                           uint64_t aError) = 0;
  /// Both directions are closed. aError is the error code of a reset, 0 when
  /// the connection was closed, or nothing when both directions were complete.
  virtual void OnStreamClosed(Connection& aConnection,
                              Stream& aStream,
                              std::optional<uint64_t> aError) = 0;
  virtual void OnWritable(Connection& aConnection, Stream& aStream) = 0;
  virtual void OnGoaway(Connection& aConnection, int64_t aFirstUnprocessed) = 0;
  /// Writes a new connection ID of aId.datalen bytes into aId.data.
  virtual void IssueConnectionId(Connection& aConnection, ngtcp2_cid& aId) = 0;
  /// Writes the stateless reset token of aId; false if this side issues none.
  virtual bool IssueResetToken(const ngtcp2_cid& /* aId */,
                               uint8_t* /* aToken */)
  {
    return false;
  }
  virtual void RetireConnectionId(Connection& aConnection,
                                  const ngtcp2_cid& aId) = 0;
};

/// The addresses of a network path, as an ngtcp2_path.
class Path
{
public:
  Path(const Address& aLocal, const Address& aRemote);
  Path(const Path&) = delete;
  Path& operator=(const Path&) = delete;
  const ngtcp2_path* Get() const { return &mPath; }

private:
  sockaddr_in mLocal;
  sockaddr_in mRemote;
  ngtcp2_path mPath;
};

/// Converts to a timestamp of ngtcp2.
inline ngtcp2_tstamp
ToTimestamp(Instant aInstant)
{
  return static_cast<ngtcp2_tstamp>(aInstant.time_since_epoch().count());
}

/// The largest UDP payload sent. QUIC requires that every path carries 1,200
/// bytes. A larger payload could exceed the MTU, as the headers between
/// snipepost processes are added to it.
constexpr size_t kMaxPayloadSize = 1200;

/// A QUIC connection with HTTP/3, for client and server.
class Connection
{
public:
  /// Sends a UDP payload to aRemote.
  using PayloadSink =
    std::function<void(std::span<const uint8_t>, const Address& aRemote)>;

  Connection(ConnectionHandle aHandle,
             const QuicLimits& aLimits,
             ConnectionHooks& aHooks);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Sets up the server side from the header of an Initial. Returns false on
  /// failure.
  bool StartServer(const Credentials& aCredentials,
                   const Path& aPath,
                   const ngtcp2_pkt_hd& aInitial,
                   Instant aNow);

  /// Sets up the client side. Returns false on failure.
  bool StartClient(const Credentials& aCredentials,
                   const Path& aPath,
                   const std::string& aServerName,
                   Instant aNow);

  ConnectionHandle Handle() const { return mHandle; }
  bool IsOpen() const { return mHttp != nullptr && !mCloseReason; }
  std::optional<ConnectionCloseReason> CloseReason() const
  {
    return mCloseReason;
  }
  /// The error code with which the peer closed the connection.
  uint64_t PeerError() const { return mPeerError; }

  void Read(const Path& aPath, std::span<const uint8_t> aBytes, Instant aNow);
  void HandleExpiry(Instant aNow);
  /// Instant::max() when there is no deadline.
  Instant Expiry() const;
  void Write(Instant aNow, const PayloadSink& aSink);
  void Close(Http3Error aError);

  /// Called when CloseReason() has a value: sends CONNECTION_CLOSE if it is due
  /// and releases everything but that packet. Returns the closing period, in
  /// which late packets of the peer may arrive (3 PTO; RFC 9000, 10.2).
  Duration Finish(Instant aNow, const PayloadSink& aSink);
  /// Responds to a packet that arrives after Finish().
  void RetransmitClose(const Address& aRemote, const PayloadSink& aSink);

  Stream* FindStream(int64_t aId);
  size_t StreamCount() const { return mStreams.size(); }
  std::vector<int64_t> StreamIds() const;
  /// No requests can be submitted from now on.
  void SetGoawayReceived() { mGoawayReceived = true; }

  bool SubmitResponse(Stream& aStream, const HttpFields& aFields, bool aFin);
  Stream* SubmitRequest(const HttpFields& aFields,
                        std::span<const uint8_t> aBody);
  size_t SendBody(Stream& aStream, std::span<const uint8_t> aBytes, bool aFin);
  void Consume(Stream& aStream, size_t aCount);
  /// Resets the stream in both directions; no more events are reported.
  void Discard(Stream& aStream, Http3Error aError);
  void SubmitShutdownNotice();
  void SubmitGoaway();

private:
  friend struct ConnectionCallbacks;

  bool MakeTls(const Credentials& aCredentials, unsigned aFlags);
  ngtcp2_settings MakeSettings(Instant aNow) const;
  ngtcp2_transport_params MakeParams() const;
  bool StartHttp();
  void ReleaseTls();
  void Fail(int aError);
  /// Stores the HTTP/3 error for CONNECTION_CLOSE; Fail() then closes the
  /// connection.
  void StoreHttpError(int aError);
  /// Writes one datagram; returns false when there is nothing to send now.
  bool WriteDatagram(Instant aNow, const PayloadSink& aSink, size_t& aWritten);
  /// Returns true when writing can continue.
  bool HandleWriteError(int aError, int64_t aStream);

  ConnectionHandle mHandle;
  const QuicLimits& mLimits;
  ConnectionHooks& mHooks;
  ngtcp2_conn* mConn = nullptr;
  nghttp3_conn* mHttp = nullptr;
  gnutls_session_t mTls = nullptr;
  ngtcp2_crypto_conn_ref mConnRef{};
  std::map<int64_t, std::unique_ptr<Stream>> mStreams;
  std::optional<ConnectionCloseReason> mCloseReason;
  uint64_t mPeerError = 0;
  /// The error to send in CONNECTION_CLOSE; unset when none is sent.
  std::optional<ngtcp2_connection_close_error> mCloseError;
  std::vector<uint8_t> mClosePacket;
  uint8_t mCloseRetransmissions = 0;
  bool mServer = false;
  bool mGoawayReceived = false;
};

} // namespace snipepost
