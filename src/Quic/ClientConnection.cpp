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
    , mEmit([sink = std::move(aSink)](std::span<const uint8_t> aBytes,
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
    mConnection.Write(aNow, mEmit);
    if (!mConnection.End()) {
      // A deadline in the past would make the owner's timer spin.
      mDeadline =
        std::max(mConnection.Expiry(), aNow + std::chrono::microseconds(1));
      return;
    }
    mFinished = true;
    mConnection.Finish(aNow, mEmit);
    mEvents.OnClosed(ToClientEnd(*mConnection.End()), mConnection.PeerError());
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
  static ClientEnd ToClientEnd(ConnectionEnd aEnd)
  {
    switch (aEnd) {
      case ConnectionEnd::PeerClosed:
        return ClientEnd::ClosedByServer;
      case ConnectionEnd::Refused:
        return ClientEnd::Refused;
      case ConnectionEnd::LocalClosed:
        return ClientEnd::ClosedByClient;
      case ConnectionEnd::TimedOut:
        return ClientEnd::TimedOut;
      case ConnectionEnd::ProtocolError:
        break;
    }
    return ClientEnd::ProtocolError;
  }

  void OnHandshakeCompleted(Connection&) override { mEvents.OnConnected(); }

  void OnFields(Connection&, Stream& aStream) override
  {
    // Interim responses carry nothing that a caller here uses.
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

  void OnReceived(Connection&, Stream& aStream) override
  {
    mEvents.OnResponseEnd(StreamId(aStream.mId));
  }

  void OnPeerReset(Connection& aConnection,
                   Stream& aStream,
                   uint64_t aError) override
  {
    if (!aStream.mReceived) {
      Report(aStream, aError);
    }
    aConnection.Discard(aStream, Http3Error::RequestCancelled);
  }

  void OnStreamClosed(Connection&,
                      Stream& aStream,
                      std::optional<uint64_t> aError) override
  {
    if (!aStream.mReceived) {
      Report(aStream, aError.value_or(0));
    }
  }

  void OnDrained(Connection&, Stream&) override {}

  void OnGoaway(Connection& aConnection, int64_t aId) override
  {
    aConnection.NoteGoaway();
    mEvents.OnGoaway(StreamId(aId));
    for (int64_t id : aConnection.StreamIds()) {
      Stream* stream = aConnection.FindStream(id);
      if (id >= aId && stream != nullptr && !stream->mDiscarded &&
          !stream->mReceived) {
        aConnection.Discard(*stream, Http3Error::RequestCancelled);
        mEvents.OnRejected(StreamId(id));
      }
    }
  }

  void IssueId(Connection&, ngtcp2_cid& aId) override
  {
    gnutls_rnd(GNUTLS_RND_NONCE, aId.data, aId.datalen);
  }

  void RetireId(Connection&, const ngtcp2_cid&) override {}

  void Report(Stream& aStream, uint64_t aError)
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
  Connection::Emit mEmit;
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
