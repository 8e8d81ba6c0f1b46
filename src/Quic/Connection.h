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

/// One request stream and its response.
struct Stream
{
  int64_t mId = -1;
  HttpFields mFields;
  size_t mFieldBytes = 0;
  OutgoingBody mBody;
  /// Received body bytes whose flow control credit was not returned.
  size_t mUnconsumed = 0;
  /// The receiving side is complete.
  bool mReceived = false;
  bool mResponded = false;
  /// SendBody() took less than it was given.
  bool mWantsDrained = false;
  /// Reset or given up by this side or reported as over: no more events.
  bool mDiscarded = false;
};

enum class ConnectionEnd : uint8_t
{
  PeerClosed,
  Refused,
  LocalClosed,
  TimedOut,
  ProtocolError,
};

class Connection;

/// What a Connection tells the endpoint that owns it.
class ConnectionHooks
{
public:
  virtual ~ConnectionHooks() = default;
  virtual void OnHandshakeCompleted(Connection& aConnection) = 0;
  virtual void OnFields(Connection& aConnection, Stream& aStream) = 0;
  virtual void OnBody(Connection& aConnection,
                      Stream& aStream,
                      std::span<const uint8_t> aBytes) = 0;
  virtual void OnReceived(Connection& aConnection, Stream& aStream) = 0;
  /// The peer reset its sending side, or everything with a GOAWAY.
  virtual void OnPeerReset(Connection& aConnection,
                           Stream& aStream,
                           uint64_t aError) = 0;
  /// Both sides are closed; without aError both were complete.
  virtual void OnStreamClosed(Connection& aConnection,
                              Stream& aStream,
                              std::optional<uint64_t> aError) = 0;
  virtual void OnDrained(Connection& aConnection, Stream& aStream) = 0;
  virtual void OnGoaway(Connection& aConnection, int64_t aId) = 0;
  /// Fills in a new connection ID, whose length is set.
  virtual void IssueId(Connection& aConnection, ngtcp2_cid& aId) = 0;
  /// Fills in the stateless reset token of an ID, if this side issues any.
  virtual bool IssueResetToken(const ngtcp2_cid& /* aId */,
                               uint8_t* /* aToken */)
  {
    return false;
  }
  virtual void RetireId(Connection& aConnection, const ngtcp2_cid& aId) = 0;
};

/// Addresses of one path in the form that ngtcp2 needs.
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

/// Converts to and from the time stamps of ngtcp2.
inline ngtcp2_tstamp
ToStamp(Instant aInstant)
{
  return static_cast<ngtcp2_tstamp>(aInstant.time_since_epoch().count());
}

/// The largest UDP payload sent. QUIC requires 1,200 bytes of every path, and
/// the headers between snipepost processes add to it.
constexpr size_t kMaxDatagram = 1200;

/// One QUIC connection with HTTP/3 over it, for either side.
class Connection
{
public:
  using Emit =
    std::function<void(std::span<const uint8_t>, const Address& aRemote)>;

  Connection(ConnectionHandle aHandle,
             const QuicLimits& aLimits,
             ConnectionHooks& aHooks);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Sets up the server side from the header of an Initial. False on failure.
  bool StartServer(const Credentials& aCredentials,
                   const Path& aPath,
                   const ngtcp2_pkt_hd& aInitial,
                   Instant aNow);

  /// Sets up the client side. False on failure.
  bool StartClient(const Credentials& aCredentials,
                   const Path& aPath,
                   const std::string& aServerName,
                   Instant aNow);

  ConnectionHandle Handle() const { return mHandle; }
  bool IsOpen() const { return mHttp != nullptr && !mEnd; }
  std::optional<ConnectionEnd> End() const { return mEnd; }
  /// The error code that the peer closed the connection with.
  uint64_t PeerError() const { return mPeerError; }

  void Read(const Path& aPath, std::span<const uint8_t> aBytes, Instant aNow);
  void HandleExpiry(Instant aNow);
  /// Instant::max() when there is no deadline.
  Instant Expiry() const;
  void Write(Instant aNow, const Emit& aEmit);
  void Close(Http3Error aError);

  /// After End() has a value: sends CONNECTION_CLOSE if it is due and releases
  /// everything but the packet. Returns how long late packets of the peer may
  /// arrive (3 PTO; RFC 9000, 10.2).
  Duration Finish(Instant aNow, const Emit& aEmit);
  /// Answers a packet that came after Finish().
  void RepeatClose(const Address& aRemote, const Emit& aEmit);

  Stream* FindStream(int64_t aId);
  size_t StreamCount() const { return mStreams.size(); }
  std::vector<int64_t> StreamIds() const;
  /// No request may be submitted from now on.
  void NoteGoaway() { mGoawayReceived = true; }

  bool SubmitResponse(Stream& aStream, const HttpFields& aFields, bool aEnd);
  Stream* SubmitRequest(const HttpFields& aFields,
                        std::span<const uint8_t> aBody);
  size_t SendBody(Stream& aStream, std::span<const uint8_t> aBytes, bool aEnd);
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
  void FailHttp(int aError);
  /// Writes one packet; false when there is nothing more to send now.
  bool WritePacket(Instant aNow, const Emit& aEmit, size_t& aWritten);
  bool HandleWriteError(int aError, int64_t aStream);

  ConnectionHandle mHandle;
  const QuicLimits& mLimits;
  ConnectionHooks& mHooks;
  ngtcp2_conn* mConn = nullptr;
  nghttp3_conn* mHttp = nullptr;
  gnutls_session_t mTls = nullptr;
  ngtcp2_crypto_conn_ref mRef{};
  std::map<int64_t, std::unique_ptr<Stream>> mStreams;
  std::optional<ConnectionEnd> mEnd;
  uint64_t mPeerError = 0;
  /// Error to close with; unset when the connection ends without a packet.
  std::optional<ngtcp2_connection_close_error> mCloseError;
  std::vector<uint8_t> mClosePacket;
  uint8_t mCloseRepeats = 0;
  bool mServer = false;
  bool mGoawayReceived = false;
};

} // namespace snipepost
