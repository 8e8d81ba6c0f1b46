#include <snipepost/Http2/Client.h>

#include <algorithm>
#include <map>
#include <vector>

#include "ClientConnection.h"

namespace snipepost::http2 {

std::string_view
ToString(Result aResult)
{
  switch (aResult) {
    case Result::Answered:
      return "answered";
    case Result::Refused:
      return "refused";
    case Result::NotSent:
      return "not sent";
    case Result::Broken:
      return "broken";
    case Result::TimedOut:
      return "timed out";
    case Result::Cancelled:
      return "cancelled";
  }
  return "unknown";
}

class Client::Impl : public std::enable_shared_from_this<Client::Impl>
{
public:
  using StreamPointer = ClientConnection::StreamPointer;

  Impl(asio::io_context& aContext, Address aServer, ClientOptions aOptions)
    : mContext(aContext)
    , mServer(aServer)
    , mOptions(aOptions)
  {
  }

  RequestId Send(Request aRequest, ResponseCallbacks aCallbacks)
  {
    auto stream = std::make_shared<ClientStream>(mContext);
    stream->mId = RequestId(++mLastId);
    stream->mRequest = std::move(aRequest);
    stream->mCallbacks = std::move(aCallbacks);
    stream->mBody.Append(std::exchange(stream->mRequest.mBody, {}));
    if (!stream->mRequest.mStreamed) {
      stream->mBody.End();
    }
    mStreams[stream->mId] = stream;
    StartTimer(stream);
    stream->mConnection = UsableConnection();
    stream->mConnection->Submit(stream);
    return stream->mId;
  }

  StreamPointer Find(RequestId aId) const
  {
    const auto found = mStreams.find(aId);
    return found == mStreams.end() ? nullptr : found->second;
  }

  void Cancel(RequestId aId)
  {
    if (const auto stream = Find(aId)) {
      stream->mConnection->Reset(stream);
      End(stream, Result::Cancelled);
    }
  }

  void Close()
  {
    for (const auto& connection : std::exchange(mConnections, {})) {
      connection->Abort();
    }
  }

  void DropRequests()
  {
    for (const auto& [id, stream] : std::exchange(mStreams, {})) {
      stream->mDone = true;
      stream->mTimer.cancel();
      stream->mConnection.reset();
      // Posted, because one of these callbacks may be destroying the client.
      asio::post(mContext, [dropped = stream] { dropped->mCallbacks = {}; });
    }
    Close();
  }

  bool Connected() const
  {
    return !mConnections.empty() && mConnections.back()->Connected();
  }

private:
  // Only the last connection can be usable; after a GOAWAY, earlier ones only
  // complete their open streams.
  std::shared_ptr<ClientConnection> UsableConnection()
  {
    std::erase_if(mConnections, [](const auto& aConnection) {
      return aConnection->Closed();
    });
    if (!mConnections.empty() && mConnections.back()->Usable()) {
      return mConnections.back();
    }
    auto connection = std::make_shared<ClientConnection>(
      mContext,
      mOptions,
      [weak = weak_from_this()](const StreamPointer& aStream, Result aResult) {
        if (const auto self = weak.lock()) {
          self->End(aStream, aResult);
        }
      });
    connection->Connect(mServer);
    mConnections.push_back(connection);
    return connection;
  }

  void StartTimer(const StreamPointer& aStream)
  {
    if (aStream->mRequest.mTimeout <= Duration::zero()) {
      return;
    }
    aStream->mTimer.expires_after(aStream->mRequest.mTimeout);
    aStream->mTimer.async_wait(
      [weak = weak_from_this(), aStream](const asio::error_code& aError) {
        const auto self = weak.lock();
        if (aError || !self || aStream->mDone) {
          return;
        }
        aStream->mConnection->Reset(aStream);
        self->End(aStream, aStream->mSent ? Result::TimedOut : Result::NotSent);
      });
  }

  void End(const StreamPointer& aStream, Result aResult)
  {
    if (aStream->mDone) {
      return;
    }
    aStream->mDone = true;
    aStream->mTimer.cancel();
    aStream->mConnection.reset();
    mStreams.erase(aStream->mId);
    // Posted, so that mOnEnd does not run within a member function of Client
    // and no callback is destroyed while one of them is running.
    asio::post(mContext, [weak = weak_from_this(), aStream, aResult] {
      const auto callbacks = std::exchange(aStream->mCallbacks, {});
      if (weak.lock() && callbacks.mOnEnd) {
        callbacks.mOnEnd(aResult);
      }
    });
  }

  asio::io_context& mContext;
  Address mServer;
  ClientOptions mOptions;
  uint64_t mLastId = 0;
  std::map<RequestId, StreamPointer> mStreams;
  std::vector<std::shared_ptr<ClientConnection>> mConnections;
};

Client::Client(asio::io_context& aContext,
               Address aServer,
               ClientOptions aOptions)
  : mImpl(std::make_shared<Impl>(aContext, aServer, aOptions))
{
}

Client::~Client()
{
  mImpl->DropRequests();
}

RequestId
Client::Send(Request aRequest, ResponseCallbacks aCallbacks)
{
  return mImpl->Send(std::move(aRequest), std::move(aCallbacks));
}

RequestId
Client::Collect(Request aRequest,
                size_t aLimit,
                std::function<void(Result, Response)> aDone)
{
  struct State
  {
    Response mResponse;
    RequestId mId;
  };
  auto state = std::make_shared<State>();
  ResponseCallbacks callbacks;
  callbacks.mOnHeaders = [state](int aStatus, Headers aHeaders) {
    state->mResponse.mStatus = aStatus;
    state->mResponse.mHeaders = std::move(aHeaders);
  };
  callbacks.mOnData = [this, state, aLimit](Chunk aData) {
    Response& response = state->mResponse;
    const size_t room = aLimit - response.mBody.size();
    response.mBody.append(AsText(aData.first(std::min(room, aData.size()))));
    if (aData.size() > room) {
      response.mTruncated = true;
      Cancel(state->mId);
      return;
    }
    Consume(state->mId, aData.size());
  };
  callbacks.mOnEnd = [state, done = std::move(aDone)](Result aResult) {
    const bool isTruncated = state->mResponse.mTruncated;
    done(isTruncated ? Result::Answered : aResult, std::move(state->mResponse));
  };
  state->mId = Send(std::move(aRequest), std::move(callbacks));
  return state->mId;
}

void
Client::Cancel(RequestId aRequest)
{
  mImpl->Cancel(aRequest);
}

void
Client::Consume(RequestId aRequest, size_t aBytes)
{
  if (const auto stream = mImpl->Find(aRequest)) {
    stream->mConnection->Consume(stream, aBytes);
  }
}

bool
Client::Write(RequestId aRequest, std::string_view aBytes)
{
  const auto stream = mImpl->Find(aRequest);
  if (!stream) {
    return true;
  }
  const bool hasRoom = stream->mBody.Append(aBytes);
  stream->mConnection->ResumeBody(stream);
  return hasRoom;
}

void
Client::EndBody(RequestId aRequest)
{
  if (const auto stream = mImpl->Find(aRequest)) {
    stream->mBody.End();
    stream->mConnection->ResumeBody(stream);
  }
}

void
Client::Close()
{
  mImpl->Close();
}

bool
Client::Connected() const
{
  return mImpl->Connected();
}

} // namespace snipepost::http2
