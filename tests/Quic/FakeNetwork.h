#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <snipepost/Base/Random.h>
#include <snipepost/Quic/ClientConnection.h>
#include <snipepost/Quic/ServerEndpoint.h>

namespace snipepost::test {

/// Faults of the link, each with its probability per datagram.
struct LinkFaults
{
  double mLoss = 0;
  double mDuplication = 0;
  /// Datagrams that take up to four times as long as others.
  double mReordering = 0;
  /// Datagrams with one to eight changed bytes.
  double mMutation = 0;
};

/// The result of one request of a TestCaller.
struct Outcome
{
  std::string mStatus;
  std::vector<uint8_t> mBody;
  bool mEnded = false;
  bool mRejected = false;
  bool mBroken = false;
};

/// A client connection that records its events.
class TestCaller : public ClientEvents
{
public:
  void OnConnected() override { mConnected = true; }
  void OnClosed(ClientCloseReason aReason, uint64_t) override
  {
    mCloseReason = aReason;
  }
  void OnResponseHeaders(StreamId aStream, const HttpFields& aFields) override
  {
    mOutcomes[aStream].mStatus = FieldValue(aFields, ":status");
  }
  void OnResponseBody(StreamId aStream,
                      std::span<const uint8_t> aBytes) override
  {
    auto& body = mOutcomes[aStream].mBody;
    body.insert(body.end(), aBytes.begin(), aBytes.end());
  }
  void OnResponseEnd(StreamId aStream) override
  {
    mOutcomes[aStream].mEnded = true;
  }
  void OnRejected(StreamId aStream) override
  {
    mOutcomes[aStream].mRejected = true;
  }
  void OnResponseBroken(StreamId aStream, uint64_t) override
  {
    mOutcomes[aStream].mBroken = true;
  }
  void OnGoaway(StreamId aFirstUnprocessed) override
  {
    mGoaways.push_back(aFirstUnprocessed);
  }

  bool Connected() const { return mConnected; }
  std::optional<StreamId> Get(const std::string& aPath);
  std::optional<StreamId> Post(const std::string& aPath,
                               std::span<const uint8_t> aBody);

  bool mConnected = false;
  std::optional<ClientCloseReason> mCloseReason;
  std::map<StreamId, Outcome> mOutcomes;
  std::vector<StreamId> mGoaways;
  Address mAddress;
  std::unique_ptr<ClientConnection> mConnection;
};

/// The bytes that the test server sends for GET /bytes/<count>.
std::vector<uint8_t>
TestBytes(size_t aCount);

/// A server endpoint and its callers, connected by a link in virtual time. The
/// server responds to GET /bytes/<count> with TestBytes(), with back pressure,
/// and to POST /echo with the request's body; it rejects /reject, and responds
/// to /hold on RespondToHeld().
class FakeNetwork : public ServerEvents
{
public:
  explicit FakeNetwork(uint64_t aSeed, const QuicLimits& aLimits = {});

  TestCaller& AddCaller();
  /// Runs until aDone() or until aLimit of virtual time has passed.
  bool RunUntil(const std::function<bool()>& aDone, Duration aLimit);
  void Run(Duration aLimit)
  {
    RunUntil([] { return false; }, aLimit);
  }
  /// Responds to every pending request for /hold with 200 and aSize bytes.
  void RespondToHeld(size_t aSize);
  /// Replaces the server by one without connections.
  void RestartServer();
  /// Passes bytes to the server as a datagram from aFrom.
  void Inject(std::span<const uint8_t> aBytes, const Address& aFrom);

  void OnFlowOpened(ConnectionHandle aFlow) override;
  void OnFlowClosed(ConnectionHandle aFlow, FlowCloseReason aReason) override;
  void OnRequestHeaders(RequestHandle aRequest,
                        const HttpFields& aFields) override;
  void OnRequestBody(RequestHandle aRequest,
                     std::span<const uint8_t> aBytes) override;
  void OnRequestEnd(RequestHandle aRequest) override;
  void OnRequestCancelled(RequestHandle aRequest) override;
  void OnResponseWritable(RequestHandle aRequest) override;
  void OnRequestDone(RequestHandle aRequest) override;

  Random mRandom;
  LinkFaults mFaults;
  Instant mNow{ std::chrono::seconds(1) };
  bool mRefuseAll = false;
  /// Whether the server returns flow control credit for request bodies.
  bool mConsume = true;
  /// Largest number of bytes that one SendBody() call accepted.
  size_t mMaxBytesAccepted = 0;
  size_t mRequestBodyBytes = 0;
  std::vector<ConnectionHandle> mOpenConnections;
  std::vector<FlowCloseReason> mCloseReasons;
  std::vector<std::string> mRequestPaths;
  size_t mCancelledRequests = 0;
  size_t mDoneRequests = 0;
  size_t mAcceptedConnections = 0;
  bool mRecord = false;
  /// Datagrams that callers sent while mRecord was set.
  std::vector<std::vector<uint8_t>> mRecorded;
  std::unique_ptr<ServerEndpoint> mServer;

private:
  struct Exchange
  {
    std::string mPath;
    /// The request's body; from StartResponse() on the response's body.
    std::vector<uint8_t> mBody;
    size_t mSent = 0;
    bool mResponding = false;
  };

  void Transmit(std::span<const uint8_t> aBytes,
                std::function<void(std::span<const uint8_t>)> aDeliver);
  void StartResponse(RequestHandle aRequest, std::vector<uint8_t> aBody);
  void SendRest(RequestHandle aRequest);
  void FlushAll();
  Instant NextEvent() const;

  Address mService{ 0x7f000001, 443 };
  std::function<std::unique_ptr<ServerEndpoint>()> mMakeServer;
  uint32_t mIssuedIds = 0;
  std::vector<std::unique_ptr<TestCaller>> mCallers;
  std::map<RequestHandle, Exchange> mExchanges;
  std::multimap<Instant, std::function<void()>> mInFlight;
};

} // namespace snipepost::test
