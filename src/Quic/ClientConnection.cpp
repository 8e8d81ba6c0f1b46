#include <snipepost/Quic/ClientConnection.h>

#include <gnutls/crypto.h>

#include "src/Quic/Connection.h"

namespace snipepost {

class ClientConnection::Impl : private ConnectionHooks
{
public:
  Impl(const Credentials& aCredentials,
       const QuicLimits& aLimits,
       const std::string& aServerName,
       const Address& aLocal,
       const Address& aRemote,
       DatagramSink aSink,
       ClientEvents& aEvents,
       Instant aNow)
    : mLimits(aLimits)
    , mPath(aLocal, aRemote)
    , mPayloadSink([sink = std::move(aSink)](std::span<const uint8_t> aBytes,
                                             const Address&) { sink(aBytes); })
    , mEvents(aEvents)
    , mConnection(ConnectionHandle(1), mLimits, *this)
    , mCredentials(aCredentials)
  {
    if (!mConnection.StartClient(mCredentials, mPath, aServerName, aNow)) {
      mConnection.Close(Http3Error::InternalError);
    }
  }

  void OnDatagram(std::span<const uint8_t> aPayload, Instant aNow)
  {
    mConnection.Read(mPath, aPayload, aNow);
    mDirty = true;
  }

  Instant NextDeadline() const
  {
    if (mFinished) {
      return Instant::max();
    }
    return mDirty ? Instant() : mDeadline;
  }

  void OnTimer(Instant aNow)
  {
    if (!mFinished && mDeadline <= aNow) {
      mConnection.HandleExpiry(aNow);
      mDirty = true;
    }
  }

  void Flush(Instant aNow)
  {
    if (mFinished || !mDirty) {
      return;
    }
    mDirty = false;
    mConnection.Write(aNow, mPayloadSink);
    if (!mConnection.CloseReason()) {
      // With a deadline in the past the owner's timer would fire in a busy
      // loop.
      mDeadline =
        std::max(mConnection.Expiry(), aNow + std::chrono::microseconds(1));
      return;
    }
    mFinished = true;
    mConnection.Finish(aNow, mPayloadSink);
    mEvents.OnClosed(ToClientCloseReason(*mConnection.CloseReason()),
                     mConnection.PeerError());
  }

  std::optional<StreamId> Submit(const HttpFields& aFields,
                                 std::span<const uint8_t> aBody)
  {
    Stream* stream = mConnection.SubmitRequest(aFields, aBody);
    if (stream == nullptr) {
      return std::nullopt;
    }
    mDirty = true;
    return StreamId(stream->mId);
  }

  void Cancel(StreamId aStream)
  {
    Stream* stream = mConnection.FindStream(aStream.Value());
    if (stream != nullptr && !stream->mDiscarded) {
      mConnection.Discard(*stream, Http3Error::RequestCancelled);
      mDirty = true;
    }
  }

  void Close(Http3Error aError)
  {
    mConnection.Close(aError);
    mDirty = true;
  }

  bool IsOpen() const { return mConnection.IsOpen(); }

private:
  static ClientCloseReason ToClientCloseReason(ConnectionCloseReason aReason)
  {
    switch (aReason) {
      case ConnectionCloseReason::PeerClosed:
        return ClientCloseReason::ClosedByServer;
      case ConnectionCloseReason::Refused:
        return ClientCloseReason::Refused;
      case ConnectionCloseReason::LocalClosed:
        return ClientCloseReason::ClosedByClient;
      case ConnectionCloseReason::TimedOut:
        return ClientCloseReason::TimedOut;
      case ConnectionCloseReason::ProtocolError:
        break;
    }
    return ClientCloseReason::ProtocolError;
  }

  void OnHandshakeCompleted(Connection&) override { mEvents.OnConnected(); }

  void OnHeaders(Connection&, Stream& aStream) override
  {
    // Interim responses (1xx) are ignored, as no owner uses their fields.
    if (!FieldValue(aStream.mFields, ":status").starts_with('1')) {
      mEvents.OnResponseHeaders(StreamId(aStream.mId), aStream.mFields);
    }
    aStream.mFields = {};
  }

