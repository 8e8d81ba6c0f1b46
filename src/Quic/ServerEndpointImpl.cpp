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
  // ngtcp2 asserts that the payload has at least one byte.
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

// True for an Initial of the supported version that can start a connection. Its
// datagram has at least 1,200 bytes (RFC 9000, 14.1), which is the value of
// NGTCP2_MAX_UDP_PAYLOAD_SIZE.
bool
DecodeInitial(std::span<const uint8_t> aPayload, ngtcp2_pkt_hd& aHeader)
{
  return aPayload.size() >= NGTCP2_MAX_UDP_PAYLOAD_SIZE &&
         !DestinationId(aPayload).empty() &&
         ngtcp2_accept(&aHeader, aPayload.data(), aPayload.size()) == 0 &&
         aHeader.type == NGTCP2_PKT_INITIAL &&
         aHeader.version == NGTCP2_PROTO_VER_V1;
}

FlowCloseReason
ToFlowCloseReason(ConnectionCloseReason aReason)
{
  switch (aReason) {
    case ConnectionCloseReason::PeerClosed:
    case ConnectionCloseReason::Refused:
      return FlowCloseReason::ClosedByCaller;
    case ConnectionCloseReason::LocalClosed:
      return FlowCloseReason::ClosedByServer;
    case ConnectionCloseReason::TimedOut:
      return FlowCloseReason::TimedOut;
    case ConnectionCloseReason::ProtocolError:
      break;
  }
  return FlowCloseReason::ProtocolError;
}

RequestHandle
HandleOf(const Connection& aConnection, const Stream& aStream)
{
  return { aConnection.Handle(), StreamId(aStream.mId) };
}

} // namespace

ConnectionIdKey::ConnectionIdKey(std::span<const uint8_t> aBytes)
  : mLength(static_cast<uint8_t>(aBytes.size()))
{
  std::copy(aBytes.begin(), aBytes.end(), mBytes.begin());
}

size_t
ConnectionIdHash::operator()(const ConnectionIdKey& aKey) const
{
  return XXH3_64bits_withSeed(aKey.mBytes.data(), aKey.mLength, mSeed);
}

ServerEndpoint::Impl::Impl(Credentials aCredentials,
                           const QuicLimits& aLimits,
                           const Address& aLocal,
                           ConnectionIdGenerator aIdGenerator,
                           DatagramSink aSink,
                           ServerEvents& aEvents)
  : mCredentials(std::move(aCredentials))
  , mLimits(aLimits)
  , mLocal(aLocal)
  , mIdGenerator(std::move(aIdGenerator))
  , mSink(std::move(aSink))
  , mEvents(aEvents)
  , mRecordsById(0, ConnectionIdHash{ RandomSeed() })
{
}

ServerEndpoint::Impl::ConnectionRecord*
ServerEndpoint::Impl::FindByDatagram(std::span<const uint8_t> aPayload) const
{
  const auto id = DestinationId(aPayload);
  if (id.empty()) {
    return nullptr;
  }
  const auto found = mRecordsById.find(ConnectionIdKey(id));
  return found == mRecordsById.end() ? nullptr : found->second;
}

ServerEndpoint::Impl::ConnectionRecord*
ServerEndpoint::Impl::FindRecord(ConnectionHandle aHandle) const
{
  const auto found = mRecords.find(aHandle);
  return found == mRecords.end() ? nullptr : found->second.get();
}

Connection::PayloadSink
ServerEndpoint::Impl::PayloadSinkFor(ConnectionHandle aHandle) const
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
  ConnectionRecord* record = FindByDatagram(aPayload);
  if (record == nullptr) {
    return std::nullopt;
  }
  const ConnectionHandle handle = record->mConnection.Handle();
  if (record->mFinished) {
    record->mConnection.RetransmitClose(aCaller, PayloadSinkFor(handle));
    return handle;
  }
  record->mConnection.Read(Path(mLocal, aCaller), aPayload, aNow);
  MarkDirty(*record);
  return handle;
}

