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

/// How far a graceful shutdown has got (RFC 9114, 5.2).
enum class ShutdownStage : uint8_t
{
  None,
  Notice,
  Goaway,
};

/// A connection ID as a key of a hash table.
struct IdKey
{
  std::array<uint8_t, NGTCP2_MAX_CIDLEN> mBytes{};
  uint8_t mLength = 0;

  explicit IdKey(std::span<const uint8_t> aBytes);
  bool operator==(const IdKey&) const = default;
};

/// Callers choose the first ID, so the hash has a seed that they don't know.
struct IdHash
{
  uint64_t mSeed = 0;
  size_t operator()(const IdKey& aKey) const;
};

class ServerEndpoint::Impl : public ConnectionHooks
{
public:
  Impl(Credentials aCredentials,
       const QuicLimits& aLimits,
       const Address& aLocal,
       RouteIdIssuer aIssuer,
       DatagramSink aSink,
       ServerEvents& aEvents);

  struct Entry;
  Entry* Find(std::span<const uint8_t> aPayload) const;

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
  void SetResetTokens(ResetTokenIssuer aIssuer)
  {
    mResetTokens = std::move(aIssuer);
  }
  void ResetUnknown(std::span<const uint8_t> aPayload, const Address& aCaller);
  void Close(ConnectionHandle aFlow, Http3Error aError);
  void CloseAll(Http3Error aError);
  size_t ConnectionCount() const { return mLive; }
  size_t RequestCount(ConnectionHandle aFlow) const;

  /// Calls aUse(connection, stream) when the request is still there.
  template<typename Use>
  void OnStream(RequestHandle aRequest, Use aUse)
  {
    Entry* entry = FindEntry(aRequest.mConnection);
    if (entry == nullptr) {
      return;
    }
    Stream* stream = entry->mConnection.FindStream(aRequest.mStream.Value());
    if (stream != nullptr && !stream->mDiscarded) {
      aUse(entry->mConnection, *stream);
      MarkDirty(*entry);
    }
  }

  struct Entry
  {
    Entry(ConnectionHandle aHandle,
          const QuicLimits& aLimits,
          ConnectionHooks& aHooks)
      : mConnection(aHandle, aLimits, aHooks)
    {
    }
    Connection mConnection;
    /// Keys of mIds that lead here.
    std::vector<IdKey> mIds;
    Instant mDeadline = Instant::max();
    bool mDirty = false;
    /// Finish() has run; the entry only waits for late packets.
    bool mFinished = false;
  };

private:
  void OnHandshakeCompleted(Connection& aConnection) override;
  void OnFields(Connection& aConnection, Stream& aStream) override;
  void OnBody(Connection& aConnection,
              Stream& aStream,
              std::span<const uint8_t> aBytes) override;
  void OnReceived(Connection& aConnection, Stream& aStream) override;
  void OnPeerReset(Connection& aConnection,
                   Stream& aStream,
                   uint64_t aError) override;
  void OnStreamClosed(Connection& aConnection,
                      Stream& aStream,
                      std::optional<uint64_t> aError) override;
  void OnDrained(Connection& aConnection, Stream& aStream) override;
  void OnGoaway(Connection& /* aConnection */, int64_t /* aId */) override {}
  void IssueId(Connection& aConnection, ngtcp2_cid& aId) override;
  bool IssueResetToken(const ngtcp2_cid& aId, uint8_t* aToken) override;
  void RetireId(Connection& aConnection, const ngtcp2_cid& aId) override;

  Entry* FindEntry(ConnectionHandle aHandle) const;
  Connection::Emit EmitFor(ConnectionHandle aHandle) const;
  void AddId(Entry& aEntry, std::span<const uint8_t> aId);
  void MarkDirty(Entry& aEntry);
  void SetDeadline(Entry& aEntry, Instant aDeadline);
  void FlushEntry(Entry& aEntry, Instant aNow);
  void Remove(Entry& aEntry);

  Credentials mCredentials;
  QuicLimits mLimits;
  Address mLocal;
  RouteIdIssuer mIssuer;
  ResetTokenIssuer mResetTokens;
  DatagramSink mSink;
  ServerEvents& mEvents;
  ShutdownStage mStage = ShutdownStage::None;
  uint64_t mLastHandle = 0;
  size_t mLive = 0;
  std::unordered_map<ConnectionHandle, std::unique_ptr<Entry>> mEntries;
  std::unordered_map<IdKey, Entry*, IdHash> mIds;
  std::set<std::pair<Instant, ConnectionHandle>> mDeadlines;
  std::vector<ConnectionHandle> mDirty;
};

} // namespace snipepost