  void OnBody(Connection& aConnection,
              Stream& aStream,
              std::span<const uint8_t> aBytes) override
  {
    mEvents.OnResponseBody(StreamId(aStream.mId), aBytes);
    aConnection.Consume(aStream, aBytes.size());
  }

  void OnReceiveComplete(Connection&, Stream& aStream) override
  {
    mEvents.OnResponseEnd(StreamId(aStream.mId));
  }

  void OnPeerReset(Connection& aConnection,
                   Stream& aStream,
                   uint64_t aError) override
  {
    if (!aStream.mReceiveComplete) {
      ReportFailure(aStream, aError);
    }
    aConnection.Discard(aStream, Http3Error::RequestCancelled);
  }

  void OnStreamClosed(Connection&,
                      Stream& aStream,
                      std::optional<uint64_t> aError) override
  {
    if (!aStream.mReceiveComplete) {
      ReportFailure(aStream, aError.value_or(0));
    }
  }

  void OnWritable(Connection&, Stream&) override {}

  void OnGoaway(Connection& aConnection, int64_t aFirstUnprocessed) override
  {
    aConnection.SetGoawayReceived();
    mEvents.OnGoaway(StreamId(aFirstUnprocessed));
    for (int64_t id : aConnection.StreamIds()) {
      Stream* stream = aConnection.FindStream(id);
      if (id >= aFirstUnprocessed && stream != nullptr && !stream->mDiscarded &&
          !stream->mReceiveComplete) {
        aConnection.Discard(*stream, Http3Error::RequestCancelled);
        mEvents.OnRejected(StreamId(id));
      }
    }
  }

  void IssueConnectionId(Connection&, ngtcp2_cid& aId) override
  {
    gnutls_rnd(GNUTLS_RND_NONCE, aId.data, aId.datalen);
  }

  void RetireConnectionId(Connection&, const ngtcp2_cid&) override {}

  void ReportFailure(Stream& aStream, uint64_t aError)
  {
    aStream.mDiscarded = true;
    const StreamId id(aStream.mId);
    if (aError == static_cast<uint64_t>(Http3Error::RequestRejected)) {
      mEvents.OnRejected(id);
    } else {
      mEvents.OnResponseBroken(id, aError);
    }
  }

  QuicLimits mLimits;
  Path mPath;
  Connection::PayloadSink mPayloadSink;
  ClientEvents& mEvents;
  Connection mConnection;
  Credentials mCredentials;
  Instant mDeadline = Instant::max();
  bool mDirty = true;
  bool mFinished = false;
};

ClientConnection::ClientConnection(const Credentials& aCredentials,
                                   const QuicLimits& aLimits,
                                   const std::string& aServerName,
                                   const Address& aLocal,
                                   const Address& aRemote,
                                   DatagramSink aSink,
                                   ClientEvents& aEvents,
                                   Instant aNow)
  : mImpl(std::make_unique<Impl>(aCredentials,
                                 aLimits,
                                 aServerName,
                                 aLocal,
                                 aRemote,
                                 std::move(aSink),
                                 aEvents,
                                 aNow))
{
}

ClientConnection::~ClientConnection() = default;

void
ClientConnection::OnDatagram(std::span<const uint8_t> aPayload, Instant aNow)
{
  mImpl->OnDatagram(aPayload, aNow);
}

Instant
ClientConnection::NextDeadline() const
{
  return mImpl->NextDeadline();
}

void
ClientConnection::OnTimer(Instant aNow)
{
  mImpl->OnTimer(aNow);
}

void
ClientConnection::Flush(Instant aNow)
{
  mImpl->Flush(aNow);
}

std::optional<StreamId>
ClientConnection::Submit(const HttpFields& aFields,
                         std::span<const uint8_t> aBody)
{
  return mImpl->Submit(aFields, aBody);
}

void
ClientConnection::Cancel(StreamId aStream)
{
  mImpl->Cancel(aStream);
}

void
ClientConnection::Close(Http3Error aError)
{
  mImpl->Close(aError);
}

bool
ClientConnection::IsOpen() const
{
  return mImpl->IsOpen();
}

} // namespace snipepost
