#pragma once

#include <functional>
#include <map>
#include <memory>

#include <snipepost/Http2/Server.h>

#include "Connection.h"
#include "OutgoingBody.h"

namespace snipepost::http2 {

class ServerConnection;

/// One request on a server connection.
struct ServerStream
{
  int32_t mId = 0;
  std::weak_ptr<ServerConnection> mConnection;
  ServerRequest mRequest;
  size_t mHeaderBytes = 0;
  /// The request was passed to the handler or rejected with an error response.
  bool mDispatched = false;
  bool mResponseStarted = false;
  bool mClosed = false;
  OutgoingBody mBody;
  std::function<void()> mOnCancel;
  std::function<void()> mOnWritable;
};

/// A connection that the server has accepted.
class ServerConnection : public Connection
{
public:
  using StreamPointer = std::shared_ptr<ServerStream>;

  ServerConnection(asio::ip::tcp::socket aSocket,
                   const ServerOptions& aOptions,
                   Handler aHandler,
                   std::function<void()> aOnClosed);

  void Start();

  /// Sends the shutdown notice, then the final GOAWAY; closes when idle.
  void Shutdown();

  /// Closes the connection without calling further callbacks of responders.
  void Abandon();

  void StartResponse(ServerStream& aStream,
                     int aStatus,
                     const Headers& aHeaders);
  void ResumeBody(ServerStream& aStream);
  void Reset(ServerStream& aStream, ResetCode aCode);

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

  StreamPointer Find(int32_t aStreamId) const;
  void RespondError(ServerStream& aStream, int aStatus);
  void Dispatch(const StreamPointer& aStream);
  void CloseStream(const StreamPointer& aStream);

  ServerOptions mOptions;
  Handler mHandler;
  std::function<void()> mOnClosed;
  /// Runs for mPrefaceTimeout, and during a shutdown for mGoAwayDelay.
  asio::steady_timer mTimer;
  Address mPeer;
  std::map<int32_t, StreamPointer> mStreams;
  bool mPrefaceReceived = false;
  bool mShuttingDown = false;
  bool mAbandoned = false;
};

} // namespace snipepost::http2
