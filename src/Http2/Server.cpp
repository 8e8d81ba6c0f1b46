#include <snipepost/Http2/Server.h>

#include <set>
#include <utility>

#include "ServerConnection.h"

namespace snipepost::http2 {

namespace {

// Delay after a failed accept(). The usual cause is that no file descriptor is
// free, which lasts until a connection is closed.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(100);

} // namespace

class Server::Impl : public std::enable_shared_from_this<Server::Impl>
{
public:
  Impl(asio::io_context& aContext,
       Address aAddress,
       Handler aHandler,
       ServerOptions aOptions)
    : mContext(aContext)
    , mAcceptor(aContext, ToEndpoint(aAddress))
    , mRetryTimer(aContext)
    , mHandler(std::move(aHandler))
    , mOptions(aOptions)
    , mLocalAddress(ToAddress(mAcceptor.local_endpoint()))
  {
  }

  void Accept()
  {
    mAcceptor.async_accept(
      [self = shared_from_this()](const asio::error_code& aError,
                                  asio::ip::tcp::socket aSocket) {
        if (!self->mAcceptor.is_open()) {
          return;
        }
        if (aError) {
          self->RetryAccept();
          return;
        }
        self->AddConnection(std::move(aSocket));
        self->Accept();
      });
  }

  void Shutdown(std::function<void()> aDone)
  {
    StopAccepting();
    mShutdownDone = std::move(aDone);
    for (const auto& connection : mConnections) {
      connection->Shutdown();
    }
    ReportIfShutDown();
  }

  void Close()
  {
    StopAccepting();
    for (const auto& connection : mConnections) {
      connection->Abort();
    }
  }

  void Abandon()
  {
    mAbandoned = true;
    mShutdownDone = nullptr;
    StopAccepting();
    for (const auto& connection : mConnections) {
      connection->Abandon();
    }
  }

  Address LocalAddress() const { return mLocalAddress; }
  size_t Connections() const { return mConnections.size(); }

private:
  void AddConnection(asio::ip::tcp::socket aSocket)
  {
    if (mConnections.size() >= mOptions.mMaxConnections) {
      return;
    }
    auto handle = [weak =
                     weak_from_this()](ServerRequest aRequest,
                                       std::shared_ptr<Responder> aResponder) {
      const auto self = weak.lock();
      if (self && !self->mAbandoned) {
        self->mHandler(std::move(aRequest), std::move(aResponder));
      }
    };
    auto weakConnection = std::make_shared<std::weak_ptr<ServerConnection>>();
    auto connection = std::make_shared<ServerConnection>(
      std::move(aSocket),
      mOptions,
      handle,
      [weak = weak_from_this(), weakConnection] {
        const auto self = weak.lock();
        if (const auto closed = weakConnection->lock(); self && closed) {
          self->mConnections.erase(closed);
          self->ReportIfShutDown();
        }
      });
    *weakConnection = connection;
    mConnections.insert(connection);
    connection->Start();
  }

  void RetryAccept()
  {
    mRetryTimer.expires_after(kAcceptRetryDelay);
    mRetryTimer.async_wait(
      [self = shared_from_this()](const asio::error_code& aError) {
        if (!aError && self->mAcceptor.is_open()) {
          self->Accept();
        }
      });
  }

  void StopAccepting()
  {
    asio::error_code ignored;
    mAcceptor.close(ignored);
    mRetryTimer.cancel();
  }

  void ReportIfShutDown()
  {
    if (mConnections.empty() && mShutdownDone) {
      asio::post(mContext, std::exchange(mShutdownDone, nullptr));
    }
  }

  asio::io_context& mContext;
  asio::ip::tcp::acceptor mAcceptor;
  asio::steady_timer mRetryTimer;
  Handler mHandler;
  ServerOptions mOptions;
  Address mLocalAddress;
  std::set<std::shared_ptr<ServerConnection>> mConnections;
  std::function<void()> mShutdownDone;
  bool mAbandoned = false;
};

Server::Server(asio::io_context& aContext,
               Address aAddress,
               Handler aHandler,
               ServerOptions aOptions)
  : mImpl(
      std::make_shared<Impl>(aContext, aAddress, std::move(aHandler), aOptions))
{
  mImpl->Accept();
}

Server::~Server()
{
  mImpl->Abandon();
}

Address
Server::LocalAddress() const
{
  return mImpl->LocalAddress();
}

size_t
Server::Connections() const
{
  return mImpl->Connections();
}

void
Server::Shutdown(std::function<void()> aDone)
{
  mImpl->Shutdown(std::move(aDone));
}

void
Server::Close()
{
  mImpl->Close();
}

} // namespace snipepost::http2