std::optional<ConnectionHandle>
ServerEndpoint::Impl::Accept(std::span<const uint8_t> aPayload,
                             const Address& aCaller,
                             Instant aNow)
{
  ngtcp2_pkt_hd header{};
  if (mConnectionCount >= mLimits.mConnections ||
      !DecodeInitial(aPayload, header) || FindByDatagram(aPayload) != nullptr) {
    return std::nullopt;
  }
  const ConnectionHandle handle(++mLastHandle);
  const Path path(mLocal, aCaller);
  ConnectionRecord& record =
    *(mRecords[handle] =
        std::make_unique<ConnectionRecord>(handle, mLimits, *this));
  ++mConnectionCount;
  RegisterId(record, { header.dcid.data, header.dcid.datalen });
  if (!record.mConnection.StartServer(mCredentials, path, header, aNow)) {
    --mConnectionCount;
    Remove(record);
    return std::nullopt;
  }
  record.mConnection.Read(path, aPayload, aNow);
  MarkDirty(record);
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
  std::array<uint8_t, kMaxPayloadSize> packet;
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
  if (!mResetTokenGenerator) {
    return false;
  }
  const ResetToken token = mResetTokenGenerator({ aId.data, aId.datalen });
  std::copy(token.begin(), token.end(), aToken);
  return true;
}

void
ServerEndpoint::Impl::SendStatelessReset(std::span<const uint8_t> aPayload,
                                         const Address& aCaller)
{
  constexpr uint8_t kLongHeader = 0x80;
  // Long enough to look like a regular packet, and shorter than the datagram
  // that triggers it, so that two endpoints don't reset each other in an
  // endless loop (RFC 9000, 10.3.3).
  constexpr size_t kResetSize = 42;
  if (!mResetTokenGenerator || aPayload.size() <= kResetSize ||
      (aPayload[0] & kLongHeader) != 0) {
    return;
  }
  const ResetToken token =
    mResetTokenGenerator(aPayload.subspan(1, kConnectionIdLength));
  std::array<uint8_t, kResetSize - kResetTokenLength> randomBytes;
  gnutls_rnd(GNUTLS_RND_NONCE, randomBytes.data(), randomBytes.size());
  std::array<uint8_t, kResetSize> packet;
  const ngtcp2_ssize size =
    ngtcp2_pkt_write_stateless_reset(packet.data(),
                                     packet.size(),
                                     token.data(),
                                     randomBytes.data(),
                                     randomBytes.size());
  if (size > 0) {
    mSink({ packet.data(), static_cast<size_t>(size) },
          aCaller,
          ConnectionHandle());
  }
}

Instant
ServerEndpoint::Impl::NextDeadline() const
{
  if (!mDirtyConnections.empty()) {
    return Instant();
  }
  return mDeadlines.empty() ? Instant::max() : mDeadlines.begin()->first;
}

void
ServerEndpoint::Impl::OnTimer(Instant aNow)
{
  while (!mDeadlines.empty() && mDeadlines.begin()->first <= aNow) {
    ConnectionRecord& record = *FindRecord(mDeadlines.begin()->second);
    SetDeadline(record, Instant::max());
    if (record.mFinished) {
      Remove(record);
      continue;
    }
    record.mConnection.HandleExpiry(aNow);
    MarkDirty(record);
  }
}

void
ServerEndpoint::Impl::Flush(Instant aNow)
{
  // The callbacks can mark further connections as dirty.
  while (!mDirtyConnections.empty()) {
    std::vector<ConnectionHandle> dirty;
    dirty.swap(mDirtyConnections);
    for (ConnectionHandle handle : dirty) {
      if (ConnectionRecord* record = FindRecord(handle)) {
        record->mDirty = false;
        FlushRecord(*record, aNow);
      }
    }
  }
}

void
ServerEndpoint::Impl::FlushRecord(ConnectionRecord& aRecord, Instant aNow)
{
  if (aRecord.mFinished) {
    return;
  }
  Connection& connection = aRecord.mConnection;
  const auto sink = PayloadSinkFor(connection.Handle());
  connection.Write(aNow, sink);
  if (!connection.CloseReason()) {
    // With a deadline in the past the owner's timer would fire in a busy loop.
    SetDeadline(
      aRecord,
      std::max(connection.Expiry(), aNow + std::chrono::microseconds(1)));
    return;
  }
  aRecord.mFinished = true;
  --mConnectionCount;
  SetDeadline(aRecord, aNow + connection.Finish(aNow, sink));
  mEvents.OnFlowClosed(connection.Handle(),
                       ToFlowCloseReason(*connection.CloseReason()));
}

