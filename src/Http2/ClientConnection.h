#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include <snipepost/Http2/Client.h>

#include "Connection.h"
#include "OutgoingBody.h"

namespace snipepost::http2 {

class ClientConnection;

/// One request and the part of its response received so far.
struct ClientStream
{
  explicit ClientStream(asio::io_context& aContext)
    : mTimer(aContext)
  {
  }

  RequestId mId;
  Request mRequest;
  ResponseCallbacks mCallbacks;
  std::shared_ptr<ClientConnection> mConnection;
  asio::steady_timer mTimer;
  OutgoingBody mBody;
  int32_t mStreamId = -1;
  /// The HEADERS frame was written to the socket, or is about to be.
  bool mSent = false;
  bool mDone = false;
  bool mHeadersDelivered = false;
  int mStatus = 0;
  Headers mHeaders;
  size_t mHeaderBytes = 0;
  size_t mUnconsumed = 0;
};

/// A connection to the server and its streams.
class ClientConnection : public Connection
{
public:
  using StreamPointer = std::shared_ptr<ClientStream>;
  /// Called with the result of a stream after the connection has removed it.
  using EndCallback = std::function<void(const StreamPointer&, Result)>;

  ClientConnection(asio::io_context& aContext,
                   const ClientOptions& aOptions,
                   EndCallback aOnEnd);

  void Connect(const Address& aServer);

  /// False once the connection is closed, the server has sent GOAWAY or the
  /// stream IDs are used up.
  bool Usable() const { return !Closed() && !mGoingAway; }
  bool Connected() const { return Session() != nullptr && Usable(); }

  /// Sends a request, or queues it until the connection is established.
  void Submit(const StreamPointer& aStream);

  /// Resets a stream that has not ended, without calling the EndCallback.
  void Reset(const StreamPointer& aStream);

  /// Resumes sending after bytes were added to the request body.
  void ResumeBody(const StreamPointer& aStream);

  void Consume(const StreamPointer& aStream, size_t aBytes);

private:
  int OnBeginHeaders(const nghttp2_frame& aFrame) override;
  int OnHeader(const nghttp2_frame& aFrame,
               std::string_view aName,
               std::string_view aValue) override;
  void OnFrame(const nghttp2_frame& aFrame) override;
  void OnFrameSent(const nghttp2_frame& aFrame) override;
  void OnData(int32_t aStreamId, Chunk aData) override;
  void OnStreamClosed(int32_t aStreamId, uint32_t aCode) override;
  ssize_t OnReadBody(int32_t aStreamId,
                     uint8_t* aTarget,
                     size_t aLength,
                     uint32_t* aFlags) override;
  void OnClosed() override;

  void OnConnected();
  StreamPointer Find(int32_t aStreamId) const;
  void DeliverHeaders(const StreamPointer& aStream);
  void CompleteResponse(const StreamPointer& aStream);
  void End(const StreamPointer& aStream, Result aResult);

  ClientOptions mOptions;
  EndCallback mOnEnd;
  asio::steady_timer mConnectTimer;
  std::vector<StreamPointer> mQueued;
  std::map<int32_t, StreamPointer> mStreams;
  bool mGoingAway = false;
};

} // namespace snipepost::http2
