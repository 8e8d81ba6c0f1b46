#include "tests/platform/soak/StreamProxy.h"

#include <array>

#include <snipepost/Net/DatagramSocket.h>

namespace snipepost::soak {

using asio::ip::tcp;

/// An accepted connection and the corresponding connection to the target.
class StreamProxy::ProxiedConnection
  : public std::enable_shared_from_this<ProxiedConnection>
{
public:
  ProxiedConnection(asio::io_context& aContext,
                    tcp::socket aClient,
                    std::function<StreamFault()> aFault)
    : mClient{ std::move(aClient), asio::steady_timer(aContext) }
    , mTarget{ tcp::socket(aContext), asio::steady_timer(aContext) }
    , mFault(std::move(aFault))
  {
  }

  void Start(const Address& aTarget)
  {
    mTarget.mSocket.async_connect(
      ToTcp(aTarget),
      [self = shared_from_this()](const asio::error_code& aError) {
        if (aError) {
          self->Reset();
          return;
        }
        self->StartRead(self->mClient, self->mTarget, true);
        self->StartRead(self->mTarget, self->mClient, false);
      });
  }

  void Reset()
  {
    for (End* end : { &mClient, &mTarget }) {
      asio::error_code ignored; // The socket is closed in any case.
      end->mSocket.set_option(asio::socket_base::linger(true, 0), ignored);
      end->mSocket.close(ignored);
      end->mDelay.cancel();
    }
  }

private:
  struct End
  {
    tcp::socket mSocket;
    asio::steady_timer mDelay;
    std::array<char, 16384> mBytes{};
    /// All further bytes from this end are discarded.
    bool mBlackholed = false;
  };

  void StartRead(End& aFrom, End& aTo, bool aFromClient)
  {
    aFrom.mSocket.async_read_some(
      asio::buffer(aFrom.mBytes),
      [self = shared_from_this(), &aFrom, &aTo, aFromClient](
        const asio::error_code& aError, size_t aSize) {
        if (aError) {
          self->OnClosed(aFrom, aTo);
          return;
        }
        self->OnRead(aFrom, aTo, aFromClient, aSize);
      });
  }

  void OnClosed(End& aFrom, End& aTo)
  {
    asio::error_code ignored; // The other end may have closed as well.
    if (!aFrom.mBlackholed) {
      aTo.mSocket.shutdown(tcp::socket::shutdown_send, ignored);
    }
  }

  void OnRead(End& aFrom, End& aTo, bool aFromClient, size_t aSize)
  {
    const StreamFault fault = mFault();
    aFrom.mBlackholed = aFrom.mBlackholed || fault == StreamFault::Blackhole ||
                        (fault == StreamFault::OneWay && !aFromClient);
    if (fault == StreamFault::Reset) {
      Reset();
      return;
    }
    if (aFrom.mBlackholed) {
      StartRead(aFrom, aTo, aFromClient);
      return;
    }
    aFrom.mDelay.expires_after(
      fault == StreamFault::Delayed ? LinkFaults::kDelay : Duration::zero());
    aFrom.mDelay.async_wait(
      [self = shared_from_this(), &aFrom, &aTo, aFromClient, aSize](
        const asio::error_code& aError) {
        if (!aError) {
          self->Write(aFrom, aTo, aFromClient, aSize);
        }
      });
  }

  void Write(End& aFrom, End& aTo, bool aFromClient, size_t aSize)
  {
    asio::async_write(aTo.mSocket,
                      asio::buffer(aFrom.mBytes, aSize),
                      [self = shared_from_this(), &aFrom, &aTo, aFromClient](
                        const asio::error_code& aError, size_t) {
                        if (!aError) {
                          self->StartRead(aFrom, aTo, aFromClient);
                        }
                      });
  }

  End mClient;
  End mTarget;
  std::function<StreamFault()> mFault;
};

StreamProxy::StreamProxy(asio::io_context& aContext,
                         const Address& aListen,
                         const Address& aTarget,
                         std::function<StreamFault()> aFault)
  : mContext(aContext)
  , mAcceptor(aContext, ToTcp(aListen), true)
  , mTarget(aTarget)
  , mFault(std::move(aFault))
{
  Accept();
}

StreamProxy::~StreamProxy()
{
  ResetAll();
}

void
StreamProxy::ResetAll()
{
  for (const auto& connection : mConnections) {
    if (const auto alive = connection.lock()) {
      alive->Reset();
    }
  }
  mConnections.clear();
}

void
StreamProxy::Accept()
{
  mAcceptor.async_accept(
    [this](const asio::error_code& aError, tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        std::erase_if(mConnections, [](const auto& aConnection) {
          return aConnection.expired();
        });
        const auto connection = std::make_shared<ProxiedConnection>(
          mContext, std::move(aSocket), mFault);
        mConnections.push_back(connection);
        if (mFault() == StreamFault::Reset) {
          connection->Reset();
        } else {
          connection->Start(mTarget);
        }
      }
      Accept();
    });
}

} // namespace snipepost::soak
