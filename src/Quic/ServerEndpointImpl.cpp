#include "src/Quic/ServerEndpointImpl.h"

#include <algorithm>

#include <gnutls/crypto.h>
#include <xxhash.h>

namespace snipepost {

namespace {

uint64_t
RandomSeed()
{
  uint64_t seed = 0;
  gnutls_rnd(GNUTLS_RND_NONCE, &seed, sizeof seed);
  return seed;
}

std::span<const uint8_t>
DestinationId(std::span<const uint8_t> aPayload)
{
  // ngtcp2 asserts that there is at least one byte.
  if (aPayload.empty()) {
    return {};
  }
  ngtcp2_version_cid ids{};
  const int error = ngtcp2_pkt_decode_version_cid(
    &ids, aPayload.data(), aPayload.size(), kConnectionIdLength);
  if (error != 0 || ids.dcidlen > NGTCP2_MAX_CIDLEN) {
    return {};
  }
  return { ids.dcid, ids.dcidlen };
}

// True for an Initial of the supported version that may start a connection.
bool
DecodeInitial(std::span<const uint8_t> aPayload, ngtcp2_pkt_hd& aHeader)
{
  return aPayload.size() >= NGTCP2_MAX_UDP_PAYLOAD_SIZE &&
         !DestinationId(aPayload).empty() &&
         ngtcp2_accept(&aHeader, aPayload.data(), aPayload.size()) == 0 &&
         aHeader.type == NGTCP2_PKT_INITIAL &&
         aHeader.version == NGTCP2_PROTO_VER_V1;
}

FlowEnd
ToFlowEnd(ConnectionEnd aEnd)
{
  switch (aEnd) {
    case ConnectionEnd::PeerClosed:
    case ConnectionEnd::Refused:
      return FlowEnd::ClosedByCaller;
    case ConnectionEnd::LocalClosed:
      return FlowEnd::ClosedByServer;
    case ConnectionEnd::TimedOut:
      return FlowEnd::TimedOut;
    case ConnectionEnd::ProtocolError:
      break;
  }
  return FlowEnd::ProtocolError;
}

RequestHandle
HandleOf(const Connection& aConnection, const Stream& aStream)
{
  return { aConnection.Handle(), StreamId(aStream.mId) };
}

} // namespace

IdKey::IdKey(std::span<const uint8_t> aBytes)
  : mLength(static_cast<uint8_t>(aBytes.size()))
{
  std::copy(aBytes.begin(), aBytes.end(), mBytes.begin());
}

size_t
IdHash::operator()(const IdKey& aKey) const
{
  return XXH3_64bits_withSeed(aKey.mBytes.data(), aKey.mLength, mSeed);
}

ServerEndpoint::Impl::Impl(Credentials aCredentials,
                           const QuicLimits& aLimits,
                           const Address& aLocal,
                           RouteIdIssuer aIssuer,
                           DatagramSink aSink,
                           ServerEvents& aEvents)
  : mCredentials(std::move(aCredentials))
  , mLimits(aLimits)
  , mLocal(aLocal)
  , mIssuer(std::move(aIssuer))
  , mSink(std::move(aSink))
  , mEvents(aEvents)
  , mIds(0, IdHash{ RandomSeed() })
{
}

ServerEndpoint::Impl::Entry*
ServerEndpoint::Impl::Find(std::span<const uint8_t> aPayload) const
{
  const auto id = DestinationId(aPayload);
  if (id.empty()) {
    return nullptr;
  }
  const auto found = mIds.find(IdKey(id));
  return found == mIds.end() ? nullptr : found->second;
}

ServerEndpoint::Impl::Entry*
ServerEndpoint::Impl::FindEntry(ConnectionHandle aHandle) const
{
  const auto found = mEntries.find(aHandle);
  return found == mEntries.end() ? nullptr : found->second.get();
}

Connection::Emit
ServerEndpoint::Impl::EmitFor(ConnectionHandle aHandle) const
{
  return
    [this, aHandle](std::span<const uint8_t> aBytes, const Address& aRemote) {
      mSink(aBytes, aRemote, aHandle);
    };
}

std::optional<ConnectionHandle>
ServerEndpoint::Impl::OnDatagram(std::span<const uint8_t> aPayload,
                                 const Address& aCaller,
                                 Instant aNow)
{
  Entry* entry = Find(aPayload);
  if (entry == nullptr) {
    return std::nullopt;
  }
  const ConnectionHandle handle = entry->mConnection.Handle();
  if (entry->mFinished) {
    entry->mConnection.RepeatClose(aCaller, EmitFor(handle));
    return handle;
  }
  entry->mConnection.Read(Path(mLocal, aCaller), aPayload, aNow);
  MarkDirty(*entry);
  return handle;
}

std::optional<ConnectionHandle>
ServerEndpoint::Impl::Accept(std::span<const uint8_t> aPayload,
                             const Address& aCaller,
                             Instant aNow)
{
  ngtcp2_pkt_hd header{};
  if (mLive >= mLimits.mConnections || !DecodeInitial(aPayload, header) ||
      Find(aPayload) != nullptr) {
    return std::nullopt;
  }
  const ConnectionHandle handle(++mLastHandle);
  const Path path(mLocal, aCaller);
  Entry& entry =
    *(mEntries[handle] = std::make_unique<Entry>(handle, mLimits, *this));
  ++mLive;
  AddId(entry, { header.dcid.data, header.dcid.datalen });
  if (!entry.mConnection.StartServer(mCredentials, path, header, aNow)) {
    --mLive;
    Remove(entry);
    return std::nullopt;
  }
  entry.mConnection.Read(path, aPayload, aNow);
  MarkDirty(entry);
  return handle;
}

void
ServerEndpoint::Impl::Refuse(std::span<const uint8_t> aPayload,
                             const Address& aCaller)
{
  ngtcp2_pkt_hd header{};
  if (!DecodeInitial(aPayload, header)) {
    return;
  }
  std::array<uint8_t, kMaxDatagram> packet;
  const ngtcp2_ssize size =
    ngtcp2_crypto_write_connection_close(packet.data(),
                                         packet.size(),
                                         header.version,
                                         &header.scid,
                                         &header.dcid,
                                         NGTCP2_CONNECTION_REFUSED,
                                         nullptr,
                                         0);
  if (size > 0) {
    mSink({ packet.data(), static_cast<size_t>(size) },
          aCaller,
          ConnectionHandle());
  }
}

bool
ServerEndpoint::Impl::IssueResetToken(const ngtcp2_cid& aId, uint8_t* aToken)
{
  if (!mResetTokens) {
    return false;
  }
  const ResetToken token = mResetTokens({ aId.data, aId.datalen });
  std::copy(token.begin(), token.end(), aToken);
  return true;
}

void
ServerEndpoint::Impl::ResetUnknown(std::span<const uint8_t> aPayload,
                                   const Address& aCaller)
{
  constexpr uint8_t kLongHeader = 0x80;
  // Long enough not to stand out, and shorter than what it answers, so that
  // two endpoints can't reset each other for ever (RFC 9000, 10.3.3).
  constexpr size_t kResetSize = 42;
  if (!mResetTokens || aPayload.size() <= kResetSize ||
      (aPayload[0] & kLongHeader) != 0) {
    return;
  }
  const ResetToken token =
    mResetTokens(aPayload.subspan(1, kConnectionIdLength));
  std::array<uint8_t, kResetSize - kResetTokenLength> noise;
  gnutls_rnd(GNUTLS_RND_NONCE, noise.data(), noise.size());
  std::array<uint8_t, kResetSize> packet;
  const ngtcp2_ssize size = ngtcp2_pkt_write_stateless_reset(
    packet.data(), packet.size(), token.data(), noise.data(), noise.size());
  if (size > 0) {
    mSink({ packet.data(), static_cast<size_t>(size) },
          aCaller,
          ConnectionHandle());
  }
}

Instant
ServerEndpoint::Impl::NextDeadline() const
{
  if (!mDirty.empty()) {
    return Instant();
  }
  return mDeadlines.empty() ? Instant::max() : mDeadlines.begin()->first;
}

void
ServerEndpoint::Impl::OnTimer(Instant aNow)
{
  while (!mDeadlines.empty() && mDeadlines.begin()->first <= aNow) {
    Entry& entry = *FindEntry(mDeadlines.begin()->second);
    SetDeadline(entry, Instant::max());
    if (entry.mFinished) {
      Remove(entry);
      continue;
    }
    entry.mConnection.HandleExpiry(aNow);
    MarkDirty(entry);
  }
}

void
ServerEndpoint::Impl::Flush(Instant aNow)
{
  // Events reported from here can mark further connections.
  while (!mDirty.empty()) {
    std::vector<ConnectionHandle> dirty;
    dirty.swap(mDirty);
    for (ConnectionHandle handle : dirty) {
      if (Entry* entry = FindEntry(handle)) {
        entry->mDirty = false;
        FlushEntry(*entry, aNow);
      }
    }
  }
}

void
ServerEndpoint::Impl::FlushEntry(Entry& aEntry, Instant aNow)
{
  if (aEntry.mFinished) {
    return;
  }
  Connection& connection = aEntry.mConnection;
  const auto emit = EmitFor(connection.Handle());
  connection.Write(aNow, emit);
  if (!connection.End()) {
    // A deadline in the past would make the owner's timer spin.
    SetDeadline(
      aEntry,
      std::max(connection.Expiry(), aNow + std::chrono::microseconds(1)));
    return;
  }
  aEntry.mFinished = true;
  --mLive;
  SetDeadline(aEntry, aNow + connection.Finish(aNow, emit));
  mEvents.OnFlowClosed(connection.Handle(), ToFlowEnd(*connection.End()));
}

void
ServerEndpoint::Impl::Shutdown(ShutdownStage aStage)
{
  if (aStage <= mStage) {
    return;
  }
  mStage = aStage;
  for (auto& [handle, entry] : mEntries) {
    if (!entry->mConnection.IsOpen()) {
      continue;
    }
    if (aStage == ShutdownStage::Notice) {
      entry->mConnection.SubmitShutdownNotice();
    } else {
      entry->mConnection.SubmitGoaway();
    }
    MarkDirty(*entry);
  }
}

void
ServerEndpoint::Impl::Close(ConnectionHandle aFlow, Http3Error aError)
{
  if (Entry* entry = FindEntry(aFlow)) {
    entry->mConnection.Close(aError);
    MarkDirty(*entry);
  }
}

void
ServerEndpoint::Impl::CloseAll(Http3Error aError)
{
  for (auto& [handle, entry] : mEntries) {
    entry->mConnection.Close(aError);
    MarkDirty(*entry);
  }
}

size_t
ServerEndpoint::Impl::RequestCount(ConnectionHandle aFlow) const
{
  const Entry* entry = FindEntry(aFlow);
  return entry == nullptr ? 0 : entry->mConnection.StreamCount();
}

void
ServerEndpoint::Impl::OnHandshakeCompleted(Connection& aConnection)
{
  if (mStage == ShutdownStage::Notice) {
    aConnection.SubmitShutdownNotice();
  } else if (mStage == ShutdownStage::Goaway) {
    aConnection.SubmitGoaway();
  }
  mEvents.OnFlowOpened(aConnection.Handle());
}

void
ServerEndpoint::Impl::OnFields(Connection& aConnection, Stream& aStream)
{
  // The owner keeps what it needs, so the copy here can go.
  const HttpFields fields = std::exchange(aStream.mFields, {});
  mEvents.OnRequestHeaders(HandleOf(aConnection, aStream), fields);
}

void
ServerEndpoint::Impl::OnBody(Connection& aConnection,
                             Stream& aStream,
                             std::span<const uint8_t> aBytes)
{
  mEvents.OnRequestBody(HandleOf(aConnection, aStream), aBytes);
}

void
ServerEndpoint::Impl::OnReceived(Connection& aConnection, Stream& aStream)
{
  mEvents.OnRequestEnd(HandleOf(aConnection, aStream));
}

void
ServerEndpoint::Impl::OnPeerReset(Connection& aConnection,
                                  Stream& aStream,
                                  uint64_t /* aError */)
{
  aConnection.Discard(aStream, Http3Error::RequestCancelled);
  mEvents.OnRequestCancelled(HandleOf(aConnection, aStream));
}

void
ServerEndpoint::Impl::OnStreamClosed(Connection& aConnection,
                                     Stream& aStream,
                                     std::optional<uint64_t> aError)
{
  if (aError && *aError != NGHTTP3_H3_NO_ERROR) {
    mEvents.OnRequestCancelled(HandleOf(aConnection, aStream));
  } else {
    mEvents.OnRequestDone(HandleOf(aConnection, aStream));
  }
}

void
ServerEndpoint::Impl::OnDrained(Connection& aConnection, Stream& aStream)
{
  mEvents.OnResponseDrained(HandleOf(aConnection, aStream));
}

void
ServerEndpoint::Impl::IssueId(Connection& aConnection, ngtcp2_cid& aId)
{
  const ConnectionIdBytes bytes = mIssuer();
  std::copy_n(bytes.begin(), aId.datalen, aId.data);
  if (Entry* entry = FindEntry(aConnection.Handle())) {
    AddId(*entry, { aId.data, aId.datalen });
  }
}

void
ServerEndpoint::Impl::RetireId(Connection& aConnection, const ngtcp2_cid& aId)
{
  const IdKey key({ aId.data, aId.datalen });
  if (Entry* entry = FindEntry(aConnection.Handle())) {
    std::erase(entry->mIds, key);
    mIds.erase(key);
  }
}

void
ServerEndpoint::Impl::AddId(Entry& aEntry, std::span<const uint8_t> aId)
{
  const IdKey key(aId);
  if (mIds.emplace(key, &aEntry).second) {
    aEntry.mIds.push_back(key);
  }
}

void
ServerEndpoint::Impl::MarkDirty(Entry& aEntry)
{
  if (!aEntry.mDirty) {
    aEntry.mDirty = true;
    mDirty.push_back(aEntry.mConnection.Handle());
  }
}

void
ServerEndpoint::Impl::SetDeadline(Entry& aEntry, Instant aDeadline)
{
  if (aDeadline == aEntry.mDeadline) {
    return;
  }
  const ConnectionHandle handle = aEntry.mConnection.Handle();
  if (aEntry.mDeadline != Instant::max()) {
    mDeadlines.erase({ aEntry.mDeadline, handle });
  }
  aEntry.mDeadline = aDeadline;
  if (aDeadline != Instant::max()) {
    mDeadlines.emplace(aDeadline, handle);
  }
}

void
ServerEndpoint::Impl::Remove(Entry& aEntry)
{
  SetDeadline(aEntry, Instant::max());
  for (const IdKey& key : aEntry.mIds) {
    mIds.erase(key);
  }
  mEntries.erase(aEntry.mConnection.Handle());
}

} // namespace snipepost
