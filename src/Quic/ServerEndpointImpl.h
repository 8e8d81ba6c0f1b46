#pragma once

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include <snipepost/Quic/ServerEndpoint.h>

#include "src/Quic/Connection.h"

namespace snipepost {

/// The stage of a graceful shutdown (RFC 9114, 5.2).
enum class ShutdownStage : uint8_t
{
  None,
  Notice,
  Goaway,
};

/// A connection ID as the key of a hash table.
struct ConnectionIdKey
{
  std::array<uint8_t, NGTCP2_MAX_CIDLEN> mBytes{};
  uint8_t mLength = 0;

  explicit ConnectionIdKey(std::span<const uint8_t> aBytes);
  bool operator==(const ConnectionIdKey&) const = default;
};

/// Callers choose the first connection ID. The secret seed of the hash prevents
/// an attacker from choosing IDs that collide.
struct ConnectionIdHash
{
  uint64_t mSeed = 0;
  size_t operator()(const ConnectionIdKey& aKey) const;
};

class ServerEndpoint::Impl : public ConnectionHooks
{
public:
  Impl(Credentials aCredentials,
       const QuicLimits& aLimits,
       const Address& aLocal,
       ConnectionIdGenerator aIdGenerator,
       DatagramSink aSink,
       ServerEvents& aEvents);

  struct ConnectionRecord;
  ConnectionRecord* FindByDatagram(std::span<const uint8_t> aPayload) const;

  std::optional<ConnectionHandle> OnDatagram(std::span<const uint8_t> aPayload,
                                             const Address& aCaller,
                                             Instant aNow);
  std::optional<ConnectionHandle> Accept(std::span<const uint8_t> aPayload,
                                         const Address& aCaller,
                                         Instant aNow);
  void Refuse(std::span<const uint8_t> aPayload, const Address& aCaller);
  Instant NextDeadline() const;
  void OnTimer(Instant aNow);
  void Flush(Instant aNow);
  void Shutdown(ShutdownStage aStage);
  void Reopen() { mStage = ShutdownStage::None; }
  void SetResetTokenGenerator(ResetTokenGenerator aGenerator)
  {
    mResetTokenGenerator = std::move(aGenerator);
  }
  void SendStatelessReset(std::span<const uint8_t> aPayload,
                          const Address& aCaller);
  void Close(ConnectionHandle aFlow, Http3Error aError);
  void CloseAll(Http3Error aError);
  size_t ConnectionCount() const { return mConnectionCount; }
  size_t RequestCount(ConnectionHandle aFlow) const;

  /// Calls aFunction(connection, stream) if the request still exists.
  template<typename Function>
  void WithStream(RequestHandle aRequest, Function aFunction)
  {
    ConnectionRecord* record = FindRecord(aRequest.mConnection);
    if (record == nullptr) {
      return;
    }
    Stream* stream = record->mConnection.FindStream(aRequest.mStream.Value());
    if (stream != nullptr && !stream->mDiscarded) {
      aFunction(record->mConnection, *stream);
      MarkDirty(*record);
    }
  }

  struct ConnectionRecord
  {
    ConnectionRecord(ConnectionHandle aHandle,
                     const QuicLimits& aLimits,
                     ConnectionHooks& aHooks)
      : mConnection(aHandle, aLimits, aHooks)
    {
    }
    Connection mConnection;
    /// Keys of this connection in mRecordsById.
    std::vector<ConnectionIdKey> mConnectionIds;
    Instant mDeadline = Instant::max();
    bool mDirty = false;
    /// Finish() was called; the record is kept for late packets only.
    bool mFinished = false;
  };

private:
  void OnHandshakeCompleted(Connection& aConnection) override;
  void OnHeaders(Connection& aConnection, Stream& aStream) override;
  void OnBody(Connection& aConnection,
              Stream& aStream,
              std::span<const uint8_t> aBytes) override;
  void OnReceiveComplete(Connection& aConnection, Stream& aStream) override;
  void OnPeerReset(Connection& aConnection,
                   Stream& aStream,
                   uint64_t aError) override;
  void OnStreamClosed(Connection& aConnection,
                      Stream& aStream,
                      std::optional<uint64_t> aError) override;
  void OnWritable(Connection& aConnection, Stream& aStream) override;
  void OnGoaway(Connection& /* aConnection */,
                int64_t /* aFirstUnprocessed */) override
  {
  }
  void IssueConnectionId(Connection& aConnection, ngtcp2_cid& aId) override;
  bool IssueResetToken(const ngtcp2_cid& aId, uint8_t* aToken) override;
  void RetireConnectionId(Connection& aConnection,
                          const ngtcp2_cid& aId) override;

  ConnectionRecord* FindRecord(ConnectionHandle aHandle) const;
  Connection::PayloadSink PayloadSinkFor(ConnectionHandle aHandle) const;
  void RegisterId(ConnectionRecord& aRecord, std::span<const uint8_t> aId);
  void MarkDirty(ConnectionRecord& aRecord);
  void SetDeadline(ConnectionRecord& aRecord, Instant aDeadline);
  void FlushRecord(ConnectionRecord& aRecord, Instant aNow);
  void Remove(ConnectionRecord& aRecord);

  Credentials mCredentials;
  QuicLimits mLimits;
  Address mLocal;
  ConnectionIdGenerator mIdGenerator;
  ResetTokenGenerator mResetTokenGenerator;
  DatagramSink mSink;
  ServerEvents& mEvents;
  ShutdownStage mStage = ShutdownStage::None;
  uint64_t mLastHandle = 0;
  size_t mConnectionCount = 0;
  std::unordered_map<ConnectionHandle, std::unique_ptr<ConnectionRecord>>
    mRecords;
  std::unordered_map<ConnectionIdKey, ConnectionRecord*, ConnectionIdHash>
    mRecordsById;
  std::set<std::pair<Instant, ConnectionHandle>> mDeadlines;
  std::vector<ConnectionHandle> mDirtyConnections;
};

} // namespace snipepost