void
ServerEndpoint::Impl::Shutdown(ShutdownStage aStage)
{
  if (aStage <= mStage) {
    return;
  }
  mStage = aStage;
  for (auto& [handle, record] : mRecords) {
    if (!record->mConnection.IsOpen()) {
      continue;
    }
    if (aStage == ShutdownStage::Notice) {
      record->mConnection.SubmitShutdownNotice();
    } else {
      record->mConnection.SubmitGoaway();
    }
    MarkDirty(*record);
  }
}

void
ServerEndpoint::Impl::Close(ConnectionHandle aFlow, Http3Error aError)
{
  if (ConnectionRecord* record = FindRecord(aFlow)) {
    record->mConnection.Close(aError);
    MarkDirty(*record);
  }
}

void
ServerEndpoint::Impl::CloseAll(Http3Error aError)
{
  for (auto& [handle, record] : mRecords) {
    record->mConnection.Close(aError);
    MarkDirty(*record);
  }
}

size_t
ServerEndpoint::Impl::RequestCount(ConnectionHandle aFlow) const
{
  const ConnectionRecord* record = FindRecord(aFlow);
  return record == nullptr ? 0 : record->mConnection.StreamCount();
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
ServerEndpoint::Impl::OnHeaders(Connection& aConnection, Stream& aStream)
{
  // The owner copies what it needs, so the fields are released here.
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
ServerEndpoint::Impl::OnReceiveComplete(Connection& aConnection,
                                        Stream& aStream)
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
ServerEndpoint::Impl::OnWritable(Connection& aConnection, Stream& aStream)
{
  mEvents.OnResponseWritable(HandleOf(aConnection, aStream));
}

void
ServerEndpoint::Impl::IssueConnectionId(Connection& aConnection,
                                        ngtcp2_cid& aId)
{
  const ConnectionIdBytes bytes = mIdGenerator();
  std::copy_n(bytes.begin(), aId.datalen, aId.data);
  if (ConnectionRecord* record = FindRecord(aConnection.Handle())) {
    RegisterId(*record, { aId.data, aId.datalen });
  }
}

void
ServerEndpoint::Impl::RetireConnectionId(Connection& aConnection,
                                         const ngtcp2_cid& aId)
{
  const ConnectionIdKey key({ aId.data, aId.datalen });
  if (ConnectionRecord* record = FindRecord(aConnection.Handle())) {
    std::erase(record->mConnectionIds, key);
    mRecordsById.erase(key);
  }
}

void
ServerEndpoint::Impl::RegisterId(ConnectionRecord& aRecord,
                                 std::span<const uint8_t> aId)
{
  const ConnectionIdKey key(aId);
  if (mRecordsById.emplace(key, &aRecord).second) {
    aRecord.mConnectionIds.push_back(key);
  }
}

void
ServerEndpoint::Impl::MarkDirty(ConnectionRecord& aRecord)
{
  if (!aRecord.mDirty) {
    aRecord.mDirty = true;
    mDirtyConnections.push_back(aRecord.mConnection.Handle());
  }
}

void
ServerEndpoint::Impl::SetDeadline(ConnectionRecord& aRecord, Instant aDeadline)
{
  if (aDeadline == aRecord.mDeadline) {
    return;
  }
  const ConnectionHandle handle = aRecord.mConnection.Handle();
  if (aRecord.mDeadline != Instant::max()) {
    mDeadlines.erase({ aRecord.mDeadline, handle });
  }
  aRecord.mDeadline = aDeadline;
  if (aDeadline != Instant::max()) {
    mDeadlines.emplace(aDeadline, handle);
  }
}

void
ServerEndpoint::Impl::Remove(ConnectionRecord& aRecord)
{
  SetDeadline(aRecord, Instant::max());
  for (const ConnectionIdKey& key : aRecord.mConnectionIds) {
    mRecordsById.erase(key);
  }
  mRecords.erase(aRecord.mConnection.Handle());
}

} // namespace snipepost
